#ifndef JACKDAW_OVERLOAD_ROUTELEVELS_H
#define JACKDAW_OVERLOAD_ROUTELEVELS_H

#include "base/clock.h"
#include "overload/admissionlevel.h"
#include "overload/admissiontable.h"

#include <map>
#include <set>

namespace overload {

/// The levels that a serving daemon puts into its responses: the stricter of
/// its own level and the levels of the routes that the backend server calls
/// while it serves a route.
class RouteLevels {
public:
  explicit RouteLevels(const base::Clock &Time) : Children(Time) {}

  /// Records that a call to `Child`, made while serving `Parent`, was answered
  /// with `Reported`.
  void record(const RouteName &Parent, const RouteKey &Child,
              const AdmissionLevel &Reported);

  /// The level for responses on `Parent`.
  AdmissionLevel responseLevel(const RouteName &Parent,
                               const AdmissionLevel &Own) const;

  /// Whether the levels learned from `Child` admit a call of the backend
  /// server.
  bool admits(const RouteKey &Child, base::PriorityClass Class,
              std::uint8_t Value) const {
    return Children.admits(Child, Class, Value);
  }

  /// Must be called about once a second.
  void removeStale();

private:
  AdmissionTable Children;
  std::map<RouteName, std::set<RouteKey>> Called;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ROUTELEVELS_H
