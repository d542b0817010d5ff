#include "overload/failureshare.h"

#include <cmath>

namespace overload {

void FailureShare::record(bool Failed) {
  decay();
  Calls += 1;
  Failures += Failed ? 1 : 0;
}

double FailureShare::share() {
  decay();
  return Failures / (Calls + kPriorCalls);
}

void FailureShare::reset() {
  Calls = 0;
  Failures = 0;
}

void FailureShare::decay() {
  const base::BootTime Now = Clock.now();
  const std::chrono::duration<double> Elapsed = Now - UpdatedAt;
  UpdatedAt = Now;
  const double Kept =
      std::exp2(-Elapsed / std::chrono::duration<double>(kHalfLife));
  Calls *= Kept;
  Failures *= Kept;
}

} // namespace overload
