#include "ratelimit/limittable.h"

#include <algorithm>
#include <unordered_set>

namespace ratelimit {

namespace {

void restrictTo(AllowedSlice &Allowed, LimitId Id, const Limit &Total,
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
                       base::Duration KnownAge) {
  dropExpired(Now);
  if (PlacementVersion == 0) {
    PlacementOverlapEnd =
        Now + kLimitOverlap - std::min(KnownAge, kLimitOverlap);
    if (KnownAge < kLimitOverlap)
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
      remove(Current, Now);
  }
}

void LimitTable::setLimit(const base::ServiceName &Service,
                          const base::WorkspaceName &Workspace,
                          const std::optional<Limit> &Total,
                          base::BootTime Now) {
  Row &Current = Rows[limitId(Service, Workspace)];
  std::erase_if(Current.Past,
                [Now](const PastLimit &Past) { return Past.Until <= Now; });
  if (Total)
    update(Current, *Total, Now);
  else
    remove(Current, Now);
}

void LimitTable::remove(Row &Current, base::BootTime Now) {
  if (!Current.InForce)
    return;
  Current.InForce = false;
  Current.Past.push_back({Current.Total, Now + kLimitOverlap});
}

void LimitTable::update(Row &Current, const Limit &Total, base::BootTime Now) {
  if (Current.InForce && Current.Total != Total)
    Current.Past.push_back({Current.Total, Now + kLimitOverlap});
  const bool HasHistory = Current.InForce || !Current.Past.empty();
  if (HasHistory &&
      sliceCount(Current.Total, Placement) != sliceCount(Total, Placement))
    Current.SliceOverlapEnd = Now + kLimitOverlap;
  Current.Total = Total;
  Current.InForce = true;
}

void LimitTable::dropExpired(base::BootTime Now) {
  const auto Expired = [Now](const auto &Past) { return Past.Until <= Now; };
  std::erase_if(PastPlacements, Expired);
  for (auto &[Id, Current] : Rows)
    std::erase_if(Current.Past, Expired);
  std::erase_if(Rows, [](const auto &Item) {
    return !Item.second.InForce && Item.second.Past.empty();
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
  const auto Restrict = [&](const Limit &Total) {
    restrictTo(Allowed, Id, Total, Placement, Shard, Index);
    for (const PastPlacement &Past : PastPlacements) {
      if (Now < Past.Until)
        restrictTo(Allowed, Id, Total, Past.Placement, Shard, Index);
    }
  };
  Restrict(Current.Total);
  for (const PastLimit &Past : Current.Past) {
    if (Now < Past.Until)
      Restrict(Past.Total);
  }
  return Allowed;
}

} // namespace ratelimit
