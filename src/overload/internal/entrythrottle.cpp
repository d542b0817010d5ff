#include "overload/entrythrottle.h"

#include <algorithm>
#include <array>

namespace overload {

namespace {

using namespace std::chrono_literals;

/// Time between evaluations; about what a request through several services
/// takes.
constexpr base::Duration kInterval = 250ms;
/// An evaluation waits for this many requests, fewer say little, but not for
/// longer than the time below.
constexpr int kLeastSeen = 4;
constexpr base::Duration kLongestInterval = 1s;
/// Growth of the share in an interval, which rises with each further calm
/// one up to the largest: little where queues begin, fast after the trouble.
constexpr double kFirstGrowth = 0.03;
constexpr double kLargestGrowth = 0.12;
constexpr double kGrowthFactor = 1.3;
/// How much of the share goes in an interval in which all requests met a queue,
/// by class. The steps between the classes make the less urgent ones give way
/// before the others lose much.
constexpr std::array<double, base::kPriorityClassCount> kReactions{0.05, 0.2,
                                                                   0.5};
/// The same for an interval in which all requests failed, for all classes.
constexpr double kFailureReaction = 0.5;
/// Share of requests that may meet a queue: chance makes short queues at a
/// service that keeps up.
constexpr double kToleratedCongestion = 0.35;
/// Weight of the last interval in the share of requests that met a queue.
constexpr double kLatestWeight = 0.5;
/// Failures without a queue in sight may come from a few broken servers, which
/// fewer requests would not mend; more than this share of them may be requests
/// that ran out of time in a queue.
constexpr double kToleratedFailures = 0.5;
/// Enough to notice that the trouble has ended, and to starve no class.
constexpr double kLeastShare = 0.05;

} // namespace

EntryThrottle::EntryThrottle(const base::Clock &Time, base::PriorityClass Class)
    : Time(Time), Reaction(kReactions[static_cast<std::size_t>(Class)]),
      Growth(kFirstGrowth), EvaluatedAt(Time.now()) {}

bool EntryThrottle::admit(double Draw) {
  evaluate();
  return Draw < Share;
}

void EntryThrottle::recordOutcome(bool Succeeded, bool Congested) {
  ++Seen;
  Successes += Succeeded ? 1 : 0;
  Marked += Congested ? 1 : 0;
  evaluate();
}

void EntryThrottle::evaluate() {
  const base::BootTime Now = Time.now();
  const base::Duration Passed = Now - EvaluatedAt;
  if (Passed < kInterval || (Seen < kLeastSeen && Passed < kLongestInterval))
    return;
  const double Failures = Seen == 0 ? 0 : 1 - double(Successes) / Seen;
  if (Seen > 0)
    Congestion += kLatestWeight * (double(Marked) / Seen - Congestion);
  if (Congestion <= kToleratedCongestion && Failures < kToleratedFailures) {
    const double Intervals =
        double(Passed.count()) / double(base::Duration(kInterval).count());
    Share = std::min(1.0, Share + Growth * Intervals);
    Growth = std::min(kLargestGrowth, kGrowthFactor * Growth);
  } else if (Seen >= kLeastSeen) {
    Share *= (1 - Reaction * Congestion) * (1 - kFailureReaction * Failures);
    Share = std::max(kLeastShare, Share);
    Growth = kFirstGrowth;
  }
  Seen = 0;
  Successes = 0;
  Marked = 0;
  EvaluatedAt = Now;
}

} // namespace overload
