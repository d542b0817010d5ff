#ifndef JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H
#define JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H

#include "base/clock.h"

namespace routing {

/// Whether an upstream is passed over because of failures that this daemon saw.
/// After an exponentially growing backoff one trial request decides.
class Ejection {
public:
  bool ejected() const { return Ejected; }

  /// Whether a trial request may be sent now.
  bool trialDue(base::BootTime Now) const {
    return Ejected && !TrialInFlight && Now >= Until;
  }
  void startTrial() { TrialInFlight = true; }

  /// A call was answered, which ends the ejection if it was the trial. Returns
  /// whether the ejection ended.
  bool onAnswer(bool Trial, base::BootTime Now);

  /// A call failed without any connection fault. Returns whether the upstream
  /// has failed often enough in a row to be ejected.
  bool onError();

  /// Ejects the upstream, or extends the ejection after a failed trial. Calls
  /// that were in flight when it began change nothing. `Jitter` lies between 0
  /// and 1. Returns whether the ejection began.
  bool eject(bool Trial, base::BootTime Now, double Jitter);

  /// The trial said nothing; another one may follow.
  void abandonTrial() { TrialInFlight = false; }

  /// End of the current backoff.
  base::BootTime until() const { return Until; }

private:
  bool Ejected = false;
  bool TrialInFlight = false;
  unsigned ConsecutiveErrors = 0;
  unsigned Exponent = 0;
  base::BootTime Until;
  base::BootTime Ended;
};

} // namespace routing

#endif // JACKDAW_ROUTING_INTERNAL_OUTLIERDETECTOR_H
