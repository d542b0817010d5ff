#ifndef JACKDAW_RATELIMIT_PERMITPOOL_H
#define JACKDAW_RATELIMIT_PERMITPOOL_H

#include "ratelimit/limittable.h"
#include "ratelimit/messages.h"

#include <memory>
#include <optional>
#include <vector>

namespace ratelimit {

/// Outcome of an attempt to acquire a permit.
enum class AcquireStatus : std::uint8_t {
  /// The call may run. Also returned if no limit is set.
  Acquired,
  /// A permit has to be requested from a shard owner.
  MustRequest,
  /// The call is refused with `rate_exceeded`.
  RateExceeded,
  /// The call is refused with `limit_unavailable`: no shard owner could be
  /// reached.
  Unavailable,
};

/// State of a call that waits for a permit: the slices to request it from.
struct PermitWait {
  LimitId Id;
  /// In the order in which they are tried; at most four.
  std::vector<std::uint16_t> Slices;
  /// Index in `Slices` of the slice that is tried next.
  std::size_t Next = 0;
  /// Whether any shard owner has replied.
  bool GotReply = false;
};

struct AcquireResult {
  AcquireStatus Status = AcquireStatus::Acquired;
  /// Set for `MustRequest`.
  PermitWait Wait;
};

/// Permits that this entry daemon holds, by limit. Not safe for concurrent use:
/// callers protect it with a lock, which they release while they wait for a
/// reply.
///
/// A call begins with `tryAcquire`. On `MustRequest` it repeats these steps:
/// get a request from `nextRequest`, send it to the owner of its shard, and
/// pass the grant to `acquireFrom` or a failure to `onRequestFailed`. It stops
/// when `acquireFrom` returns true, or when `nextRequest` returns an empty
/// optional; `finish` then returns the outcome.
class PermitPool {
public:
  /// `Limits` must outlive this object. `NearestFirst` lists the data centres,
  /// starting with this process's own.
  PermitPool(const base::Clock &Clock, const LimitTable &Limits,
             base::ProcessId Self,
             const std::vector<base::DataCentreId> &NearestFirst);
  ~PermitPool();

  /// Tries to acquire a permit for one call.
  AcquireResult tryAcquire(const base::ServiceName &Service,
                           const base::WorkspaceName &Workspace);

  /// Returns the next request for a waiting call, or an empty optional if no
  /// slice is left to try. Send it at once, as its permits expire within
  /// `kPermitExpiry` of this call.
  std::optional<PermitRequest> nextRequest(PermitWait &Wait);

  /// Adds the grant that replies to a request of `nextRequest`. Returns true if
  /// the call has acquired a permit.
  bool acquireFrom(PermitWait &Wait, const PermitGrant &Grant);

  /// Returns the outcome for a call that has tried all its slices: a permit
  /// that has become available in the meantime, otherwise a refusal.
  AcquireStatus finish(const PermitWait &Wait);

  /// Estimated time until a slice has a permit again, for `Retry-After` and for
  /// a short wait before a refusal. Zero if the pool holds no state for the
  /// limit, and an empty optional if no slice can be reached.
  std::optional<base::Duration>
  timeToNextPermit(const base::ServiceName &Service,
                   const base::WorkspaceName &Workspace) const;

  /// Returns requests with prefetches for expected calls and with reports, to
  /// be sent to the owners of their shards. Call it about every 10 ms.
  std::vector<PermitRequest> tick();

  /// Adds the grant that replies to a request of `tick`.
  void addGrant(const PermitGrant &Grant);

  /// Must be called if a request of `nextRequest` or `tick` got no reply in
  /// time, or if its shard has no owner that can be reached. Without this call,
  /// the request counts as failed after `kPermitExpiry`.
  void onRequestFailed(std::uint64_t Sequence);

  /// Number of limits for which the pool holds state.
  std::size_t size() const;

private:
  struct LimitState;
  struct Implementation;
  struct PendingRequest;

  LimitState &stateFor(LimitId Id, const Limit &Total, base::BootTime Now);
  PermitWait makeWait(LimitId Id, LimitState &State, base::BootTime Now) const;
  std::uint16_t missingPermits(const LimitState &State, const Limit &Total,
                               base::BootTime Now) const;
  void prefetch(LimitId Id, const Limit &Total, LimitState &State,
                base::BootTime Now);
  void collectReports(LimitId Id, const Limit *Total, LimitState &State,
                      base::BootTime Now);
  PermitRequest &requestFor(const ownership::ShardId &Shard);
  void expirePending(base::BootTime Now);
  void removePending(std::uint64_t Sequence, bool GotReply);

  const base::Clock &Clock;
  const LimitTable &Limits;
  const base::ProcessId Self;
  std::unique_ptr<Implementation> Impl;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_PERMITPOOL_H
