#ifndef JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H
#define JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H

#include "ownership/internal/candidates.h"
#include "ownership/messages.h"
#include "ownership/ownershipstate.h"

#include <map>
#include <optional>
#include <vector>

namespace ownership {

/// A shard that this process may take over according to the replica.
struct SucceededShard {
  base::ProcessId Owner;
  base::LogOffset Version;
  base::BootTime LastHeard;
  /// Set for good for this version once this process decides to take over.
  bool TakingOver = false;
};

/// The successor's side: acknowledgements and the decision to take over.
class SuccessorRole {
public:
  explicit SuccessorRole(base::ProcessId Self);

  /// Compares a shard with its entry in the replica.
  void update(const ShardId &Shard, const ShardEntry *Entry,
              base::BootTime Now);

  /// Gives owners time to be heard again after this process was paused.
  void notePause(base::BootTime Now);

  std::optional<SuccessorAck> answer(const SuccessorPing &Ping,
                                     const Candidates &Members,
                                     base::BootTime Now);

  /// Shards whose owner is silent for too long.
  std::vector<ShardId> silent(base::BootTime Now) const;

  /// Stops acknowledging a shard for good and returns its part of the claim.
  ClaimedShard beginTakeover(const ShardId &Shard);

  bool needsLogRead(base::BootTime Now) const;
  const std::map<ShardId, SucceededShard> &entries() const { return Entries; }

private:
  const base::ProcessId Self;
  std::map<ShardId, SucceededShard> Entries;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_SUCCESSORROLE_H
