#ifndef JACKDAW_OVERLOAD_SUCCESSTHROTTLE_H
#define JACKDAW_OVERLOAD_SUCCESSTHROTTLE_H

#include "base/clock.h"

namespace overload {

/// Turns new requests of one route away at the entry while too many of those
/// that were let in fail further down, so that the services below finish what
/// they can instead of starting what they can't. The share that is let in is
/// cut when too many fail, at most once in the time that a request takes, and
/// grows in small steps while most succeed.
class SuccessThrottle {
public:
  /// The share is cut while fewer than one request in `Tolerance` succeeds.
  SuccessThrottle(const base::Clock &Time, double Tolerance);

  /// Whether a request may go on. `Draw` is uniform between 0 and 1.
  bool admits(double Draw);

  /// A request that was let in at `StartedAt` has ended.
  void ended(base::BootTime StartedAt, bool Succeeded);

  /// Share of the requests that is let in.
  double share() const { return Share; }

private:
  void evaluate();

  const base::Clock &Time;
  const double Tolerance;
  double Share = 1;
  /// Requests that began after the last cut and have ended since the last
  /// evaluation.
  int Seen = 0;
  int Successes = 0;
  base::BootTime CutAt;
  base::BootTime EvaluatedAt;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_SUCCESSTHROTTLE_H
