#include "ratelimit/limittable.h"

#include <algorithm>
#include <unordered_set>

namespace ratelimit {

namespace {

void lower(AllowedSlice &Allowed, LimitId Id, const Limit &Whole,
           const SlicePlacement &Where, const ownership::ShardId &Shard,
           std::uint16_t Index) {
  LimitSlice Slice;
  if (Index < sliceCount(Whole, Where))
    Slice = sliceAt(Id, Whole, Where, Index);
  if (Slice.Shard != Shard)
    Slice = {};
  Allowed.RatePerSecond = std::min(Allowed.RatePerSecond, Slice.RatePerSecond);
  Allowed.Burst = std::min(Allowed.Burst, Slice.Burst);
}

} // namespace

void LimitTable::adopt(const FleetLimits &Limits, base::BootTime Now,
                       base::Duration KnownAge) {
  prune(Now);
  if (PlacementVersion == 0) {
    PlacementSettles = Now + kLimitOverlap - std::min(KnownAge, kLimitOverlap);
    if (KnownAge < kLimitOverlap)
      PastPlacements.push_back({SlicePlacement{}, PlacementSettles});
  } else if (Where != Limits.Placement) {
    PlacementSettles = Now + kLimitOverlap;
    PastPlacements.push_back({Where, PlacementSettles});
  }
  if (PlacementVersion == 0 || Where != Limits.Placement)
    ++PlacementVersion;
  Where = Limits.Placement;
  std::unordered_set<LimitId> Named;
  for (const FleetLimits::Entry &Entry : Limits.Limits) {
    const LimitId Id = limitId(Entry.Service, Entry.Workspace);
    Named.insert(Id);
    change(Rows[Id], Entry.Whole, Now);
  }
  for (auto &[Id, Current] : Rows) {
    if (!Named.contains(Id))
      withdraw(Current, Now);
  }
}

void LimitTable::setLimit(const base::ServiceName &Service,
                          const base::WorkspaceName &Workspace,
                          const std::optional<Limit> &Whole,
                          base::BootTime Now) {
  Row &Current = Rows[limitId(Service, Workspace)];
  std::erase_if(Current.Past,
                [Now](const PastLimit &Past) { return Past.Until <= Now; });
  if (Whole)
    change(Current, *Whole, Now);
  else
    withdraw(Current, Now);
}

void LimitTable::withdraw(Row &Current, base::BootTime Now) {
  if (!Current.InForce)
    return;
  Current.InForce = false;
  Current.Past.push_back({Current.Whole, Now + kLimitOverlap});
}

void LimitTable::change(Row &Current, const Limit &Whole, base::BootTime Now) {
  if (Current.InForce && Current.Whole != Whole)
    Current.Past.push_back({Current.Whole, Now + kLimitOverlap});
  const bool Recent = Current.InForce || !Current.Past.empty();
  if (Recent && sliceCount(Current.Whole, Where) != sliceCount(Whole, Where))
    Current.SlicesSettle = Now + kLimitOverlap;
  Current.Whole = Whole;
  Current.InForce = true;
}

void LimitTable::prune(base::BootTime Now) {
  const auto Over = [Now](const auto &Past) { return Past.Until <= Now; };
  std::erase_if(PastPlacements, Over);
  for (auto &[Id, Current] : Rows)
    std::erase_if(Current.Past, Over);
  std::erase_if(Rows, [](const auto &Item) {
    return !Item.second.InForce && Item.second.Past.empty();
  });
}

const Limit *LimitTable::find(LimitId Id) const {
  auto Found = Rows.find(Id);
  if (Found == Rows.end() || !Found->second.InForce)
    return nullptr;
  return &Found->second.Whole;
}

AllowedSlice LimitTable::allowed(LimitId Id, const ownership::ShardId &Shard,
                                 std::uint16_t Index,
                                 base::BootTime Now) const {
  auto Found = Rows.find(Id);
  if (Found == Rows.end() || !Found->second.InForce)
    return {};
  const Row &Current = Found->second;
  AllowedSlice Allowed{Current.Whole.RatePerSecond, Current.Whole.Burst,
                       std::max(PlacementSettles, Current.SlicesSettle)};
  const auto LowerAll = [&](const Limit &Whole) {
    lower(Allowed, Id, Whole, Where, Shard, Index);
    for (const PastPlacement &Past : PastPlacements) {
      if (Now < Past.Until)
        lower(Allowed, Id, Whole, Past.Where, Shard, Index);
    }
  };
  LowerAll(Current.Whole);
  for (const PastLimit &Past : Current.Past) {
    if (Now < Past.Until)
      LowerAll(Past.Whole);
  }
  return Allowed;
}

} // namespace ratelimit
