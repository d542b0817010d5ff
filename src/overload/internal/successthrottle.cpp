#include "overload/successthrottle.h"

#include <algorithm>

namespace overload {

namespace {

using namespace std::chrono_literals;

/// Time between evaluations; several requests of a busy route end in it.
constexpr base::Duration kInterval = 250ms;
/// Requests that must have ended before a cut; fewer say little.
constexpr int kLeastSeen = 8;
/// Growth of the share in each interval: from nothing to all in six seconds.
constexpr double kGrowth = 0.04;
constexpr double kDeepestCut = 0.2;
/// Enough to notice that the trouble has ended.
constexpr double kLeastShare = 0.05;

} // namespace

SuccessThrottle::SuccessThrottle(const base::Clock &Time, double Tolerance)
    : Time(Time), Tolerance(Tolerance), CutAt(Time.now()),
      EvaluatedAt(Time.now()) {}

bool SuccessThrottle::admits(double Draw) {
  evaluate();
  return Draw < Share;
}

void SuccessThrottle::ended(base::BootTime StartedAt, bool Succeeded) {
  // What began before the last cut says nothing about the share since.
  if (StartedAt < CutAt)
    return;
  ++Seen;
  Successes += Succeeded ? 1 : 0;
  evaluate();
}

void SuccessThrottle::evaluate() {
  const base::BootTime Now = Time.now();
  if (Now - EvaluatedAt < kInterval)
    return;
  const bool Failing = Seen >= kLeastSeen && Successes * Tolerance < Seen;
  if (Failing) {
    const double Kept = Successes * Tolerance / Seen;
    Share = std::max(kLeastShare, Share * std::max(kDeepestCut, Kept));
    CutAt = Now;
  } else {
    Share = std::min(1.0, Share + kGrowth);
  }
  Seen = 0;
  Successes = 0;
  EvaluatedAt = Now;
}

} // namespace overload
