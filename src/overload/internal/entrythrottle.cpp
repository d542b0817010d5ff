#include "overload/entrythrottle.h"

#include <algorithm>
#include <array>

namespace overload {

namespace {

using namespace std::chrono_literals;

/// Shortest time between evaluations; about the duration of a request through
/// several services.
constexpr base::Duration kInterval = 250ms;
/// An evaluation waits for this many completed requests, because fewer are not
/// representative, but at most until `kMaxInterval` has elapsed.
constexpr int kMinCompleted = 4;
constexpr base::Duration kMaxInterval = 1s;
/// Growth of the share per interval. It increases with each consecutive
/// interval without congestion, so that growth is slow at the load at which
/// queueing begins and fast after an overload has ended.
constexpr double kInitialGrowth = 0.03;
constexpr double kMaxGrowth = 0.12;
constexpr double kGrowthFactor = 1.3;
/// Fraction by which the share is cut in an interval in which all requests were
/// congested, by class. The differences are large enough for the less urgent
/// classes to be throttled before the others lose much.
constexpr std::array<double, base::kPriorityClassCount> kCongestionReactions{
    0.05, 0.2, 0.5};
/// Fraction by which the share is cut in an interval in which all requests
/// failed; the same for all classes.
constexpr double kFailureReaction = 0.5;
/// Share of congested requests that is tolerated: random arrivals cause short
/// queues even at a service that keeps up.
constexpr double kToleratedCongestion = 0.35;
/// Weight of the last interval in the smoothed share of congested requests.
constexpr double kCongestionWeight = 0.5;
/// Share of failures that is tolerated without congestion. Such failures may
/// come from a few broken servers, which throttling would not help. A larger
/// share may be requests that timed out in a queue.
constexpr double kToleratedFailures = 0.5;
/// Lowest admitted share: enough to notice the end of an overload, and to
/// starve no class.
constexpr double kMinShare = 0.05;

} // namespace

EntryThrottle::EntryThrottle(const base::Clock &Clock,
                             base::PriorityClass Class)
    : Clock(Clock),
      CongestionReaction(kCongestionReactions[static_cast<std::size_t>(Class)]),
      Growth(kInitialGrowth), EvaluatedAt(Clock.now()) {}

bool EntryThrottle::admit(double Sample) {
  evaluate();
  return Sample < Share;
}

void EntryThrottle::recordOutcome(bool Succeeded, bool Congested) {
  ++Completed;
  Successes += Succeeded ? 1 : 0;
  CongestedCount += Congested ? 1 : 0;
  evaluate();
}

void EntryThrottle::evaluate() {
  const base::BootTime Now = Clock.now();
  const base::Duration Elapsed = Now - EvaluatedAt;
  if (Elapsed < kInterval ||
      (Completed < kMinCompleted && Elapsed < kMaxInterval))
    return;
  const double Failures =
      Completed == 0 ? 0 : 1 - double(Successes) / Completed;
  if (Completed > 0)
    Congestion +=
        kCongestionWeight * (double(CongestedCount) / Completed - Congestion);
  if (Congestion <= kToleratedCongestion && Failures < kToleratedFailures) {
    const double Intervals =
        double(Elapsed.count()) / double(base::Duration(kInterval).count());
    Share = std::min(1.0, Share + Growth * Intervals);
    Growth = std::min(kMaxGrowth, kGrowthFactor * Growth);
  } else if (Completed >= kMinCompleted) {
    Share *= (1 - CongestionReaction * Congestion) *
             (1 - kFailureReaction * Failures);
    Share = std::max(kMinShare, Share);
    Growth = kInitialGrowth;
  }
  Completed = 0;
  Successes = 0;
  CongestedCount = 0;
  EvaluatedAt = Now;
}

} // namespace overload
