#ifndef JACKDAW_OWNERSHIP_SHARDOWNERSHIP_H
#define JACKDAW_OWNERSHIP_SHARDOWNERSHIP_H

#include "base/clock.h"
#include "ownership/messages.h"
#include "ownership/ownershipstate.h"
#include "ownership/records.h"

#include <memory>
#include <optional>
#include <vector>

namespace ownership {

/// Actions for the caller to carry out after a tick.
struct OwnershipActions {
  /// Records to append to the log. Failed appends need not be reported: a
  /// record whose outcome is not read back from the log is returned again.
  std::vector<OwnershipClaim> Claims;
  std::vector<OwnershipRelease> Releases;
  /// Pings to send now; lost pings need not be repeated.
  std::vector<SuccessorPing> Pings;
  /// Whether this process should read the log up to its end and then call
  /// `onLogReadCompleted`. Set at most once a second.
  bool NeedsLogRead = false;
};

/// Ownership of shards by this process: which shards it owns, whether that
/// ownership is valid now, and which claims, releases, pings and
/// acknowledgements are needed. Covers the shards of the process's own data
/// centre. Not safe for concurrent use.
class ShardOwnership {
public:
  /// `State` is the replica in the fleet state; it must outlive this object.
  /// Its content may be replaced by a snapshot.
  ShardOwnership(const base::Clock &Clock, const OwnershipState &State,
                 base::ProcessId Self, base::DataCentreId DataCentre);
  ~ShardOwnership();

  /// Sets the processes of this data centre that may own shards: those that are
  /// alive and not draining. This process may be in the list or not.
  void setCandidates(std::vector<base::ProcessId> Candidates);

  /// Must be called after each batch of log records and after a snapshot was
  /// applied to the replica, which then contains all records up to `Applied`.
  void onRecordsApplied(base::LogOffset Applied);

  /// Must be called when a log read sent at `SentAt` has reached the end of the
  /// log, whose last record is at `End`. The read takes effect once the replica
  /// has reached `End`.
  void onLogReadCompleted(base::BootTime SentAt, base::LogOffset End);

  /// Returns the actions that are due. Call it about every 10 ms.
  OwnershipActions tick();

  /// Handles a ping as successor. Returns an empty optional if no shard can be
  /// acknowledged.
  std::optional<SuccessorAck> onPing(const SuccessorPing &Ping);

  /// Handles an acknowledgement as owner.
  void onAck(const SuccessorAck &Ack);

  /// Returns the tenure of this process over `Shard` if it is valid now. Query
  /// it at each use, since validity expires without a call.
  std::optional<ValidOwnership> validOwnership(const ShardId &Shard) const;

  /// Begins a planned stop: from now on this process acts for no shard,
  /// releases the shards that it owns and claims none.
  void stop();

  /// Whether this process owns no shard according to the log.
  bool ownsNoShards() const;

private:
  struct Implementation;

  void detectPause(base::BootTime Now);
  bool isLogReadRecent(base::BootTime Now) const;
  void applyPendingRead();
  void planClaims(base::BootTime Now, OwnershipActions &Actions);
  std::vector<ClaimedShard> claimableShards(base::BootTime Now) const;
  void planReleases(base::BootTime Now, OwnershipActions &Actions);
  bool needsLogRead(base::BootTime Now) const;

  const base::Clock &Clock;
  const OwnershipState &State;
  const base::ProcessId Self;
  const base::DataCentreId DataCentre;
  std::unique_ptr<Implementation> Impl;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_SHARDOWNERSHIP_H
