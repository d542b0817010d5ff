#include "retry/retrypolicy.h"

#include <algorithm>

namespace retry {

namespace {

// Refusals for load or rate are not retried: a retry would add load to an
// overloaded service or count against the workspace's limits again.
bool isRetryable(base::ErrorKind Kind) {
  switch (Kind) {
  case base::ErrorKind::NoUpstream:
  case base::ErrorKind::Draining:
  case base::ErrorKind::OutcomeUnknown:
  case base::ErrorKind::Internal:
    return true;
  default:
    return false;
  }
}

bool isSafeToRetry(const FailedAttempt &Attempt) {
  if (Attempt.Outcome == base::Outcome::Ran)
    return false;
  return Attempt.Idempotent || Attempt.Outcome == base::Outcome::NotRun;
}

} // namespace

base::Duration RetryPolicy::backoffDelay(std::uint32_t EarlierRetries) {
  // After six doublings the delay exceeds `kBackoffLimit` anyway; the cap keeps
  // the shift from overflowing.
  const std::uint32_t Doublings = std::min<std::uint32_t>(EarlierRetries, 6);
  const base::Duration Bound =
      std::min(kBackoffLimit, kBackoffBase * (1U << Doublings));
  std::uniform_int_distribution<base::Duration::rep> Jitter(0, Bound.count());
  return base::Duration(Jitter(Engine));
}

RetryDecision RetryPolicy::decide(const FailedAttempt &Attempt,
                                  RetryAllowance &Allowance,
                                  RetryBudget &Budget) {
  if (!isSafeToRetry(Attempt))
    return {RetryReason::MayHaveRun, {}};
  if (!isRetryable(Attempt.Kind))
    return {RetryReason::NotRetryable, {}};
  const base::BootTime Now = Clock.now();
  const base::Duration Delay = backoffDelay(Attempt.EarlierRetries);
  if (Now + Delay + kMinTimeLeft > Attempt.Deadline)
    return {RetryReason::DeadlineTooClose, {}};
  if (Allowance.remaining() == 0)
    return {RetryReason::AllowanceExhausted, {}};
  if (!Budget.consume(Now))
    return {RetryReason::BudgetExhausted, {}};
  if (!Allowance.consume())
    return {RetryReason::AllowanceExhausted, {}};
  return {RetryReason::Retry, Delay};
}

} // namespace retry
