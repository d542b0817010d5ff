#ifndef JACKDAW_OWNERSHIP_OWNERSHIPSTATE_H
#define JACKDAW_OWNERSHIP_OWNERSHIPSTATE_H

#include "ownership/records.h"

#include <cereal/types/map.hpp>

#include <map>
#include <optional>

namespace ownership {

/// State of one shard according to the log.
struct ShardEntry {
  /// Absent after a release.
  std::optional<base::ProcessId> Owner;
  std::optional<base::ProcessId> Successor;
  /// Offset of the claim that began the owner's tenure. Renewals don't change
  /// it.
  base::LogOffset Term;
  /// Basis of that claim.
  ClaimBasis TermBasis = ClaimBasis::Initial;
  /// Offset of the last accepted record about the shard.
  base::LogOffset Version;

  friend bool operator==(const ShardEntry &, const ShardEntry &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Owner, Successor, Term, TermBasis, Version);
  }
};

/// Replica of the ownership of all shards. Every process that applies the same
/// records in the same order reaches the same state. Part of the fleet state
/// and its snapshots.
class OwnershipState {
public:
  /// Applies the claim at offset `Offset`. Each of its shards is accepted or
  /// rejected separately. Returns the number of accepted shards.
  std::size_t apply(base::LogOffset Offset, const OwnershipClaim &Claim);

  /// Applies the release at offset `Offset`. Shards that the holder doesn't own
  /// are skipped. Returns the number of accepted shards.
  std::size_t apply(base::LogOffset Offset, const OwnershipRelease &Release);

  /// Returns the entry of a shard, or null if no claim to it was ever accepted.
  const ShardEntry *find(const ShardId &Shard) const;

  const std::map<ShardId, ShardEntry> &entries() const { return Entries; }

  friend bool operator==(const OwnershipState &,
                         const OwnershipState &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(Entries); }

private:
  bool accepts(const OwnershipClaim &Claim, const ClaimedShard &Claimed) const;

  std::map<ShardId, ShardEntry> Entries;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_OWNERSHIPSTATE_H
