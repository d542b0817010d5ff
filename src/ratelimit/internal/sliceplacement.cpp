#include "ratelimit/sliceplacement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

// A data centre gets a second slice only if each has at least this burst. A
// slice stops refilling when it is full, so slices of one permit lose much of
// their rate.
constexpr double kMinBurstOfFurtherSlice = 4;

} // namespace

LimitId limitId(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace) {
  return LimitId(base::combineHashes(base::stableHash(Service.str()),
                                     base::stableHash(Workspace.str())));
}

std::uint16_t sliceCount(const Limit &Whole, const SlicePlacement &Where) {
  const auto Places = static_cast<double>(Where.DataCentres.size());
  const double Most = Places * Where.SlicesPerDataCentre;
  const double OnePerPlace = std::min(Places, std::floor(Whole.Burst));
  const double Worthwhile = std::floor(Whole.Burst / kMinBurstOfFurtherSlice);
  return static_cast<std::uint16_t>(
      std::max(1.0, std::min(Most, std::max(OnePerPlace, Worthwhile))));
}

LimitSlice sliceAt(LimitId Id, const Limit &Whole, const SlicePlacement &Where,
                   std::uint16_t Index) {
  if (Where.DataCentres.empty())
    return {};
  const std::uint64_t Count = sliceCount(Whole, Where);
  const std::uint64_t Burst = static_cast<std::uint64_t>(Whole.Burst);
  const std::size_t DataCentre =
      (Id.value() + Index) % Where.DataCentres.size();
  const std::uint64_t Hash = base::combineHashes(Id.value(), Index);
  LimitSlice Slice;
  Slice.Shard = {
      Where.DataCentres[DataCentre],
      static_cast<std::uint16_t>(Hash % ownership::kShardsPerDataCentre)};
  Slice.RatePerSecond = Whole.RatePerSecond / static_cast<double>(Count);
  const std::uint64_t Before = Burst * Index / Count;
  const std::uint64_t UpToThis = Burst * (Index + 1) / Count;
  Slice.Burst = static_cast<double>(UpToThis - Before);
  return Slice;
}

} // namespace ratelimit
