#ifndef JACKDAW_RATELIMIT_LIMITTABLE_H
#define JACKDAW_RATELIMIT_LIMITTABLE_H

#include "ratelimit/sliceplacement.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ratelimit {

/// All limits of a configuration.
struct FleetLimits {
  struct Entry {
    base::ServiceName Service;
    base::WorkspaceName Workspace;
    Limit Whole;
  };

  SlicePlacement Placement;
  std::vector<Entry> Limits;
};

/// What a grantor may give out for a slice now.
struct AllowedSlice {
  double RatePerSecond = 0;
  double Burst = 0;
  /// A bucket made now held nothing before this time, because the slice may
  /// have been granted elsewhere.
  base::BootTime EmptyUntil;
};

/// The limits in force at this daemon with those of the last `kLimitOverlap`.
class LimitTable {
public:
  /// Adopts a configuration. `KnownAge` matters only for the first one of this
  /// process: how long it has surely been in force in the fleet. Nothing is
  /// granted until the rest of `kLimitOverlap` has passed.
  void adopt(const FleetLimits &Limits, base::BootTime Now,
             base::Duration KnownAge);

  /// Changes one limit, or removes it if `Whole` is absent. Cheaper than
  /// adopting everything anew; only after the first adoption.
  void setLimit(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace,
                const std::optional<Limit> &Whole, base::BootTime Now);

  /// The limit in force; null if there is none.
  const Limit *find(LimitId Id) const;

  const SlicePlacement &placement() const { return Where; }

  /// Grows with each change of the placement; 0 before the first adoption.
  std::uint64_t placementVersion() const { return PlacementVersion; }

  /// The lowest rate and burst that `Shard` has for slice `Index` in any
  /// configuration of the last `kLimitOverlap`.
  AllowedSlice allowed(LimitId Id, const ownership::ShardId &Shard,
                       std::uint16_t Index, base::BootTime Now) const;

private:
  struct PastLimit {
    Limit Whole;
    base::BootTime Until;
  };
  struct PastPlacement {
    SlicePlacement Where;
    base::BootTime Until;
  };
  struct Row {
    Limit Whole;
    bool InForce = false;
    std::vector<PastLimit> Past;
    /// When the last change of the number of slices is over.
    base::BootTime SlicesSettle;
  };

  static void withdraw(Row &Current, base::BootTime Now);
  void change(Row &Current, const Limit &Whole, base::BootTime Now);
  void prune(base::BootTime Now);

  SlicePlacement Where;
  std::vector<PastPlacement> PastPlacements;
  std::unordered_map<LimitId, Row> Rows;
  base::BootTime PlacementSettles;
  std::uint64_t PlacementVersion = 0;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_LIMITTABLE_H
