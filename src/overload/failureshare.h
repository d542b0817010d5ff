#ifndef JACKDAW_OVERLOAD_FAILURESHARE_H
#define JACKDAW_OVERLOAD_FAILURESHARE_H

#include "base/clock.h"

namespace overload {

/// Estimates which share of its calls a backend server fails or refuses now.
/// Recent calls count most: the weight of a call halves with each
/// `kHalfLife`. A few calls say little, so the estimate starts near zero and
/// returns there when no calls are made.
class FailureShare {
public:
  static constexpr base::Duration kHalfLife = std::chrono::seconds(1);
  /// Weight of the assumption that no call fails, in calls.
  static constexpr double kPriorCalls = 4;

  explicit FailureShare(const base::Clock &Clock)
      : Clock(Clock), UpdatedAt(Clock.now()) {}

  /// Records a completed call.
  void record(bool Failed);

  /// Estimated share of failed calls, between 0 and 1.
  double share();

  /// Forgets all calls, for another server process.
  void reset();

private:
  void decay();

  const base::Clock &Clock;
  base::BootTime UpdatedAt;
  /// Weighted numbers of calls.
  double Calls = 0;
  double Failures = 0;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_FAILURESHARE_H
