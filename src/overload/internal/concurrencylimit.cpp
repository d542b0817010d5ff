#include "overload/concurrencylimit.h"

namespace overload {

void ConcurrencyLimit::callStarted() {
  beforeInFlightChange();
  ++InFlight;
}

void ConcurrencyLimit::callCompleted(CompletionStatus Completion,
                                     base::Duration Latency) {
  beforeInFlightChange();
  if (InFlight > 0)
    --InFlight;
  onCallCompleted(Completion, Latency);
}

} // namespace overload
