#ifndef JACKDAW_OVERLOAD_ADMISSIONTABLE_H
#define JACKDAW_OVERLOAD_ADMISSIONTABLE_H

#include "base/clock.h"
#include "overload/admissionlevel.h"

#include <cstdint>
#include <map>

namespace overload {

/// Admission levels learned from responses, per route. A level that is not
/// confirmed loosens with time; otherwise a level that admits no request, and
/// so gets no response, would stay in force for ever.
class AdmissionTable {
public:
  explicit AdmissionTable(const base::Clock &Clock) : Clock(Clock) {}

  /// Records the level carried by a response or refusal of `Route`. Invalid
  /// levels are ignored.
  void record(const RouteKey &Route, const AdmissionLevel &Reported);

  /// The level in force for `Route`; the open level if nothing is known.
  AdmissionLevel level(const RouteKey &Route) const;

  bool admits(const RouteKey &Route, base::PriorityClass Class,
              std::uint8_t Rank) const;

  /// Removes routes whose level is open again. Must be called about once a
  /// second.
  void removeStale();

private:
  struct LearnedLevel {
    /// Moving average of the reported indices, because the daemons of a
    /// service report different levels.
    double Index = 0;
    base::BootTime RecordedAt;
  };

  double currentIndex(const LearnedLevel &Learned) const;

  const base::Clock &Clock;
  std::map<RouteKey, LearnedLevel> LearnedLevels;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADMISSIONTABLE_H
