#include "retry/retrypolicy.h"

#include <doctest/doctest.h>

using namespace retry;
using namespace std::chrono_literals;
using base::ErrorKind;
using base::Outcome;

namespace {

struct Fixture {
  base::ManualClock Clock;
  RetryPolicy Policy{Clock, 1};
  RetryAllowance Allowance{3};
  RetryBudget Budget;

  RetryReason decide(ErrorKind Kind, Outcome Result, bool Idempotent,
                     base::Duration TimeLeft = 10s) {
    FailedAttempt Attempt{Kind, Result, Idempotent, 0, Clock.now() + TimeLeft};
    return Policy.decide(Attempt, Allowance, Budget).Reason;
  }
};

} // namespace

TEST_CASE("a call that may have run and is not idempotent is not retried") {
  Fixture Test;
  CHECK(Test.decide(ErrorKind::OutcomeUnknown, Outcome::Unknown, false) ==
        RetryReason::MayHaveRun);
  CHECK(Test.decide(ErrorKind::Internal, Outcome::Ran, true) ==
        RetryReason::MayHaveRun);
  CHECK(Test.decide(ErrorKind::OutcomeUnknown, Outcome::Unknown, true) ==
        RetryReason::Retry);
  CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, false) ==
        RetryReason::Retry);
  CHECK(Test.Allowance.remaining() == 1);
}

TEST_CASE("refusals for rate or load are not retried") {
  Fixture Test;
  for (const ErrorKind Kind :
       {ErrorKind::RateExceeded, ErrorKind::LimitUnavailable,
        ErrorKind::Overloaded, ErrorKind::DeadlineExceeded,
        ErrorKind::Cancelled, ErrorKind::KeyUnknown})
    CHECK(Test.decide(Kind, Outcome::NotRun, true) ==
          RetryReason::NotRetryable);
  CHECK(Test.Allowance.remaining() == 3);
}

TEST_CASE("no retry is made when the allowance or the budget is exhausted, and "
          "neither is consumed if the other refuses the retry") {
  Fixture Test;
  Test.Allowance = RetryAllowance(0);
  CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, true) ==
        RetryReason::AllowanceExhausted);
  Test.Allowance = RetryAllowance(20);
  for (std::uint64_t Index = 0; Index < kBudgetFloor; ++Index)
    CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, true) ==
          RetryReason::Retry);
  CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, true) ==
        RetryReason::BudgetExhausted);
  CHECK(Test.Allowance.remaining() == 10);
}

TEST_CASE("a retry that can't start in time before the deadline is not made") {
  Fixture Test;
  CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, true, 4ms) ==
        RetryReason::DeadlineTooClose);
  CHECK(Test.decide(ErrorKind::Draining, Outcome::NotRun, true, -1s) ==
        RetryReason::DeadlineTooClose);
}

TEST_CASE("delays are distributed over the whole range up to a doubling limit, "
          "so that clients don't retry at the same time") {
  Fixture Test;
  for (std::uint32_t Earlier = 0; Earlier < 40; ++Earlier) {
    base::Duration Shortest = 1h;
    base::Duration Longest = 0s;
    for (int Round = 0; Round < 200; ++Round) {
      RetryAllowance Allowance(1);
      RetryBudget Budget;
      const RetryDecision Decision =
          Test.Policy.decide({ErrorKind::Draining, Outcome::NotRun, true,
                              Earlier, Test.Clock.now() + 1h},
                             Allowance, Budget);
      REQUIRE(Decision.shouldRetry());
      Shortest = std::min(Shortest, Decision.Delay);
      Longest = std::max(Longest, Decision.Delay);
    }
    const base::Duration Bound =
        Earlier < 6 ? std::min<base::Duration>(1s, 25ms * (1 << Earlier)) : 1s;
    CHECK(Longest <= Bound);
    CHECK(Longest > Bound / 2);
    CHECK(Shortest < Bound / 4);
  }
}
