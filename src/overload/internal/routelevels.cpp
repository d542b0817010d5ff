#include "overload/routelevels.h"

namespace overload {

void RouteLevels::learn(const RouteName &Parent, const RouteKey &Child,
                        const Level &Reported) {
  Children.learn(Child, Reported);
  Called[Parent].insert(Child);
}

Level RouteLevels::responseLevel(const RouteName &Parent,
                                 const Level &Own) const {
  const auto Found = Called.find(Parent);
  if (Found == Called.end())
    return Own;
  Level Result = Own;
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
      return Children.level(Child) == Level();
    });
  std::erase_if(Called, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace overload
