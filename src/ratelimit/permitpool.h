#ifndef JACKDAW_RATELIMIT_PERMITPOOL_H
#define JACKDAW_RATELIMIT_PERMITPOOL_H

#include "ratelimit/limittable.h"
#include "ratelimit/messages.h"

#include <memory>
#include <optional>
#include <vector>

namespace ratelimit {

/// What became of the attempt to take a permit.
enum class AcquireStatus : std::uint8_t {
  /// The request may run; also if no limit is set.
  Acquired,
  /// A permit has to be asked for now.
  MustRequest,
  /// Refusal `rate_exceeded`.
  RateExceeded,
  /// Refusal `limit_unavailable`: no shard owner could be reached.
  Unavailable,
};

/// A request that waits for a permit, and the slices it may ask.
struct PermitWait {
  LimitId Id;
  /// In the order in which to ask; at most four.
  std::vector<std::uint16_t> Slices;
  std::size_t Next = 0;
  /// Whether any owner answered.
  bool Answered = false;
};

struct AcquireResult {
  AcquireStatus Status = AcquireStatus::Acquired;
  /// Set for `MustRequest`.
  PermitWait Wait;
};

/// Permits that this entry daemon holds, by limit. Not safe for concurrent use;
/// the caller doesn't hold its lock while it waits for an answer.
///
/// A request calls `tryAcquire`. On `MustRequest` it repeats: `nextRequest`,
/// send the request to the owner of its shard, then `answered` or
/// `onRequestFailed`; until `answered` says that it has a permit or
/// `nextRequest` gives nothing. Then `finish` gives the result.
class PermitPool {
public:
  /// `Limits` must outlive this object. `NearestFirst` lists the data centres,
  /// starting with this process's own.
  PermitPool(const base::Clock &Time, const LimitTable &Limits,
             base::ProcessId Self,
             const std::vector<base::DataCentreId> &NearestFirst);
  ~PermitPool();

  /// Takes a permit for one request.
  AcquireResult tryAcquire(const base::ServiceName &Service,
                           const base::WorkspaceName &Workspace);

  /// The next message for a waiting request; nothing if there is no further
  /// slice to ask. To be sent at once, as the permit expires 1 s after this.
  std::optional<PermitRequest> nextRequest(PermitWait &Wait);

  /// Takes the answer to `nextRequest`. True if the request now has a permit.
  bool acquireFrom(PermitWait &Wait, const PermitGrant &Grant);

  /// Result of a wait whose slices have all been asked: `Taken` if a permit
  /// has come in meanwhile, otherwise a refusal.
  AcquireStatus finish(const PermitWait &Wait);

  /// Time until some slice probably has a permit again, for `Retry-After` and
  /// for a short wait before the refusal; nothing if no slice can be reached.
  std::optional<base::Duration>
  timeToNextPermit(const base::ServiceName &Service,
                   const base::WorkspaceName &Workspace) const;

  /// Messages with asks for expected requests and reports. To be called about
  /// every 10 ms and sent to the owners of their shards.
  std::vector<PermitRequest> tick();

  /// Takes the answer to a message of `tick`.
  void addGrant(const PermitGrant &Grant);

  /// Tells that a message of `nextRequest` or `tick` was not answered in time,
  /// or that the shard has no owner that can be reached. Without this the pool
  /// notices after 1 s.
  void onRequestFailed(std::uint64_t Sequence);

  /// Number of limits for which state is held.
  std::size_t size() const;

private:
  struct Entry;
  struct Parts;
  struct Pending;

  Entry &entryFor(LimitId Id, const Limit &Whole, base::BootTime Now);
  PermitWait waitFor(LimitId Id, Entry &Held, base::BootTime Now) const;
  std::uint16_t missing(const Entry &Held, const Limit &Whole,
                        base::BootTime Now) const;
  void prefetch(LimitId Id, const Limit &Whole, Entry &Held,
                base::BootTime Now);
  void collectReports(LimitId Id, const Limit *Whole, Entry &Held,
                      base::BootTime Now);
  PermitRequest &messageTo(const ownership::ShardId &Shard);
  void dropLatePending(base::BootTime Now);
  void forgetPending(std::uint64_t Sequence, bool WasAnswered);

  const base::Clock &Time;
  const LimitTable &Limits;
  const base::ProcessId Self;
  std::unique_ptr<Parts> Impl;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_PERMITPOOL_H
