#ifndef JACKDAW_RETRY_RETRYPOLICY_H
#define JACKDAW_RETRY_RETRYPOLICY_H

#include "base/clock.h"
#include "base/errors.h"
#include "retry/retryallowance.h"
#include "retry/retrybudget.h"

#include <cstdint>
#include <random>

namespace retry {

/// Upper limit of the delay before the first retry; it doubles with each retry.
inline constexpr base::Duration kBackoffBase = std::chrono::milliseconds(25);

/// Upper limit of the delay before any retry.
inline constexpr base::Duration kBackoffLimit = std::chrono::seconds(1);

/// Minimum time from the start of a retry to the deadline.
inline constexpr base::Duration kMinTimeLeft = std::chrono::milliseconds(5);

/// A failed attempt to make a call, and the properties of that call. In the
/// execution module each of these attempts is a call with its own id.
struct FailedAttempt {
  base::ErrorKind Kind = base::ErrorKind::Internal;
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Whether the route is configured as idempotent.
  bool Idempotent = false;
  /// Number of previous retries of this call.
  std::uint32_t EarlierRetries = 0;
  base::BootTime Deadline;
};

/// Reason why a failed attempt is retried or not.
enum class RetryReason : std::uint8_t {
  Retry,
  /// The request ran, or it may have run and is not idempotent.
  MayHaveRun,
  /// A retry of this kind of error can't succeed, or would add load to a
  /// service that refuses it.
  NotRetryable,
  AllowanceExhausted,
  BudgetExhausted,
  DeadlineTooClose,
};

struct RetryDecision {
  RetryReason Reason = RetryReason::NotRetryable;
  /// Delay before the retry.
  base::Duration Delay{};

  bool shouldRetry() const { return Reason == RetryReason::Retry; }
};

/// Decides whether and when a daemon retries a call to the next hop.
class RetryPolicy {
public:
  RetryPolicy(const base::Clock &Clock, std::uint64_t Seed)
      : Clock(Clock), Engine(Seed) {}

  /// Decides about one retry. If it is allowed, one unit of `Allowance` and one
  /// retry of `Budget` are consumed, even if the retry is never made.
  RetryDecision decide(const FailedAttempt &Attempt, RetryAllowance &Allowance,
                       RetryBudget &Budget);

private:
  /// Returns a random delay up to the exponential backoff limit.
  base::Duration backoffDelay(std::uint32_t EarlierRetries);

  const base::Clock &Clock;
  std::mt19937_64 Engine;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYPOLICY_H
