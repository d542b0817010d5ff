#include "overload/routelevels.h"

namespace overload {

void RouteLevels::record(const RouteName &Parent, const RouteKey &Child,
                         const AdmissionLevel &Reported) {
  ChildLevels.record(Child, Reported);
  CalledRoutes[Parent].insert(Child);
}

AdmissionLevel RouteLevels::responseLevel(const RouteName &Parent,
                                          const AdmissionLevel &Own) const {
  const auto Found = CalledRoutes.find(Parent);
  if (Found == CalledRoutes.end())
    return Own;
  AdmissionLevel Result = Own;
  for (const RouteKey &Child : Found->second)
    Result = stricter(Result, ChildLevels.level(Child));
  return Result;
}

// A child route without a learned level is open and does not affect the
// result. Its next response records it again.
void RouteLevels::removeStale() {
  ChildLevels.removeStale();
  for (auto &[Parent, Routes] : CalledRoutes)
    std::erase_if(Routes, [this](const RouteKey &Child) {
      return ChildLevels.level(Child) == AdmissionLevel();
    });
  std::erase_if(CalledRoutes,
                [](const auto &Item) { return Item.second.empty(); });
}

} // namespace overload
