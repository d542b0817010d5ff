#include "overload/entrythrottle.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace std::chrono_literals;
using overload::EntryThrottle;

namespace {

/// Model of a downstream service that completes a fixed number of calls per
/// second. Requests that arrive while it is behind time out, but their calls
/// still take its time.
struct DownstreamService {
  explicit DownstreamService(base::ManualClock &Clock) : Clock(Clock) {}

  static constexpr double kCallsPerSecond = 400;
  static constexpr double kCallsPerRequest = 4;
  static constexpr base::Duration kTimeout = 500ms;

  struct Outcome {
    base::BootTime CompletedAt;
    bool Succeeded;
    bool Congested;
  };

  /// Starts a request and schedules its outcome.
  void start() {
    const base::BootTime Now = Clock.now();
    const auto Work = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(kCallsPerRequest / kCallsPerSecond));
    BusyUntil = std::max(BusyUntil, Now);
    // Calls that could only start long after the request has timed out are
    // dropped.
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

/// Offers requests at a rate for some seconds and returns how many succeeded.
int offer(double PerSecond, int Seconds, bool Throttled) {
  base::ManualClock Clock;
  DownstreamService Service(Clock);
  EntryThrottle Throttle(Clock, base::PriorityClass::Background);
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Uniform(0, 1);
  int Succeeded = 0;
  for (int Step = 0; Step < Seconds * 1000; ++Step) {
    Clock.advance(1ms);
    for (auto It = Service.Outcomes.begin(); It != Service.Outcomes.end();) {
      if (It->CompletedAt > Clock.now()) {
        ++It;
        continue;
      }
      Throttle.recordOutcome(It->Succeeded, It->Congested);
      Succeeded += It->Succeeded ? 1 : 0;
      It = Service.Outcomes.erase(It);
    }
    if (Uniform(Random) < PerSecond / 1000 &&
        (!Throttled || Throttle.admit(Uniform(Random))))
      Service.start();
  }
  return Succeeded;
}

} // namespace

// Load pattern: a surge at three times the capacity of a small downstream
// service that each request calls four times. Guards against a fleet that
// starts all requests and completes none.
TEST_CASE("a surge at three times a downstream service's capacity keeps its "
          "goodput") {
  const double Capacity = 20 * DownstreamService::kCallsPerSecond /
                          DownstreamService::kCallsPerRequest;
  const int Without = offer(300, 20, false);
  const int With = offer(300, 20, true);
  CAPTURE(Without);
  CAPTURE(With);
  CHECK(With > 0.5 * Capacity);
  CHECK(With > 2 * Without);
}

// Guards against refusals while no request fails.
TEST_CASE("a route without overload is not throttled") {
  const int Served = offer(70, 20, true);
  CHECK(Served > 70 * 20 * 0.95);
}

// Guards against a throttle that stays low after the overload has ended.
TEST_CASE("a throttled route recovers within seconds") {
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

// Load pattern: one of nine servers does not respond to half of its requests.
// Guards against a throttle that refuses requests because of failures that are
// not caused by queueing.
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

// Guards against congestion that is never reported, because the requests time
// out in the queue.
TEST_CASE("a route on which most requests time out is throttled") {
  base::ManualClock Clock;
  EntryThrottle Throttle(Clock, base::PriorityClass::Critical);
  for (int Count = 0; Count < 500; ++Count) {
    Clock.advance(10ms);
    Throttle.recordOutcome(Count % 5 == 0, false);
  }
  CHECK(Throttle.admittedShare() < 0.2);
}
