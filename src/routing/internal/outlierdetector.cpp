#include "routing/internal/outlierdetector.h"

#include <algorithm>

namespace routing {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kErrorsToEject = 5;
constexpr base::Duration kFirstBackoff = 1s;
constexpr unsigned kMaxExponent = 5;

// An upstream that did well for this long starts again with the first backoff.
constexpr base::Duration kForgiveAfter = 60s;

} // namespace

bool Ejection::onAnswer(bool Trial, base::BootTime Now) {
  ConsecutiveErrors = 0;
  if (!Ejected || !Trial)
    return false;
  Ejected = false;
  TrialInFlight = false;
  Ended = Now;
  return true;
}

bool Ejection::onError() {
  ++ConsecutiveErrors;
  return ConsecutiveErrors >= kErrorsToEject;
}

bool Ejection::eject(bool Trial, base::BootTime Now, double Jitter) {
  if (Ejected && !Trial)
    return false;
  if (!Ejected && Now - Ended > kForgiveAfter)
    Exponent = 0;
  // The jitter keeps daemons from sending their trials at the same moment.
  const double Scale = double(1U << Exponent) * (0.75 + 0.5 * Jitter);
  const auto Backoff = std::chrono::duration<double>(kFirstBackoff) * Scale;
  Until = Now + std::chrono::duration_cast<base::Duration>(Backoff);
  Exponent = std::min(Exponent + 1, kMaxExponent);
  const bool Began = !Ejected;
  Ejected = true;
  TrialInFlight = false;
  ConsecutiveErrors = 0;
  return Began;
}

} // namespace routing
