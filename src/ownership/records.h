#ifndef JACKDAW_OWNERSHIP_RECORDS_H
#define JACKDAW_OWNERSHIP_RECORDS_H

#include "ownership/types.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <vector>

namespace ownership {

/// One shard in a claim.
struct ClaimedShard {
  ShardId Shard;
  ClaimBasis Basis = ClaimBasis::Initial;
  /// Offset of the last accepted record about the shard that the claimant has
  /// seen, 0 for none. The claim is accepted only if no later record was
  /// accepted. An offset is compared rather than the owner's name, so that a
  /// delayed copy of an old claim can't undo a later claim of the same owner.
  base::LogOffset BaseVersion;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Shard, Basis, BaseVersion);
  }
};

/// Log record: a process claims shards and names the process that may take
/// them over.
struct OwnershipClaim {
  base::ProcessId Claimant;
  /// Absent if the claimant knows no other candidate. Then only log reads keep
  /// the ownership valid.
  std::optional<base::ProcessId> Successor;
  std::vector<ClaimedShard> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Claimant, Successor, Shards);
  }
};

/// Log record: a process that is stopping gives up shards. It stops acting as
/// their owner before it appends the record.
struct OwnershipRelease {
  base::ProcessId Holder;
  std::vector<ShardId> Shards;

  template <class Archive> void serialize(Archive &Ar) { Ar(Holder, Shards); }
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_RECORDS_H
