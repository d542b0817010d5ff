#ifndef JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H
#define JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H

#include "ownership/internal/candidates.h"
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
  base::BootTime Start;
  base::WallTime WallStart;
  /// When the record at `Version` was read back.
  base::BootTime VersionReadAt;
  /// Sending time of the latest ping whose acknowledgement counts.
  std::optional<base::BootTime> AckedPingSentAt;
  /// Set before a renewal is appended; acknowledgements of the old successor
  /// don't count from then on until the verdict is read back.
  bool Renewing = false;
};

/// The owner's side: validity of the owned shards, pings and the wish for
/// another successor.
class OwnerRole {
public:
  OwnerRole(const base::Clock &Time, base::ProcessId Self);

  /// Compares a shard with its entry in the replica.
  void update(const ShardId &Shard, const ShardEntry *Entry);

  void noteLogRead(base::BootTime SentAt);
  void notePause(base::BootTime Now);
  void acknowledged(const SuccessorAck &Ack, base::BootTime Now);
  std::optional<ValidOwnership> valid(const ShardId &Shard,
                                      base::BootTime Now) const;

  /// Pings that are due.
  std::vector<SuccessorPing> pings(base::BootTime Now);

  /// Shards whose successor is gone, silent or missing. Marks nothing.
  std::vector<ShardId> inNeedOfSuccessor(base::BootTime Now,
                                         const Candidates &Members) const;

  /// Stops counting acknowledgements for a shard whose renewal is about to be
  /// appended and returns its part of the claim.
  ClaimedShard beginRenewal(const ShardId &Shard);

  bool needsLogRead(base::BootTime Now, const Candidates &Members) const;
  std::optional<base::BootTime> lastLogRead() const { return LogReadSentAt; }
  const std::map<ShardId, OwnedShard> &owned() const { return Owned; }

private:
  struct SentPing {
    std::uint64_t Sequence;
    base::BootTime SentAt;
    base::ProcessId To;
  };

  bool isSilent(const OwnedShard &Entry, base::BootTime Now) const;

  const base::Clock &Time;
  const base::ProcessId Self;
  std::map<ShardId, OwnedShard> Owned;
  std::optional<base::BootTime> LogReadSentAt;
  /// Set while acknowledgements don't count because this process was paused.
  std::optional<base::BootTime> PausedUntil;
  std::deque<SentPing> Sent;
  std::uint64_t LastSequence = 0;
  base::BootTime NextPing;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_OWNERROLE_H
