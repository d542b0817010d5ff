#include "retry/retrypolicy.h"

#include <algorithm>

namespace retry {

namespace {

// A refusal for load or rate is final here: repeating it would add load to a
// service that sheds, or charge the workspace again.
bool kindIsRetried(base::ErrorKind Kind) {
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

bool mayRepeat(const FailedAttempt &Attempt) {
  if (Attempt.Outcome == base::Outcome::Ran)
    return false;
  return Attempt.Idempotent || Attempt.Outcome == base::Outcome::NotRun;
}

} // namespace

base::Duration RetryPolicy::delayAfter(std::uint32_t EarlierRetries) {
  // Beyond six doublings the limit applies in any case.
  const std::uint32_t Doublings = std::min<std::uint32_t>(EarlierRetries, 6);
  const base::Duration Bound =
      std::min(kBackoffLimit, kBackoffBase * (1U << Doublings));
  std::uniform_int_distribution<base::Duration::rep> Jitter(0, Bound.count());
  return base::Duration(Jitter(Engine));
}

RetryDecision RetryPolicy::decide(const FailedAttempt &Attempt,
                                  RetryAllowance &Allowance,
                                  RetryBudget &Budget) {
  if (!mayRepeat(Attempt))
    return {RetryReason::MayHaveRun, {}};
  if (!kindIsRetried(Attempt.Kind))
    return {RetryReason::KindNotRetried, {}};
  const base::BootTime Now = Time.now();
  const base::Duration Delay = delayAfter(Attempt.EarlierRetries);
  if (Now + Delay + kMinimumTimeLeft > Attempt.Deadline)
    return {RetryReason::DeadlineTooClose, {}};
  if (Allowance.remaining() == 0)
    return {RetryReason::AllowanceUsedUp, {}};
  if (!Budget.consume(Now))
    return {RetryReason::BudgetUsedUp, {}};
  if (!Allowance.consume())
    return {RetryReason::AllowanceUsedUp, {}};
  return {RetryReason::Retry, Delay};
}

} // namespace retry
