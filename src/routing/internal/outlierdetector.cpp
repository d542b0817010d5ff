#include "routing/internal/outlierdetector.h"

#include <algorithm>

namespace routing {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kConsecutiveErrorsToEject = 5;
constexpr base::Duration kInitialBackoff = 1s;
constexpr unsigned kMaxBackoffExponent = 5;

// The backoff of an upstream that was not ejected for this long starts again at
// its initial value.
constexpr base::Duration kBackoffResetTime = 60s;

} // namespace

bool OutlierDetector::onResponse(bool Trial, base::BootTime Now) {
  ConsecutiveErrors = 0;
  if (!Ejected || !Trial)
    return false;
  Ejected = false;
  TrialInFlight = false;
  LastEjectionEnd = Now;
  return true;
}

bool OutlierDetector::onError() {
  ++ConsecutiveErrors;
  return ConsecutiveErrors >= kConsecutiveErrorsToEject;
}

bool OutlierDetector::eject(bool Trial, base::BootTime Now, double Jitter) {
  if (Ejected && !Trial)
    return false;
  if (!Ejected && Now - LastEjectionEnd > kBackoffResetTime)
    BackoffExponent = 0;
  // The jitter prevents daemons from sending their trials at the same time.
  const double Scale = double(1U << BackoffExponent) * (0.75 + 0.5 * Jitter);
  const auto Backoff = std::chrono::duration<double>(kInitialBackoff) * Scale;
  BackoffEnd = Now + std::chrono::duration_cast<base::Duration>(Backoff);
  BackoffExponent = std::min(BackoffExponent + 1, kMaxBackoffExponent);
  const bool NewEjection = !Ejected;
  Ejected = true;
  TrialInFlight = false;
  ConsecutiveErrors = 0;
  return NewEjection;
}

} // namespace routing
