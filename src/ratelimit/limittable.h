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
    /// Limit of the whole fleet, divided into slices.
    Limit Total;
  };

  SlicePlacement Placement;
  std::vector<Entry> Limits;
};

/// Rate and burst that a grantor may grant from a slice now.
struct AllowedSlice {
  double RatePerSecond = 0;
  double Burst = 0;
  /// A bucket created now counts as empty until this time, because another
  /// daemon may have granted the slice's permits.
  base::BootTime EmptyUntil;
};

/// The limits in force at this daemon, which are divided into slices that shard
/// owners grant, and those that were in force in the last `kLimitOverlap`. For
/// that time after a change, the overlap, the lower of the old and the new
/// limit applies.
class LimitTable {
public:
  /// Sets the limits of a configuration. `MinTimeInForce` is used only for the
  /// first configuration of this process: the minimum time for which it has
  /// been in force in the fleet. Nothing is granted until the rest of
  /// `kLimitOverlap` has elapsed.
  void adopt(const FleetLimits &Limits, base::BootTime Now,
             base::Duration MinTimeInForce);

  /// Changes one limit, or removes it if `Total` is absent. Cheaper than
  /// `adopt` with all limits; call it only after the first `adopt`.
  void setLimit(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace,
                const std::optional<Limit> &Total, base::BootTime Now);

  /// Returns the limit in force, or null if there is none.
  const Limit *find(LimitId Id) const;

  /// The placement in force.
  const SlicePlacement &placement() const { return Placement; }

  /// Increases with each change of the placement; 0 before the first `adopt`.
  std::uint64_t placementVersion() const { return PlacementVersion; }

  /// Returns the lowest rate and burst that `Shard` has for slice `Index` in
  /// any configuration of the last `kLimitOverlap`.
  AllowedSlice allowedSlice(LimitId Id, const ownership::ShardId &Shard,
                            std::uint16_t Index, base::BootTime Now) const;

private:
  struct PastLimit {
    Limit Total;
    base::BootTime Until;
  };
  struct PastPlacement {
    SlicePlacement Placement;
    base::BootTime Until;
  };
  struct Row {
    Limit Total;
    bool InForce = false;
    std::vector<PastLimit> PastLimits;
    /// Time at which the overlap after the last change of the slice count ends.
    base::BootTime SliceOverlapEnd;
  };

  static void takeOutOfForce(Row &Changed, base::BootTime Now);
  void update(Row &Changed, const Limit &Total, base::BootTime Now);
  void dropExpired(base::BootTime Now);

  SlicePlacement Placement;
  std::vector<PastPlacement> PastPlacements;
  std::unordered_map<LimitId, Row> Rows;
  base::BootTime PlacementOverlapEnd;
  std::uint64_t PlacementVersion = 0;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_LIMITTABLE_H
