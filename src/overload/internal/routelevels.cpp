#include "overload/routelevels.h"

namespace overload {

void RouteLevels::record(const RouteName &Parent, const RouteKey &Child,
                         const AdmissionLevel &Reported) {
  Children.record(Child, Reported);
  Called[Parent].insert(Child);
}

AdmissionLevel RouteLevels::responseLevel(const RouteName &Parent,
                                          const AdmissionLevel &Own) const {
  const auto Found = Called.find(Parent);
  if (Found == Called.end())
    return Own;
  AdmissionLevel Result = Own;
  for (const RouteKey &Child : Found->second)
    Result = stricter(Result, Children.level(Child));
  return Result;
}

// A child route without a known level is open and does not affect the result,
// so it is recorded again only by its next response.
void RouteLevels::removeStale() {
  Children.removeStale();
  for (auto &[Parent, Routes] : Called)
    std::erase_if(Routes, [this](const RouteKey &Child) {
      return Children.level(Child) == AdmissionLevel();
    });
  std::erase_if(Called, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace overload
