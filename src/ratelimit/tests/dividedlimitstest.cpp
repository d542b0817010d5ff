#include "ratelimit/dividedlimits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

const base::WorkspaceName kWorkspace("w");
const LimitTolerance kTolerance{5s, 0.1, 20};

/// A fleet in which each request enters at a chosen daemon.
struct Fleet {
  explicit Fleet(std::size_t Count) {
    Daemons.resize(Count);
    start(true);
  }

  void start(bool Fresh) {
    for (auto &Each : Daemons) {
      Each = std::make_unique<DividedLimits>(Clock, kTolerance, Fresh);
      Each->setDaemonCount(Daemons.size());
    }
    Keeper = 0;
    Daemons[0]->setCoordinator(kWorkspace, true);
  }

  void moveKeeper(std::size_t To) {
    Daemons[Keeper]->setCoordinator(kWorkspace, false);
    Daemons[To]->setCoordinator(kWorkspace, true);
    Keeper = To;
  }

  bool request(std::size_t At, const RateAndBurst &Limit,
               bool KeeperReachable = true) {
    DividedLimits &Daemon = *Daemons[At];
    bool Admitted =
        Daemon.tryAdmit(kWorkspace, Limit) == AdmissionResult::Admitted;
    if (!Admitted && KeeperReachable &&
        Daemons[Keeper]->grant(kWorkspace, Limit, 1) == 1) {
      Daemon.addPermits(kWorkspace, 1);
      Admitted =
          Daemon.tryAdmit(kWorkspace, Limit) == AdmissionResult::Admitted;
    }
    if (Admitted)
      Times.push_back(Clock.now());
    return Admitted;
  }

  /// Presses from all daemons for some milliseconds, `PerStep` requests each.
  void press(int Steps, const RateAndBurst &Limit, int PerStep = 1) {
    for (int Step = 0; Step < Steps; ++Step) {
      Clock.advance(1ms);
      for (int Count = 0; Count < PerStep; ++Count)
        request(Random() % Daemons.size(), Limit);
    }
  }

  /// Most requests admitted in any window of five seconds.
  double busiestWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Times.size(); ++Last) {
      while (Times[Last] - Times[First] > 5s)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return double(Most);
  }

  base::ManualClock Clock;
  std::mt19937 Random{1};
  std::vector<std::unique_ptr<DividedLimits>> Daemons;
  std::size_t Keeper = 0;
  std::vector<base::BootTime> Times;
};

double bound(const RateAndBurst &Limit) {
  return (Limit.Rate * 5 + Limit.Burst) * 1.1 + 20;
}

} // namespace

// Pattern: one workspace sends many times its rate at all daemons. Guards
// against more than the fleet-wide limit in any window, and against less.
TEST_CASE("a workspace at several times its rate gets its rate and no more") {
  for (const double Rate : {5.0, 50.0, 400.0}) {
    CAPTURE(Rate);
    const RateAndBurst Limit{Rate, Rate};
    Fleet Test(24);
    Test.press(20'000, Limit, std::max(1, int(Rate / 100)));
    CHECK(Test.busiestWindow() <= bound(Limit));
    CHECK(double(Test.Times.size()) >= Rate * 20);
  }
}

// Pattern: all requests of a workspace enter at a sixth of the daemons, at the
// usual share of its rate. Guards against equal shares that refuse them.
TEST_CASE("demand that gathers at few daemons is served") {
  const RateAndBurst Limit{64, 64};
  Fleet Test(24);
  int Refused = 0;
  for (int Step = 0; Step < 2'000; ++Step) {
    Test.Clock.advance(25ms);
    Refused += Test.request(Test.Random() % 4, Limit) ? 0 : 1;
  }
  CHECK(Refused == 0);
}

// Pattern: steady demand of a small workspace, spread thinly over all daemons.
TEST_CASE("a small workspace within its rate is not refused") {
  const RateAndBurst Limit{8, 8};
  Fleet Test(24);
  int Refused = 0;
  for (int Step = 0; Step < 500; ++Step) {
    Test.Clock.advance(200ms);
    Refused += Test.request(Test.Random() % 24, Limit) ? 0 : 1;
  }
  CHECK(Refused == 0);
}

// Guards against a double allowance when daemons cannot reach the keeper.
TEST_CASE("the limit holds when a part of the fleet is cut off") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (int Step = 0; Step < 15'000; ++Step) {
    Test.Clock.advance(1ms);
    const std::size_t At = Test.Random() % 24;
    Test.request(At, Limit, At < 12);
  }
  CHECK(Test.busiestWindow() <= bound(Limit));
}

// Pattern: all daemons lose power at full use and start again a second later,
// again and again. Guards against shares that are used twice within a window.
TEST_CASE("the limit holds across restarts of the whole fleet") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (int Round = 0; Round < 5; ++Round) {
    Test.press(7'000, Limit);
    Test.Clock.advance(500ms);
    Test.start(false);
  }
  CHECK(Test.busiestWindow() <= bound(Limit));
}

// Pattern: the keeper of a workspace under pressure moves every few seconds.
TEST_CASE("the limit holds while the keeper moves") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (std::size_t Round = 1; Round < 10; ++Round) {
    Test.press(3'000, Limit);
    Test.moveKeeper(Round);
  }
  CHECK(Test.busiestWindow() <= bound(Limit));
}

TEST_CASE("a workspace without a limit is always admitted") {
  base::ManualClock Clock;
  DividedLimits Daemon(Clock, kTolerance, true);
  Daemon.setDaemonCount(24);
  for (int Count = 0; Count < 10'000; ++Count)
    REQUIRE(Daemon.tryAdmit(kWorkspace, {}) == AdmissionResult::Admitted);
}

// Load pattern: services refuse half of what a workspace's limit allows, and
// the permits go back after a short stay in a queue.
TEST_CASE("the limit holds for what has run if permits are given back") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  std::vector<base::BootTime> Refused;
  for (int Step = 0; Step < 20'000; ++Step) {
    Test.Clock.advance(1ms);
    const base::BootTime Now = Test.Clock.now();
    if (Test.request(Test.Random() % 24, Limit) && Step % 2 == 0) {
      Test.Times.pop_back();
      Refused.push_back(Now);
    }
    std::erase_if(Refused, [&](base::BootTime Since) {
      if (Now - Since < 150ms)
        return false;
      Test.Daemons[Test.Keeper]->returnPermits(kWorkspace, Limit, 1);
      return true;
    });
  }
  CHECK(Test.busiestWindow() <= bound(Limit));
  // All of the limit is used although half of the requests are refused.
  CHECK(Test.Times.size() > 20 * Limit.Rate);
}
