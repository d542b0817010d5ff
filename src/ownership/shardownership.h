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

/// What the caller has to do after a tick.
struct OwnershipActions {
  /// To be appended to the log. No result has to be reported; a record whose
  /// verdict does not arrive is asked for again.
  std::vector<OwnershipClaim> Claims;
  std::vector<OwnershipRelease> Releases;
  /// To be sent now; lost pings need no repeat.
  std::vector<SuccessorPing> Pings;
  /// Asks for a log read by this process itself up to the end of the log,
  /// reported with `onLogReadCompleted`. Set at most once a second.
  bool NeedsLogRead = false;
};

/// Ownership of shards by this process: which shards it owns, whether that is
/// valid now, and what has to be claimed, released, pinged and acknowledged.
/// Covers the shards of its own data centre. Not safe for concurrent use.
class ShardOwnership {
public:
  /// `State` is the replica in the fleet state; it must outlive this object.
  /// Its content may be replaced by a snapshot.
  ShardOwnership(const base::Clock &Time, const OwnershipState &State,
                 base::ProcessId Self, base::DataCentreId DataCentre);
  ~ShardOwnership();

  /// Sets the processes of this data centre that may own shards: alive, not
  /// draining. Whether this process is in the list makes no difference.
  void setCandidates(std::vector<base::ProcessId> Members);

  /// Tells that the replica now contains all records up to `Applied`. To be
  /// called after each batch of records and after a snapshot.
  void onRecordsApplied(base::LogOffset Applied);

  /// Tells that a log read sent at `SentAt` reached the end of the log, whose
  /// last record is at `End`. Counts once the replica has reached `End`.
  void onLogReadCompleted(base::BootTime SentAt, base::LogOffset End);

  /// Decides what to do now. To be called about every 10 ms.
  OwnershipActions tick();

  /// Answers a ping as successor; nothing if there is nothing to acknowledge.
  std::optional<SuccessorAck> onPing(const SuccessorPing &Ping);

  /// Takes an acknowledgement as owner.
  void onAck(const SuccessorAck &Ack);

  /// The tenure of this process over `Shard` if it is valid at this moment. To
  /// be asked at each use, since validity ends by itself.
  std::optional<ValidOwnership> validOwnership(const ShardId &Shard) const;

  /// Begins a planned stop: this process acts for no shard from now on,
  /// releases those it owns and claims none.
  void stop();

  /// Whether the log shows no shard as owned by this process.
  bool ownsNothing() const;

private:
  struct Parts;

  void notePause(base::BootTime Now);
  bool logReadIsRecent(base::BootTime Now) const;
  void adoptPendingRead();
  void planClaims(base::BootTime Now, OwnershipActions &Actions);
  std::vector<ClaimedShard> unownedToClaim(base::BootTime Now) const;
  void planReleases(base::BootTime Now, OwnershipActions &Actions);
  bool needsLogRead(base::BootTime Now) const;

  const base::Clock &Time;
  const OwnershipState &State;
  const base::ProcessId Self;
  const base::DataCentreId DataCentre;
  std::unique_ptr<Parts> Impl;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_SHARDOWNERSHIP_H
