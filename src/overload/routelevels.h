#ifndef JACKDAW_OVERLOAD_ROUTELEVELS_H
#define JACKDAW_OVERLOAD_ROUTELEVELS_H

#include "base/clock.h"
#include "overload/admissionlevel.h"
#include "overload/admissiontable.h"

#include <map>
#include <set>

namespace overload {

/// Computes the level that a serving daemon reports in its responses on a
/// route: the strictest of its own level and the levels of the routes that the
/// backend server calls while it serves this route.
class RouteLevels {
public:
  explicit RouteLevels(const base::Clock &Clock) : ChildLevels(Clock) {}

  /// Records the level in the response to a call to `Child` that was made while
  /// serving `Parent`.
  void record(const RouteName &Parent, const RouteKey &Child,
              const AdmissionLevel &Reported);

  /// The level to report in responses on `Parent`.
  AdmissionLevel responseLevel(const RouteName &Parent,
                               const AdmissionLevel &Own) const;

  /// Whether the level learned from `Child` admits a call of the backend
  /// server.
  bool admits(const RouteKey &Child, base::PriorityClass Class,
              std::uint8_t Rank) const {
    return ChildLevels.admits(Child, Class, Rank);
  }

  /// Removes child routes whose level is open again. Must be called about once
  /// a second.
  void removeStale();

private:
  AdmissionTable ChildLevels;
  std::map<RouteName, std::set<RouteKey>> CalledRoutes;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ROUTELEVELS_H
