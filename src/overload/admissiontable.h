#ifndef JACKDAW_OVERLOAD_ADMISSIONTABLE_H
#define JACKDAW_OVERLOAD_ADMISSIONTABLE_H

#include "base/clock.h"
#include "overload/admissionlevel.h"

#include <cstdint>
#include <map>

namespace overload {

/// Levels learned from responses, per route. Levels that are not confirmed
/// loosen with time, so that a strict level that lets no request through, and
/// so gets no response, cannot last.
class AdmissionTable {
public:
  explicit AdmissionTable(const base::Clock &Time) : Time(Time) {}

  /// Records the level carried by a response or refusal of `Route`. Levels out
  /// of range are ignored.
  void record(const RouteKey &Route, const AdmissionLevel &Reported);

  /// The level in force for `Route`; the open level if nothing is known.
  AdmissionLevel level(const RouteKey &Route) const;

  bool admits(const RouteKey &Route, base::PriorityClass Class,
              std::uint8_t Value) const;

  /// Forgets routes whose level has become open again. Must be called about
  /// once a second.
  void removeStale();

private:
  struct Row {
    /// Moving average of the reported indices, because the daemons of a
    /// service report different levels.
    double Index = 0;
    base::BootTime LearnedAt;
  };

  double indexNow(const Row &Known) const;

  const base::Clock &Time;
  std::map<RouteKey, Row> Rows;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONTABLE_H
