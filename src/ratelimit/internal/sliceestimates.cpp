#include "ratelimit/internal/sliceestimates.h"

#include <algorithm>
#include <limits>

namespace ratelimit {

namespace {

// A slice whose owner did not reply is not chosen for this long.
constexpr base::Duration kAvoidTime = std::chrono::seconds(1);

} // namespace

void SliceEstimates::update(LimitId Id, const Limit &NewTotal,
                            const SlicePlacement &Placement,
                            std::uint64_t PlacementVersion,
                            const DataCentreDistances &Distances) {
  if (Total == NewTotal && Version == PlacementVersion)
    return;
  Total = NewTotal;
  Version = PlacementVersion;
  Slices.clear();
  if (Placement.DataCentres.empty())
    return;
  for (std::uint16_t Index = 0; Index < sliceCount(Total, Placement); ++Index) {
    Estimate Added{};
    const LimitSlice Slice = sliceAt(Id, Total, Placement, Index);
    SliceRate = Slice.RatePerSecond;
    auto Found = Distances.find(Slice.Shard.DataCentre);
    Added.Distance = Found == Distances.end()
                         ? std::numeric_limits<std::uint32_t>::max()
                         : Found->second;
    Added.Burst = static_cast<float>(Slice.Burst);
    Added.Level = Added.Burst;
    Slices.push_back(Added);
  }
}

double SliceEstimates::estimatedLevel(const Estimate &Current,
                                      base::BootTime Now) const {
  const double Elapsed =
      std::chrono::duration<double>(Now - Current.LevelAt).count();
  return std::min<double>(Current.Burst, Current.Level + SliceRate * Elapsed);
}

std::vector<SliceEstimates::Candidate>
SliceEstimates::candidates(base::BootTime Now) const {
  std::vector<Candidate> Result;
  std::uint16_t Index = 0;
  for (const Estimate &Current : Slices) {
    if (Now >= Current.AvoidUntil)
      Result.push_back({Index, Current.Distance, estimatedLevel(Current, Now)});
    ++Index;
  }
  std::sort(Result.begin(), Result.end(),
            [](const Candidate &Left, const Candidate &Right) {
              if (Left.Distance != Right.Distance)
                return Left.Distance < Right.Distance;
              return Left.Level > Right.Level;
            });
  return Result;
}

std::optional<base::Duration>
SliceEstimates::timeToNextPermit(base::BootTime Now) const {
  const std::vector<Candidate> Reachable = candidates(Now);
  if (Reachable.empty() || SliceRate <= 0)
    return std::nullopt;
  double HighestLevel = 0;
  for (const Candidate &Each : Reachable)
    HighestLevel = std::max(HighestLevel, Each.Level);
  const double Seconds = std::max(0.0, 1 - HighestLevel) / SliceRate;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

void SliceEstimates::setLevel(std::uint16_t Slice, double Level,
                              base::BootTime Now) {
  if (Slice >= Slices.size())
    return;
  Slices[Slice].Level = static_cast<float>(Level);
  Slices[Slice].LevelAt = Now;
  Slices[Slice].AvoidUntil = {};
}

void SliceEstimates::onRequested(std::uint16_t Slice, std::uint16_t Count,
                                 base::BootTime Now) {
  Estimate &Current = Slices[Slice];
  Current.Level =
      static_cast<float>(std::max(0.0, estimatedLevel(Current, Now) - Count));
  Current.LevelAt = Now;
}

void SliceEstimates::onNoReply(std::uint16_t Slice, base::BootTime Now) {
  if (Slice < Slices.size())
    Slices[Slice].AvoidUntil = Now + kAvoidTime;
}

} // namespace ratelimit
