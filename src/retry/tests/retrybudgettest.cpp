#include "retry/retrybudget.h"
#include "retry/retrybudgettable.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace retry;
using namespace std::chrono_literals;

TEST_CASE("retries stay within the budget in every interval of the window's "
          "length under a high rate of attempts") {
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    CAPTURE(Seed);
    std::mt19937_64 Engine(Seed);
    base::ManualClock Clock;
    RetryBudget Budget;
    std::deque<base::BootTime> FirstAttempts;
    std::deque<base::BootTime> Retries;
    std::uint64_t Granted = 0;
    for (int Step = 0; Step < 20000; ++Step) {
      const base::BootTime Now = Clock.now();
      std::erase_if(FirstAttempts,
                    [Now](auto At) { return At <= Now - kBudgetWindow; });
      std::erase_if(Retries,
                    [Now](auto At) { return At <= Now - kBudgetWindow; });
      if (Engine() % 2 == 0) {
        Budget.recordFirstAttempt(Now);
        FirstAttempts.push_back(Now);
      } else if (Budget.consume(Now)) {
        Retries.push_back(Now);
        ++Granted;
        REQUIRE(Retries.size() <= 10 + FirstAttempts.size() / 10);
      }
      const bool Pause = Engine() % 5000 == 0;
      Clock.advance(std::chrono::milliseconds(Pause ? 30000 : Engine() % 80));
    }
    CHECK(Granted > 500);
  }
}

TEST_CASE(
    "an idle budget is removed, so that inactive workspaces use no memory") {
  base::ManualClock Clock;
  RetryBudgetTable Table(Clock);
  const base::ServiceName Service("fares");
  CHECK(Table.budget(Service, base::WorkspaceName("a")).consume(Clock.now()));
  Clock.advance(5s);
  Table.budget(Service, base::WorkspaceName("b"))
      .recordFirstAttempt(Clock.now());
  Table.tick();
  CHECK(Table.size() == 2);
  Clock.advance(7s);
  Table.tick();
  CHECK(Table.size() == 1);
}
