#ifndef JACKDAW_RETRY_RETRYPOLICY_H
#define JACKDAW_RETRY_RETRYPOLICY_H

#include "base/clock.h"
#include "base/errors.h"
#include "retry/retryallowance.h"
#include "retry/retrybudget.h"

#include <cstdint>
#include <random>

namespace retry {

/// Upper bound of the delay before the first retry; it doubles per retry.
inline constexpr base::Duration kBackoffBase = std::chrono::milliseconds(25);

/// Upper bound of the delay before any retry.
inline constexpr base::Duration kBackoffLimit = std::chrono::seconds(1);

/// Time that must be left before the deadline when a retry starts.
inline constexpr base::Duration kMinimumTimeLeft = std::chrono::milliseconds(5);

/// How an attempt failed.
struct FailedAttempt {
  base::ErrorKind Kind = base::ErrorKind::Internal;
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Whether the route is marked as safe to repeat.
  bool Idempotent = false;
  /// Retries of this call that have been made before.
  std::uint32_t EarlierRetries = 0;
  base::BootTime Deadline;
};

/// Why a failed attempt is retried or not.
enum class RetryReason : std::uint8_t {
  Retry,
  /// The request ran, or may have run and must not be repeated.
  MayHaveRun,
  /// A repeat can't help, or would add load to a service that refuses it.
  KindNotRetried,
  AllowanceUsedUp,
  BudgetUsedUp,
  DeadlineTooClose,
};

struct RetryDecision {
  RetryReason Reason = RetryReason::KindNotRetried;
  /// Time to wait before the retry.
  base::Duration Delay{};

  bool shouldRetry() const { return Reason == RetryReason::Retry; }
};

/// Decides whether and when a daemon repeats a call to the next hop.
class RetryPolicy {
public:
  RetryPolicy(const base::Clock &Time, std::uint64_t Seed)
      : Time(Time), Engine(Seed) {}

  /// On a positive decision one unit of `Allowance` and one retry of `Budget`
  /// are used up, whether the retry is made or not.
  RetryDecision decide(const FailedAttempt &Attempt, RetryAllowance &Allowance,
                       RetryBudget &Budget);

private:
  base::Duration delayAfter(std::uint32_t EarlierRetries);

  const base::Clock &Time;
  std::mt19937_64 Engine;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYPOLICY_H
