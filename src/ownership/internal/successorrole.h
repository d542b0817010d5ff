#ifndef JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H
#define JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H

#include "ownership/internal/candidatelist.h"
#include "ownership/messages.h"
#include "ownership/ownershipstate.h"

#include <map>
#include <optional>
#include <vector>

namespace ownership {

/// A shard of which this process is the successor according to the replica.
struct WatchedShard {
  base::ProcessId Owner;
  base::LogOffset Version;
  base::BootTime LastContactAt;
  /// Set once this process decides to take over; stays set for this version of
  /// the shard.
  bool TakingOver = false;
};

/// The successor's side of shard ownership: acknowledgements and the decision
/// to take over.
class SuccessorRole {
public:
  explicit SuccessorRole(base::ProcessId Self);

  /// Updates the state of a shard from its entry in the replica.
  void update(const ShardId &Shard, const ShardEntry *Entry,
              base::BootTime Now);

  /// Restarts the silence timeout of all owners after a pause of this process.
  void onPause(base::BootTime Now);

  std::optional<SuccessorAck> onPing(const SuccessorPing &Ping,
                                     const CandidateList &Candidates,
                                     base::BootTime Now);

  /// Returns the shards whose owner has been silent for too long, and those
  /// whose takeover has begun.
  std::vector<ShardId> shardsWithSilentOwner(base::BootTime Now) const;

  /// Stops acknowledging a shard, for good, and returns the shard's part of the
  /// claim.
  ClaimedShard beginTakeover(const ShardId &Shard);

  bool needsLogRead(base::BootTime Now) const;
  const std::map<ShardId, WatchedShard> &entries() const { return Entries; }

private:
  const base::ProcessId Self;
  std::map<ShardId, WatchedShard> Entries;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H
