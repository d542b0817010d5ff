#ifndef JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H
#define JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H

#include "base/clock.h"

namespace routing {

/// Tracks whether an upstream is ejected, that is, used only as a last resort
/// because of failures that this daemon saw. After an exponentially growing
/// backoff, a single trial request decides whether the ejection ends.
class OutlierDetector {
public:
  bool ejected() const { return Ejected; }

  /// Whether a trial request may be sent now.
  bool trialDue(base::BootTime Now) const {
    return Ejected && !TrialInFlight && Now >= BackoffEnd;
  }
  void startTrial() { TrialInFlight = true; }

  /// Records a response, which ends the ejection if it is that of the trial.
  /// Returns whether the ejection ended.
  bool onResponse(bool Trial, base::BootTime Now);

  /// Records a failure other than a connection failure. Returns whether enough
  /// consecutive calls have failed for the upstream to be ejected.
  bool onError();

  /// Ejects the upstream, or extends the ejection after a failed trial. During
  /// an ejection, failures of other calls that were still in flight are
  /// ignored. `Jitter` lies between 0 and 1. Returns whether a new ejection
  /// began.
  bool eject(bool Trial, base::BootTime Now, double Jitter);

  /// Ends a trial without a result, so that another one may start.
  void abandonTrial() { TrialInFlight = false; }

  /// End of the current backoff.
  base::BootTime backoffEnd() const { return BackoffEnd; }

private:
  bool Ejected = false;
  bool TrialInFlight = false;
  unsigned ConsecutiveErrors = 0;
  unsigned BackoffExponent = 0;
  base::BootTime BackoffEnd;
  base::BootTime LastEjectionEnd;
};

} // namespace routing

#endif // JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H
