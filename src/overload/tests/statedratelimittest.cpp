#include "overload/statedratelimit.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <limits>

using namespace std::chrono_literals;
using base::RequestRate;
using overload::StatedRateLimit;

namespace {

/// What the users' platform allows: in any window of this length, one and a
/// half times the stated rate, plus a few requests.
constexpr base::Duration kWindow = 4s;
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedSlack = 5;

struct Fixture {
  /// Sends all requests that are allowed during `Length`, with unlimited
  /// demand, and returns their number.
  int run(base::Duration Length) {
    int Sent = 0;
    for (base::Duration Elapsed{}; Elapsed < Length; Elapsed += 1ms) {
      for (; Limit.allows() && Sent < 1'000'000; ++Sent) {
        Limit.consume();
        SentAt.push_back(Clock.now());
      }
      Clock.advance(1ms);
    }
    return Sent;
  }

  /// The most requests in any window.
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < SentAt.size(); ++Last) {
      while (SentAt[First] + kWindow < SentAt[Last])
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  void state(double Rate) { Limit.observe(RequestRate{Rate}, Clock.now()); }

  base::ManualClock Clock;
  StatedRateLimit Limit{Clock};
  std::deque<base::BootTime> SentAt;
};

double allowed(double Rate) {
  return kAllowedFactor * Rate *
             std::chrono::duration<double>(kWindow).count() +
         kAllowedSlack;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "no limit applies until one is stated") {
  CHECK(Limit.allows());
  CHECK(Limit.timeUntilAllowed(1000) == 0ns);
  Limit.observe(std::nullopt, Clock.now());
  CHECK(Limit.allows());
  CHECK(!Limit.rate());
}

// Load pattern: unlimited demand at servers that state limits of any size.
TEST_CASE("every window stays within the stated rate, and the rate is used") {
  for (const double Rate : {0.0, 0.1, 0.5, 1.0, 2.0, 13.7, 200.0, 5000.0}) {
    Fixture F;
    INFO("rate: ", Rate);
    F.state(Rate);
    const int Sent = F.run(20s);
    CHECK(double(F.mostInWindow()) <= allowed(Rate));
    CHECK(Sent >= std::floor(0.95 * 20 * Rate));
    CHECK(Sent >= 1);
  }
}

// Load pattern: idle times before a surge. Guards against saving up tokens.
TEST_CASE_FIXTURE(Fixture, "an idle time allows no larger burst") {
  state(10);
  for (int Round = 0; Round < 3; ++Round) {
    Clock.advance(1min);
    run(5s);
  }
  CHECK(double(mostInWindow()) <= allowed(10));
}

TEST_CASE_FIXTURE(Fixture, "a lower limit applies at once") {
  state(1000);
  run(1s);
  SentAt.clear();
  Limit.observe(RequestRate{10}, Clock.now() - 1s);
  run(8s);
  CHECK(double(mostInWindow()) <= allowed(10));
}

// Guards against a response that was sent before the current limit was stated
// but arrives later.
TEST_CASE_FIXTURE(Fixture, "a late response neither raises nor removes the "
                           "limit") {
  const base::BootTime Early = Clock.now();
  Clock.advance(100ms);
  state(10);
  Limit.observe(RequestRate{500}, Early);
  CHECK(Limit.rate() == RequestRate{10});
  Limit.observe(std::nullopt, Early);
  CHECK(Limit.rate() == RequestRate{10});
  Clock.advance(100ms);
  Limit.observe(RequestRate{500}, Clock.now());
  CHECK(Limit.rate() == RequestRate{500});
  Clock.advance(1ms);
  Limit.observe(std::nullopt, Clock.now());
  CHECK(!Limit.rate());
  CHECK(Limit.allows());
}

// Guards against a fresh allowance with every restart of the daemon.
TEST_CASE("restarts in a row allow no additional requests") {
  Fixture F;
  F.state(20);
  F.run(4s);
  for (int Round = 0; Round < 6; ++Round) {
    StatedRateLimit Restarted(F.Clock);
    Restarted.adopt(RequestRate{20});
    for (base::Duration Elapsed{}; Elapsed < 500ms; Elapsed += 1ms) {
      for (; Restarted.allows(); Restarted.consume())
        F.SentAt.push_back(F.Clock.now());
      F.Clock.advance(1ms);
    }
  }
  CHECK(double(F.mostInWindow()) <= allowed(20));
}

TEST_CASE_FIXTURE(Fixture, "reports of other daemons apply only before the "
                           "first response") {
  Limit.adopt(RequestRate{10});
  CHECK(Limit.rate() == RequestRate{10});
  Limit.adopt(RequestRate{30});
  CHECK(Limit.rate() == RequestRate{10});
  Clock.advance(10ms);
  Limit.observe(std::nullopt, Clock.now());
  Limit.adopt(RequestRate{10});
  CHECK(!Limit.rate());
  Limit.reset();
  Limit.adopt(RequestRate{10});
  CHECK(Limit.rate() == RequestRate{10});
}

// Guards against a limit of zero that can never be removed, since only a
// response can remove it.
TEST_CASE_FIXTURE(Fixture, "single requests are sent in spite of a limit of "
                           "zero") {
  state(0);
  const int Sent = run(20s);
  CHECK(Sent >= 4);
  CHECK(Sent <= 6);
}

TEST_CASE_FIXTURE(Fixture, "the largest finite limit does not overflow") {
  state(std::numeric_limits<double>::max());
  Clock.advance(10ms);
  CHECK(Limit.allows());
  CHECK(Limit.timeUntilAllowed(1'000'000) == 0ns);
}

TEST_CASE_FIXTURE(Fixture, "the time until a request is allowed counts the "
                           "requests ahead of it") {
  state(10);
  CHECK(Limit.timeUntilAllowed(0) == 100ms);
  CHECK(Limit.timeUntilAllowed(4) == 500ms);
  Clock.advance(100ms);
  CHECK(Limit.timeUntilAllowed(0) == 0ns);
  CHECK(Limit.allows());
}

// Load pattern: callers that are refused come back all at once.
TEST_CASE_FIXTURE(Fixture, "callers are invited at the rate of the limit") {
  CHECK(Limit.inviteAfter(0) == 0ns);
  state(10);
  for (int Caller = 1; Caller <= 15; ++Caller)
    CHECK(Limit.inviteAfter(0) == Caller * 100ms);
  // Invitations have a bound, however many callers there are.
  for (int Caller = 0; Caller < 100; ++Caller)
    CHECK(Limit.inviteAfter(0) <= 2s);
  Clock.advance(10s);
  CHECK(Limit.inviteAfter(0) == 0ns);
  Clock.advance(1ms);
  Limit.observe(std::nullopt, Clock.now());
  CHECK(Limit.inviteAfter(0) == 0ns);
}
