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
  /// Offset of the last accepted record about the shard as the claimant knows
  /// it, 0 for none. The claim is accepted only if this is still the last one.
  /// An offset rather than the owner's name, so that a delayed copy of an old
  /// claim can't undo a later one of the same owner.
  base::LogOffset Base;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Shard, Basis, Base);
  }
};

/// Log record: a process claims shards and names the process that may take
/// them over.
struct OwnershipClaim {
  base::ProcessId Claimant;
  /// Absent if the claimant knows no other candidate; then only log reads keep
  /// the ownership valid.
  std::optional<base::ProcessId> Successor;
  std::vector<ClaimedShard> Shards;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Claimant, Successor, Shards);
  }
};

/// Log record: a process that stops gives up shards. It has stopped acting for
/// them before it appends this.
struct OwnershipRelease {
  base::ProcessId Holder;
  std::vector<ShardId> Shards;

  template <class Archive> void serialize(Archive &Ar) { Ar(Holder, Shards); }
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_RECORDS_H
