#include "ratelimit/sliceplacement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

// A data centre gets a second slice only if each slice has at least this burst.
// A slice stops refilling when it is full, so slices of one permit lose much of
// their rate.
constexpr double kMinBurstOfExtraSlice = 4;

} // namespace

LimitId limitId(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace) {
  return LimitId(base::combineHashes(base::stableHash(Service.str()),
                                     base::stableHash(Workspace.str())));
}

std::uint16_t sliceCount(const Limit &Total, const SlicePlacement &Placement) {
  const auto DataCentreCount =
      static_cast<double>(Placement.DataCentres.size());
  const double MaxCount = DataCentreCount * Placement.SlicesPerDataCentre;
  const double OnePerDataCentre =
      std::min(DataCentreCount, std::floor(Total.Burst));
  const double CountByBurst = std::floor(Total.Burst / kMinBurstOfExtraSlice);
  return static_cast<std::uint16_t>(std::max(
      1.0, std::min(MaxCount, std::max(OnePerDataCentre, CountByBurst))));
}

LimitSlice sliceAt(LimitId Id, const Limit &Total,
                   const SlicePlacement &Placement, std::uint16_t Index) {
  if (Placement.DataCentres.empty())
    return {};
  const std::uint64_t Count = sliceCount(Total, Placement);
  const std::uint64_t Burst = static_cast<std::uint64_t>(Total.Burst);
  const std::size_t DataCentre =
      (Id.value() + Index) % Placement.DataCentres.size();
  const std::uint64_t Hash = base::combineHashes(Id.value(), Index);
  LimitSlice Slice;
  Slice.Shard = {
      Placement.DataCentres[DataCentre],
      static_cast<std::uint16_t>(Hash % ownership::kShardsPerDataCentre)};
  Slice.RatePerSecond = Total.RatePerSecond / static_cast<double>(Count);
  const std::uint64_t BurstBefore = Burst * Index / Count;
  const std::uint64_t BurstThrough = Burst * (Index + 1) / Count;
  Slice.Burst = static_cast<double>(BurstThrough - BurstBefore);
  return Slice;
}

} // namespace ratelimit
