#include "overload/entrythrottle.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace std::chrono_literals;
using overload::EntryThrottle;

namespace {

/// A deep service that finishes a number of calls a second. Requests that came
/// in while it was behind time out, but their calls take its time all the same.
struct DeepService {
  explicit DeepService(base::ManualClock &Clock) : Clock(Clock) {}

  static constexpr double kCallsPerSecond = 400;
  static constexpr double kCallsPerRequest = 4;
  static constexpr base::Duration kTimeout = 500ms;

  struct Outcome {
    base::BootTime At;
    bool Succeeded;
    bool Congested;
  };

  /// Starts a request; its outcome comes later.
  void start() {
    const base::BootTime Now = Clock.now();
    const auto Work = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(kCallsPerRequest / kCallsPerSecond));
    BusyUntil = std::max(BusyUntil, Now);
    // Calls that can't start before the request times out are dropped.
    if (BusyUntil - Now > 2 * kTimeout) {
      Outcomes.push_back({Now + kTimeout, false, true});
      return;
    }
    const bool Congested = BusyUntil - Now > 20ms;
    BusyUntil += Work;
    const bool InTime = BusyUntil - Now <= kTimeout;
    Outcomes.push_back(
        {InTime ? BusyUntil : Now + kTimeout, InTime, Congested});
  }

  base::ManualClock &Clock;
  base::BootTime BusyUntil;
  std::deque<Outcome> Outcomes;
};

/// Offers requests at a rate for some seconds; the number that succeeded.
int offer(double PerSecond, int Seconds, bool Throttled) {
  base::ManualClock Clock;
  DeepService Service(Clock);
  EntryThrottle Throttle(Clock, base::PriorityClass::Background);
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Uniform(0, 1);
  int Succeeded = 0;
  for (int Step = 0; Step < Seconds * 1000; ++Step) {
    Clock.advance(1ms);
    for (auto At = Service.Outcomes.begin(); At != Service.Outcomes.end();) {
      if (At->At > Clock.now()) {
        ++At;
        continue;
      }
      Throttle.recordOutcome(At->Succeeded, At->Congested);
      Succeeded += At->Succeeded ? 1 : 0;
      At = Service.Outcomes.erase(At);
    }
    if (Uniform(Random) < PerSecond / 1000 &&
        (!Throttled || Throttle.admit(Uniform(Random))))
      Service.start();
  }
  return Succeeded;
}

} // namespace

// Pattern: a surge at three times the capacity of a small deep service that
// each request calls four times. Guards against a fleet that starts everything
// and finishes nothing.
TEST_CASE(
    "a surge at three times a deep service's capacity keeps its goodput") {
  const double Capacity =
      20 * DeepService::kCallsPerSecond / DeepService::kCallsPerRequest;
  const int Without = offer(300, 20, false);
  const int With = offer(300, 20, true);
  CAPTURE(Without);
  CAPTURE(With);
  CHECK(With > 0.5 * Capacity);
  CHECK(With > 2 * Without);
}

// Guards against refusals while nothing fails.
TEST_CASE("a route that works is not throttled") {
  const int Served = offer(70, 20, true);
  CHECK(Served > 70 * 20 * 0.95);
}

// Guards against a throttle that stays after the trouble has ended.
TEST_CASE("a throttled route opens again within seconds") {
  base::ManualClock Clock;
  EntryThrottle Throttle(Clock, base::PriorityClass::Background);
  for (int Count = 0; Count < 200; ++Count) {
    Clock.advance(10ms);
    Throttle.recordOutcome(false, true);
  }
  CHECK(!Throttle.admit(0.5));
  int Refused = 0;
  std::mt19937 Random(3);
  std::uniform_real_distribution<double> Uniform(0, 1);
  for (int Count = 0; Count < 1000; ++Count) {
    Clock.advance(10ms);
    if (Throttle.admit(Uniform(Random)))
      Throttle.recordOutcome(true, false);
    else
      Refused += Count >= 500 ? 1 : 0;
  }
  CHECK(Refused < 50);
}

// Pattern: one of nine servers mutes half of its requests. Guards against a
// throttle that refuses requests because of failures that no queue causes.
TEST_CASE("failures of a few broken servers do not throttle a route") {
  base::ManualClock Clock;
  EntryThrottle Throttle(Clock, base::PriorityClass::Background);
  std::mt19937 Random(3);
  for (int Count = 0; Count < 1000; ++Count) {
    Clock.advance(10ms);
    Throttle.recordOutcome(Random() % 18 != 0, false);
  }
  CHECK(Throttle.admittedShare() > 0.9);
}

// Guards against requests that time out in a queue and so never report it.
TEST_CASE("a route on which most requests time out is throttled") {
  base::ManualClock Clock;
  EntryThrottle Throttle(Clock, base::PriorityClass::Critical);
  for (int Count = 0; Count < 500; ++Count) {
    Clock.advance(10ms);
    Throttle.recordOutcome(Count % 5 == 0, false);
  }
  CHECK(Throttle.admittedShare() < 0.2);
}
