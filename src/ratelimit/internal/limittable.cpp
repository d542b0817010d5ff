#include "ratelimit/limittable.h"

#include <algorithm>
#include <unordered_set>

namespace ratelimit {

namespace {

/// Lowers `Allowed` to the rate and burst that `Shard` has for slice `Index` of
/// the limit `Total` with `Placement`; to zero if it has none.
void restrictToSlice(AllowedSlice &Allowed, LimitId Id, const Limit &Total,
                     const SlicePlacement &Placement,
                     const ownership::ShardId &Shard, std::uint16_t Index) {
  LimitSlice Slice;
  if (Index < sliceCount(Total, Placement))
    Slice = sliceAt(Id, Total, Placement, Index);
  if (Slice.Shard != Shard)
    Slice = {};
  Allowed.RatePerSecond = std::min(Allowed.RatePerSecond, Slice.RatePerSecond);
  Allowed.Burst = std::min(Allowed.Burst, Slice.Burst);
}

} // namespace

void LimitTable::adopt(const FleetLimits &Limits, base::BootTime Now,
                       base::Duration MinTimeInForce) {
  dropExpired(Now);
  // The version is 0 until the first configuration.
  if (PlacementVersion == 0) {
    PlacementOverlapEnd =
        Now + kLimitOverlap - std::min(MinTimeInForce, kLimitOverlap);
    // The previous placement is unknown. With an empty one, no slice belongs to
    // any shard, so nothing is granted until the overlap ends.
    if (MinTimeInForce < kLimitOverlap)
      PastPlacements.push_back({SlicePlacement{}, PlacementOverlapEnd});
  } else if (Placement != Limits.Placement) {
    PlacementOverlapEnd = Now + kLimitOverlap;
    PastPlacements.push_back({Placement, PlacementOverlapEnd});
  }
  if (PlacementVersion == 0 || Placement != Limits.Placement)
    ++PlacementVersion;
  Placement = Limits.Placement;
  std::unordered_set<LimitId> Configured;
  for (const FleetLimits::Entry &Entry : Limits.Limits) {
    const LimitId Id = limitId(Entry.Service, Entry.Workspace);
    Configured.insert(Id);
    update(Rows[Id], Entry.Total, Now);
  }
  for (auto &[Id, Current] : Rows) {
    if (!Configured.contains(Id))
      takeOutOfForce(Current, Now);
  }
}

void LimitTable::setLimit(const base::ServiceName &Service,
                          const base::WorkspaceName &Workspace,
                          const std::optional<Limit> &Total,
                          base::BootTime Now) {
  Row &Current = Rows[limitId(Service, Workspace)];
  std::erase_if(Current.PastLimits,
                [Now](const PastLimit &Past) { return Past.Until <= Now; });
  if (Total)
    update(Current, *Total, Now);
  else
    takeOutOfForce(Current, Now);
}

void LimitTable::takeOutOfForce(Row &Changed, base::BootTime Now) {
  if (!Changed.InForce)
    return;
  Changed.InForce = false;
  Changed.PastLimits.push_back({Changed.Total, Now + kLimitOverlap});
}

void LimitTable::update(Row &Changed, const Limit &Total, base::BootTime Now) {
  if (Changed.InForce && Changed.Total != Total)
    Changed.PastLimits.push_back({Changed.Total, Now + kLimitOverlap});
  // A limit is in force now or was in the last `kLimitOverlap`.
  const bool InForceRecently = Changed.InForce || !Changed.PastLimits.empty();
  if (InForceRecently &&
      sliceCount(Changed.Total, Placement) != sliceCount(Total, Placement))
    Changed.SliceOverlapEnd = Now + kLimitOverlap;
  Changed.Total = Total;
  Changed.InForce = true;
}

void LimitTable::dropExpired(base::BootTime Now) {
  const auto Expired = [Now](const auto &Past) { return Past.Until <= Now; };
  std::erase_if(PastPlacements, Expired);
  for (auto &[Id, Current] : Rows)
    std::erase_if(Current.PastLimits, Expired);
  std::erase_if(Rows, [](const auto &Item) {
    return !Item.second.InForce && Item.second.PastLimits.empty();
  });
}

const Limit *LimitTable::find(LimitId Id) const {
  auto Found = Rows.find(Id);
  if (Found == Rows.end() || !Found->second.InForce)
    return nullptr;
  return &Found->second.Total;
}

AllowedSlice LimitTable::allowedSlice(LimitId Id,
                                      const ownership::ShardId &Shard,
                                      std::uint16_t Index,
                                      base::BootTime Now) const {
  auto Found = Rows.find(Id);
  if (Found == Rows.end() || !Found->second.InForce)
    return {};
  const Row &Current = Found->second;
  AllowedSlice Allowed{Current.Total.RatePerSecond, Current.Total.Burst,
                       std::max(PlacementOverlapEnd, Current.SliceOverlapEnd)};
  const auto RestrictToPlacements = [&](const Limit &Total) {
    restrictToSlice(Allowed, Id, Total, Placement, Shard, Index);
    for (const PastPlacement &Past : PastPlacements) {
      if (Now < Past.Until)
        restrictToSlice(Allowed, Id, Total, Past.Placement, Shard, Index);
    }
  };
  RestrictToPlacements(Current.Total);
  for (const PastLimit &Past : Current.PastLimits) {
    if (Now < Past.Until)
      RestrictToPlacements(Past.Total);
  }
  return Allowed;
}

} // namespace ratelimit
