#include "overload/adaptivelimit.h"

#include <doctest/doctest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <functional>
#include <vector>

using namespace std::chrono_literals;
using overload::AdaptiveLimit;
using overload::CompletionStatus;

namespace {

/// Model of a backend server whose active calls share a number of cores. Demand
/// always exceeds the limit.
class SaturatedBackend {
public:
  SaturatedBackend(double Cores, std::uint32_t Slots)
      : Cores(Cores), Limit(Clock, Slots) {}

  /// Work of the next call in milliseconds.
  std::function<double()> NextWork = [this] {
    return 15 + 10 * Uniform(Engine);
  };

  /// Runs calls for `Span` and returns the number of responses.
  int run(std::chrono::milliseconds Span) {
    int Responses = 0;
    for (int Step = 0; Step < Span.count(); ++Step) {
      while (Limit.hasFreeSlot())
        start();
      Clock.advance(1ms);
      Responses += work();
      if (Step % 10 == 0)
        Limit.tick();
    }
    return Responses;
  }

  double sampleUniform() { return Uniform(Engine); }

  base::ManualClock Clock;
  double Cores;
  /// Calls in flight beyond which the backend server refuses new ones.
  std::size_t RefusalThreshold = 1000;
  AdaptiveLimit Limit;

private:
  struct Call {
    double WorkLeft;
    base::BootTime StartedAt;
  };

  void start() {
    Limit.callStarted();
    const bool Refused = Active.size() >= RefusalThreshold;
    Active.push_back({Refused ? -1 : NextWork(), Clock.now()});
  }

  int work() {
    const double Speed = std::min(1.0, Cores / double(Active.size()));
    int Responses = 0;
    std::erase_if(Active, [&](Call &Each) {
      const bool Refused = Each.WorkLeft < 0;
      Each.WorkLeft -= Speed;
      if (Each.WorkLeft > 0)
        return false;
      Responses += Refused ? 0 : 1;
      Limit.callCompleted(Refused ? CompletionStatus::Failed
                                  : CompletionStatus::Responded,
                          Clock.now() - Each.StartedAt);
      return true;
    });
    return Responses;
  }

  boost::random::mt19937 Engine{1};
  boost::random::uniform_01<double> Uniform;
  std::vector<Call> Active;
};

} // namespace

TEST_CASE("a cold backend server starts with few calls and the limit reaches "
          "its slots within seconds") {
  SaturatedBackend Backend(60, 60);
  CHECK(Backend.Limit.limit() <= 6);
  std::uint32_t Highest = 0;
  for (int Step = 0; Step < 500; ++Step) {
    Backend.run(10ms);
    Highest = std::max(Highest, Backend.Limit.limit());
  }
  CHECK(Highest == 60);
}

TEST_CASE("the limit converges on a capacity below the slots without loss of "
          "throughput, for all slot counts in use") {
  for (const std::uint32_t Slots : {7U, 10U, 60U, 90U}) {
    CAPTURE(Slots);
    const double Cores = std::max(2.0, Slots / 4.0);
    SaturatedBackend Backend(Cores, Slots);
    Backend.run(10s);
    const int Responses = Backend.run(10s);
    CHECK(Backend.Limit.limit() <= 2 * Cores);
    CHECK(Responses >= 0.9 * Cores * 10000 / 20);
  }
}

TEST_CASE("a temporary fivefold latency neither reduces throughput nor leaves "
          "the limit too high") {
  SaturatedBackend Backend(20, 60);
  Backend.run(10s);
  double Factor = 5;
  Backend.NextWork = [&] {
    return Factor * (15 + 10 * Backend.sampleUniform());
  };
  Backend.run(5s);
  CHECK(Backend.run(10s) >= 0.9 * 20 * 10000 / 100);
  Factor = 1;
  Backend.run(5s);
  CHECK(Backend.run(10s) >= 0.9 * 20 * 10000 / 20);
  CHECK(Backend.Limit.limit() <= 40);
}

TEST_CASE("a mix of short and long calls does not collapse the limit") {
  SaturatedBackend Backend(60, 60);
  Backend.NextWork = [&] {
    return Backend.sampleUniform() < 0.1 ? 500.0 : 5.0;
  };
  Backend.run(15s);
  const double MeanWork = 0.1 * 500 + 0.9 * 5;
  CHECK(Backend.run(30s) >= 0.8 * 60 * 30000 / MeanWork);
}

TEST_CASE("a mix that changes from short to long calls does not collapse the "
          "limit, although mean latency rises tenfold") {
  SaturatedBackend Backend(60, 60);
  Backend.NextWork = [] { return 5.0; };
  Backend.run(10s);
  Backend.NextWork = [&] {
    return Backend.sampleUniform() < 0.5 ? 100.0 : 5.0;
  };
  Backend.run(10s);
  CHECK(Backend.run(10s) >= 0.9 * 60 * 10000 / 52.5);
}

TEST_CASE("refusals by the backend server lower the limit to what it accepts") {
  SaturatedBackend Backend(60, 60);
  Backend.RefusalThreshold = 20;
  Backend.run(10s);
  CHECK(Backend.run(10s) >= 0.8 * 20 * 10000 / 20);
  CHECK(Backend.Limit.limit() <= 30);
}

TEST_CASE("failures that do not depend on load leave the limit at the slots") {
  base::ManualClock Clock;
  AdaptiveLimit Limit(Clock, 60);
  for (int Step = 0; Step < 2000; ++Step) {
    const std::uint32_t Batch = Limit.limit();
    for (std::uint32_t Call = 0; Call < Batch; ++Call)
      Limit.callStarted();
    Clock.advance(10ms);
    for (std::uint32_t Call = 0; Call < Batch; ++Call)
      Limit.callCompleted(Call % 3 == 0 ? CompletionStatus::Failed
                                        : CompletionStatus::Responded,
                          10ms);
    Limit.tick();
  }
  CHECK(Limit.limit() >= 45);
}

TEST_CASE("cancelled calls free their slot and do not count as latency") {
  base::ManualClock Clock;
  AdaptiveLimit Limit(Clock, 10);
  Limit.callStarted();
  CHECK_FALSE(Limit.hasFreeSlot());
  Clock.advance(1s);
  Limit.callCompleted(CompletionStatus::Cancelled, 1s);
  Limit.tick();
  CHECK(Limit.hasFreeSlot());
  CHECK(Limit.baseLatency() == base::Duration::zero());
}
