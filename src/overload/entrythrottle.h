#ifndef JACKDAW_OVERLOAD_ENTRYTHROTTLE_H
#define JACKDAW_OVERLOAD_ENTRYTHROTTLE_H

#include "base/clock.h"
#include "base/types.h"

namespace overload {

/// Turns new requests of one route and class away at the entry while the
/// services on their way are congested, so that these finish what they can
/// instead of starting what they can't.
///
/// The share that is let in shrinks with the share of requests that met a queue
/// on their way, the less urgent the class the faster, and with the share that
/// failed. It grows in small steps while no request meets a queue. Queues are
/// seen long before requests fail, so the share settles where the queues begin.
class EntryThrottle {
public:
  EntryThrottle(const base::Clock &Time, base::PriorityClass Class);

  /// Whether a request may go on. `Draw` is between 0 and 1; the lowest values
  /// are let in first.
  bool admit(double Draw);

  /// A request that was let in has ended. `Congested` tells that it, or a call
  /// made for it, waited for a slot.
  void recordOutcome(bool Succeeded, bool Congested);

  /// Share of the requests that is let in.
  double admittedShare() const { return Share; }

private:
  void evaluate();

  const base::Clock &Time;
  const double Reaction;
  double Share = 1;
  double Growth;
  /// Requests that have ended since the last evaluation.
  int Seen = 0;
  int Successes = 0;
  int Marked = 0;
  /// Share of requests that met a queue, smoothed.
  double Congestion = 0;
  base::BootTime EvaluatedAt;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ENTRYTHROTTLE_H
