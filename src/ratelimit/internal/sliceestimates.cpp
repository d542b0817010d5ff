#include "ratelimit/internal/sliceestimates.h"

#include <algorithm>
#include <limits>

namespace ratelimit {

namespace {

// A slice whose owner didn't answer is left out for this long.
constexpr base::Duration kAvoid = std::chrono::seconds(1);

} // namespace

void SliceEstimates::update(LimitId Id, const Limit &NewWhole,
                            const SlicePlacement &Where,
                            std::uint64_t PlacementVersion,
                            const Distances &Order) {
  if (Whole == NewWhole && Version == PlacementVersion)
    return;
  Whole = NewWhole;
  Version = PlacementVersion;
  Slices.clear();
  if (Where.DataCentres.empty())
    return;
  for (std::uint16_t Index = 0; Index < sliceCount(Whole, Where); ++Index) {
    Hint Fresh{};
    const LimitSlice Slice = sliceAt(Id, Whole, Where, Index);
    SliceRate = Slice.RatePerSecond;
    auto Found = Order.find(Slice.Shard.DataCentre);
    Fresh.Distance = Found == Order.end()
                         ? std::numeric_limits<std::uint32_t>::max()
                         : Found->second;
    Fresh.Burst = static_cast<float>(Slice.Burst);
    Fresh.Level = Fresh.Burst;
    Slices.push_back(Fresh);
  }
}

double SliceEstimates::levelOf(const Hint &One, base::BootTime Now) const {
  const double Span = std::chrono::duration<double>(Now - One.LevelAt).count();
  return std::min<double>(One.Burst, One.Level + SliceRate * Span);
}

std::vector<SliceEstimates::Choice>
SliceEstimates::choices(base::BootTime Now) const {
  std::vector<Choice> Result;
  std::uint16_t Index = 0;
  for (const Hint &One : Slices) {
    if (Now >= One.AvoidUntil)
      Result.push_back({Index, One.Distance, levelOf(One, Now)});
    ++Index;
  }
  std::sort(Result.begin(), Result.end(),
            [](const Choice &Left, const Choice &Right) {
              if (Left.Distance != Right.Distance)
                return Left.Distance < Right.Distance;
              return Left.Level > Right.Level;
            });
  return Result;
}

std::optional<base::Duration>
SliceEstimates::timeToNextPermit(base::BootTime Now) const {
  const std::vector<Choice> Reachable = choices(Now);
  if (Reachable.empty() || SliceRate <= 0)
    return std::nullopt;
  double Fullest = 0;
  for (const Choice &One : Reachable)
    Fullest = std::max(Fullest, One.Level);
  const double Seconds = std::max(0.0, 1 - Fullest) / SliceRate;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

void SliceEstimates::heard(std::uint16_t Slice, double Level,
                           base::BootTime Now) {
  if (Slice >= Slices.size())
    return;
  Slices[Slice].Level = static_cast<float>(Level);
  Slices[Slice].LevelAt = Now;
  Slices[Slice].AvoidUntil = {};
}

void SliceEstimates::asked(std::uint16_t Slice, std::uint16_t Count,
                           base::BootTime Now) {
  Hint &One = Slices[Slice];
  One.Level = static_cast<float>(std::max(0.0, levelOf(One, Now) - Count));
  One.LevelAt = Now;
}

void SliceEstimates::unanswered(std::uint16_t Slice, base::BootTime Now) {
  if (Slice < Slices.size())
    Slices[Slice].AvoidUntil = Now + kAvoid;
}

} // namespace ratelimit
