#include "overload/concurrencylimit.h"

namespace overload {

void ConcurrencyLimit::callStarted() {
  beforeChange();
  ++InFlight;
}

void ConcurrencyLimit::callCompleted(CallCompletion End,
                                     base::Duration Latency) {
  beforeChange();
  if (InFlight > 0)
    --InFlight;
  ended(End, Latency);
}

} // namespace overload
