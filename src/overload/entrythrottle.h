#ifndef JACKDAW_OVERLOAD_ENTRYTHROTTLE_H
#define JACKDAW_OVERLOAD_ENTRYTHROTTLE_H

#include "base/clock.h"
#include "base/types.h"

namespace overload {

/// Refuses new requests of one route and class at the entry while the
/// downstream services are congested, so that these complete the requests they
/// have instead of starting more than they can complete.
///
/// The admitted share falls with the share of requests that were
/// congested downstream, faster for less urgent classes, and with the share
/// that failed. It grows in small steps while congestion is low. Queues build
/// up long before requests fail, so the share settles at the load at which
/// queueing begins.
class EntryThrottle {
public:
  EntryThrottle(const base::Clock &Clock, base::PriorityClass Class);

  /// Whether to admit a request: if `Sample` is below the admitted share.
  /// `Sample` lies between 0 and 1 and is random, or an admission rank scaled
  /// to that range, so that low ranks are admitted first.
  bool admit(double Sample);

  /// Records the outcome of an admitted request. `Congested` tells whether it,
  /// or a call made for it, was refused as overloaded or waited long for a
  /// slot.
  void recordOutcome(bool Succeeded, bool Congested);

  /// Share of requests that is admitted, between 0 and 1.
  double admittedShare() const { return Share; }

private:
  void evaluate();

  const base::Clock &Clock;
  /// Fraction by which `Share` is cut in an interval in which all requests were
  /// congested.
  const double CongestionReaction;
  double Share = 1;
  /// Increase of `Share` in the next interval without congestion.
  double Growth;
  /// Requests completed since the last evaluation, and how many of them
  /// succeeded or were congested.
  int Completed = 0;
  int Successes = 0;
  int CongestedCount = 0;
  /// Smoothed share of congested requests.
  double Congestion = 0;
  base::BootTime EvaluatedAt;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ENTRYTHROTTLE_H
