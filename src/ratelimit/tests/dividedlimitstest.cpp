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

/// A fleet in which the test chooses the daemon that each request enters.
struct Fleet {
  explicit Fleet(std::size_t Count) {
    Daemons.resize(Count);
    start(true);
  }

  void start(bool FirstStart) {
    for (auto &Each : Daemons) {
      Each = std::make_unique<DividedLimits>(Clock, kTolerance, FirstStart);
      Each->setDaemonCount(Daemons.size());
    }
    Coordinator = 0;
    Daemons[0]->setCoordinator(kWorkspace, true);
  }

  void moveCoordinator(std::size_t To) {
    Daemons[Coordinator]->setCoordinator(kWorkspace, false);
    Daemons[To]->setCoordinator(kWorkspace, true);
    Coordinator = To;
  }

  bool request(std::size_t DaemonIndex, const RateAndBurst &Limit,
               bool CoordinatorReachable = true) {
    DividedLimits &Daemon = *Daemons[DaemonIndex];
    bool Admitted =
        Daemon.tryAdmit(kWorkspace, Limit) == AdmissionResult::Admitted;
    if (!Admitted && CoordinatorReachable &&
        Daemons[Coordinator]->grant(kWorkspace, Limit, 1) == 1) {
      Daemon.addPermits(kWorkspace, 1);
      Admitted =
          Daemon.tryAdmit(kWorkspace, Limit) == AdmissionResult::Admitted;
    }
    if (Admitted)
      AdmittedAt.push_back(Clock.now());
    return Admitted;
  }

  /// Advances the clock; the daemons that run tick meanwhile.
  void advance(base::Duration Length) {
    for (base::Duration Left = Length; Left > 0ms; Left -= kTickInterval) {
      Clock.advance(std::min<base::Duration>(Left, kTickInterval));
      for (const auto &Each : Daemons)
        if (Each.get() != Paused)
          Each->tick();
    }
  }

  /// Sends `PerStep` requests to random daemons in each of `Steps`
  /// milliseconds.
  void applyLoad(int Steps, const RateAndBurst &Limit, int PerStep = 1) {
    for (int Step = 0; Step < Steps; ++Step) {
      advance(1ms);
      for (int Count = 0; Count < PerStep; ++Count)
        request(Random() % Daemons.size(), Limit);
    }
  }

  /// Highest number of requests admitted in any window of five seconds.
  double busiestWindow() const {
    std::size_t Max = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < AdmittedAt.size(); ++Last) {
      while (AdmittedAt[Last] - AdmittedAt[First] > 5s)
        ++First;
      Max = std::max(Max, Last - First + 1);
    }
    return double(Max);
  }

  static constexpr base::Duration kTickInterval = 20ms;

  base::ManualClock Clock;
  std::mt19937 Random{1};
  std::vector<std::unique_ptr<DividedLimits>> Daemons;
  std::size_t Coordinator = 0;
  /// A daemon whose process doesn't run; may be null.
  const DividedLimits *Paused = nullptr;
  std::vector<base::BootTime> AdmittedAt;
};

double maxAllowed(const RateAndBurst &Limit) {
  return (Limit.Rate * 5 + Limit.Burst) * 1.1 + 20;
}

} // namespace

// Load: one workspace sends several times its rate, to all daemons. Guards
// against admitting more than the fleet-wide limit in any window, and against
// admitting less.
TEST_CASE("a workspace at several times its rate gets its rate and no more") {
  for (const double Rate : {5.0, 50.0, 400.0}) {
    CAPTURE(Rate);
    const RateAndBurst Limit{Rate, Rate};
    Fleet Test(24);
    Test.applyLoad(20'000, Limit, std::max(1, int(Rate / 100)));
    CHECK(Test.busiestWindow() <= maxAllowed(Limit));
    CHECK(double(Test.AdmittedAt.size()) >= Rate * 20);
  }
}

// Load: all requests of a workspace enter at a sixth of the daemons, at a usual
// fraction of its rate. Guards against refusals because equal shares ignore
// where the demand is.
TEST_CASE("demand that is concentrated at a few daemons is admitted") {
  const RateAndBurst Limit{64, 64};
  Fleet Test(24);
  int Refused = 0;
  for (int Step = 0; Step < 2'000; ++Step) {
    Test.advance(25ms);
    Refused += Test.request(Test.Random() % 4, Limit) ? 0 : 1;
  }
  CHECK(Refused == 0);
}

// Load: steady demand of a small workspace, spread thinly over all daemons.
// Guards against refusals although the workspace stays within its rate.
TEST_CASE("a small workspace within its rate is not refused") {
  const RateAndBurst Limit{8, 8};
  Fleet Test(24);
  int Refused = 0;
  for (int Step = 0; Step < 500; ++Step) {
    Test.advance(200ms);
    Refused += Test.request(Test.Random() % 24, Limit) ? 0 : 1;
  }
  CHECK(Refused == 0);
}

// Guards against the limit being admitted twice when some daemons cannot reach
// the coordinator.
TEST_CASE("the limit holds when some daemons cannot reach the coordinator") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (int Step = 0; Step < 15'000; ++Step) {
    Test.advance(1ms);
    const std::size_t DaemonIndex = Test.Random() % 24;
    Test.request(DaemonIndex, Limit, DaemonIndex < 12);
  }
  CHECK(Test.busiestWindow() <= maxAllowed(Limit));
}

