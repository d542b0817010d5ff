#ifndef JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H
#define JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H

#include "ratelimit/sliceplacement.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ratelimit {

/// Position of each data centre in the list of data centres that starts with
/// the nearest one. Data centres that are not in the map are the farthest.
using DataCentreDistances =
    std::unordered_map<base::DataCentreId, std::uint32_t>;

/// Estimated permit levels of the slices of one limit, as seen by an entry
/// daemon.
class SliceEstimates {
public:
  /// A slice from which permits may be requested.
  struct Candidate {
    std::uint16_t Slice = 0;
    std::uint32_t Distance = 0;
    /// Estimated number of permits that the slice has.
    double Level = 0;
  };

  /// Rebuilds the estimates if the limit or its placement has changed.
  /// `PlacementVersion` identifies the placement.
  void update(LimitId Id, const Limit &Total, const SlicePlacement &Placement,
              std::uint64_t PlacementVersion,
              const DataCentreDistances &Distances);

  /// Returns the slices that are not avoided: the nearest first, and among
  /// equally near ones the one with the highest level.
  std::vector<Candidate> candidates(base::BootTime Now) const;

  /// Estimated time until a slice that is not avoided has a permit; an empty
  /// optional if there is no such slice.
  std::optional<base::Duration> timeToNextPermit(base::BootTime Now) const;

  double sliceBurst() const { return Slices.empty() ? 0 : Slices[0].Burst; }

  /// Records the level that a shard owner reported.
  void setLevel(std::uint16_t Slice, double Level, base::BootTime Now);
  /// Subtracts requested permits from the estimate.
  void onRequested(std::uint16_t Slice, std::uint16_t Count,
                   base::BootTime Now);
  /// Avoids a slice for a while because its owner did not reply.
  void onNoReply(std::uint16_t Slice, base::BootTime Now);

private:
  struct Estimate {
    std::uint32_t Distance;
    float Burst;
    float Level;
    base::BootTime LevelAt;
    base::BootTime AvoidUntil;
  };

  double estimatedLevel(const Estimate &Current, base::BootTime Now) const;

  Limit Total;
  std::uint64_t Version = 0;
  double SliceRate = 0;
  std::vector<Estimate> Slices;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H
