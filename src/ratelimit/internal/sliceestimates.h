#ifndef JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H
#define JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H

#include "ratelimit/sliceplacement.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ratelimit {

/// Order of the data centres by distance from this one; those not named are
/// the farthest.
using Distances = std::unordered_map<base::DataCentreId, std::uint32_t>;

/// What an entry daemon believes about the slices of one limit.
class SliceEstimates {
public:
  /// A slice that is worth asking.
  struct Choice {
    std::uint16_t Slice = 0;
    std::uint32_t Distance = 0;
    /// Permits that the slice probably has.
    double Level = 0;
  };

  /// Follows a change of the limit or its placement; `PlacementVersion`
  /// changes with the placement.
  void update(LimitId Id, const Limit &Whole, const SlicePlacement &Where,
              std::uint64_t PlacementVersion, const Distances &Order);

  /// Reachable slices, nearest first, then by level.
  std::vector<Choice> choices(base::BootTime Now) const;

  /// Time until a reachable slice probably has a permit; nothing if there is
  /// none.
  std::optional<base::Duration> timeToNextPermit(base::BootTime Now) const;

  double sliceBurst() const { return Slices.empty() ? 0 : Slices[0].Burst; }

  void heard(std::uint16_t Slice, double Level, base::BootTime Now);
  void asked(std::uint16_t Slice, std::uint16_t Count, base::BootTime Now);
  void unanswered(std::uint16_t Slice, base::BootTime Now);

private:
  struct Hint {
    std::uint32_t Distance;
    float Burst;
    float Level;
    base::BootTime LevelAt;
    base::BootTime AvoidUntil;
  };

  double levelOf(const Hint &One, base::BootTime Now) const;

  Limit Whole;
  std::uint64_t Version = 0;
  double SliceRate = 0;
  std::vector<Hint> Slices;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_INTERNAL_SLICEESTIMATES_H