// Load: all daemons lose power under full load and start again 500 ms later,
// several times. Guards against shares that are used twice within a window.
TEST_CASE("the limit holds across restarts of the whole fleet") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (int Round = 0; Round < 5; ++Round) {
    Test.applyLoad(7'000, Limit);
    Test.advance(500ms);
    Test.start(false);
  }
  CHECK(Test.busiestWindow() <= maxAllowed(Limit));
}

// Load: the coordinator of a workspace under full load changes every few
// seconds. Guards against both coordinators granting the same part of the
// limit.
TEST_CASE("the limit holds while the coordinator changes") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  for (std::size_t Round = 1; Round < 10; ++Round) {
    Test.applyLoad(3'000, Limit);
    Test.moveCoordinator(Round);
  }
  CHECK(Test.busiestWindow() <= maxAllowed(Limit));
}

// Guards against a burst that is granted a second time by a coordinator that
// was paused, or cut off, while another one took its place.
TEST_CASE("the limit holds when a coordinator returns that was replaced") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(3);
  Test.advance(3s);
  DividedLimits &Replaced = *Test.Daemons[0];
  // The others use daemon 1 without daemon 0 learning of it.
  SUBCASE("paused") { Test.Paused = &Replaced; }
  SUBCASE("cut off") {}
  Test.Daemons[1]->setCoordinator(kWorkspace, true);
  Test.Coordinator = 1;
  Test.advance(3s);
  for (int Step = 0; Step < 800; ++Step) {
    Test.advance(1ms);
    Test.request(1 + Test.Random() % 2, Limit);
  }
  Test.Daemons[1]->setCoordinator(kWorkspace, false);
  Test.Coordinator = 0;
  // A process that was paused may get a permit request before its first tick.
  if (Test.Paused == nullptr)
    Replaced.onOtherCoordinator(kWorkspace, Limit, 0ms);
  for (int Step = 0; Step < 6000; ++Step) {
    Test.request(Test.Random() % 3, Limit);
    Test.Paused = nullptr;
    Test.advance(1ms);
  }
  CHECK(Test.busiestWindow() <= maxAllowed(Limit));
}

// Guards against a notice of an old change that empties a bucket again.
TEST_CASE("what has become available since another coordinator was replaced "
          "is granted") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(3);
  Test.advance(3s);
  DividedLimits &Coordinator = *Test.Daemons[0];
  const std::uint32_t All = 1000;
  SUBCASE("while the fleet started") {
    Coordinator.onOtherCoordinator(kWorkspace, Limit, 2900ms);
    CHECK(Coordinator.grant(kWorkspace, Limit, All) >= 70);
  }
  SUBCASE("long ago") {
    Coordinator.onOtherCoordinator(kWorkspace, Limit, 3s);
    CHECK(Coordinator.grant(kWorkspace, Limit, All) >= 70);
  }
  SUBCASE("half a second ago") {
    Coordinator.onOtherCoordinator(kWorkspace, Limit, 500ms);
    const std::uint32_t Granted = Coordinator.grant(kWorkspace, Limit, All);
    CHECK(Granted >= 30);
    CHECK(Granted <= 50);
  }
}

TEST_CASE("a workspace without a limit is always admitted") {
  base::ManualClock Clock;
  DividedLimits Daemon(Clock, kTolerance, true);
  Daemon.setDaemonCount(24);
  for (int Count = 0; Count < 10'000; ++Count)
    REQUIRE(Daemon.tryAdmit(kWorkspace, {}) == AdmissionResult::Admitted);
}

// Load: services refuse half of what a workspace's limit allows, and the
// permits are returned after a short time in a queue. Guards against returned
// permits raising the limit for requests that run.
TEST_CASE("the limit holds for the requests that run if permits are returned") {
  const RateAndBurst Limit{100, 100};
  Fleet Test(24);
  std::vector<base::BootTime> Refused;
  for (int Step = 0; Step < 20'000; ++Step) {
    Test.advance(1ms);
    const base::BootTime Now = Test.Clock.now();
    if (Test.request(Test.Random() % 24, Limit) && Step % 2 == 0) {
      Test.AdmittedAt.pop_back();
      Refused.push_back(Now);
    }
    std::erase_if(Refused, [&](base::BootTime RefusedAt) {
      if (Now - RefusedAt < 150ms)
        return false;
      Test.Daemons[Test.Coordinator]->returnPermits(kWorkspace, Limit, 1);
      return true;
    });
  }
  CHECK(Test.busiestWindow() <= maxAllowed(Limit));
  // The whole limit is used although half of the requests are refused.
  CHECK(Test.AdmittedAt.size() > 20 * Limit.Rate);
}
