#ifndef JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H
#define JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H

#include "ownership/internal/candidatelist.h"
#include "ownership/messages.h"
#include "ownership/ownershipstate.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ownership {

/// A shard that this process owns according to the replica.
struct OwnedShard {
  base::LogOffset Term;
  base::LogOffset Version;
  std::optional<base::ProcessId> Successor;
  base::BootTime ValidFrom;
  base::WallTime WallValidFrom;
  /// When the record at `Version` was read back.
  base::BootTime VersionReadAt;
  /// Sending time of the latest ping with a valid acknowledgement.
  std::optional<base::BootTime> AckedPingSentAt;
  /// Set before a renewal is appended. From then until the outcome is read back
  /// from the log, acknowledgements of the old successor are ignored.
  bool RenewalPending = false;
};

/// The owner's side of shard ownership: validity of the owned shards, pings to
/// their successors, and detection of shards that need another successor.
class OwnerRole {
public:
  OwnerRole(const base::Clock &Clock, base::ProcessId Self);

  /// Updates the state of a shard from its entry in the replica.
  void update(const ShardId &Shard, const ShardEntry *Entry);

  void onLogRead(base::BootTime SentAt);
  void onPause(base::BootTime Now);
  void onAck(const SuccessorAck &Ack, base::BootTime Now);
  std::optional<ValidOwnership> validOwnership(const ShardId &Shard,
                                               base::BootTime Now) const;

  /// Returns the pings that are due.
  std::vector<SuccessorPing> duePings(base::BootTime Now);

  /// Returns the shards without a successor and those whose successor is no
  /// longer a candidate or has stopped acknowledging. Changes no state.
  std::vector<ShardId>
  shardsNeedingSuccessor(base::BootTime Now,
                         const CandidateList &Candidates) const;

  /// Ignores further acknowledgements for a shard whose renewal is about to be
  /// appended, and returns the shard's part of the claim.
  ClaimedShard beginRenewal(const ShardId &Shard);

  bool needsLogRead(base::BootTime Now, const CandidateList &Candidates) const;
  std::optional<base::BootTime> lastLogReadAt() const { return LogReadSentAt; }
  const std::map<ShardId, OwnedShard> &owned() const { return Owned; }

private:
  struct SentPing {
    std::uint64_t Sequence;
    base::BootTime SentAt;
    base::ProcessId To;
  };

  bool isSuccessorSilent(const OwnedShard &Entry, base::BootTime Now) const;

  const base::Clock &Clock;
  const base::ProcessId Self;
  std::map<ShardId, OwnedShard> Owned;
  std::optional<base::BootTime> LogReadSentAt;
  /// Time at which this process resumed after a pause. While it is set,
  /// acknowledgements are ignored.
  std::optional<base::BootTime> ResumedAt;
  std::deque<SentPing> SentPings;
  std::uint64_t LastSequence = 0;
  base::BootTime NextPing;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H
