#ifndef JACKDAW_OWNERSHIP_TYPES_H
#define JACKDAW_OWNERSHIP_TYPES_H

#include "base/clock.h"
#include "base/types.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace ownership {

/// Number of shards in each data centre.
inline constexpr std::uint16_t kShardsPerDataCentre = 32;

/// How long a log read or an acknowledged ping keeps ownership valid, counted
/// from the time at which it was sent.
inline constexpr base::Duration kOwnershipValidity = std::chrono::seconds(5);

/// How long a new owner waits after its last acknowledgement to the old owner
/// and after the read-back of its claim. It exceeds the validity by 3 s, which
/// covers clock drift and the permits that the old owner granted just before
/// its ownership expired.
inline constexpr base::Duration kTakeoverDelay = std::chrono::seconds(8);

/// One shard of a data centre.
struct ShardId {
  base::DataCentreId DataCentre;
  /// Below `kShardsPerDataCentre`.
  std::uint16_t Index = 0;

  friend auto operator<=>(const ShardId &, const ShardId &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(DataCentre, Index);
  }
};

/// Condition under which a claim is valid.
enum class ClaimBasis : std::uint8_t {
  /// The shard never had an owner.
  Initial,
  /// The last owner released the shard on a planned stop.
  Released,
  /// The claimant is a newer process on the owner's instance.
  Replacement,
  /// The claimant is the owner's recorded successor.
  Takeover,
  /// The owner renews its claim in order to name another successor.
  Renew,
};

/// A tenure that is valid at the time of the call.
struct ValidOwnership {
  /// Offset of the claim that began the tenure. Unique to the tenure; renewals
  /// don't change it.
  base::LogOffset Term;
  /// The earliest time at which this process could act as owner in this tenure.
  base::BootTime ValidFrom;
  /// `ValidFrom` on the wall clock.
  base::WallTime WallValidFrom;
};

} // namespace ownership

template <> struct std::hash<ownership::ShardId> {
  std::size_t operator()(const ownership::ShardId &Shard) const noexcept {
    return std::hash<base::DataCentreId>()(Shard.DataCentre) * 31 + Shard.Index;
  }
};

#endif // JACKDAW_OWNERSHIP_TYPES_H
