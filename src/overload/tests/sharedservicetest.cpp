#include "overload/entrythrottle.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using overload::EntryThrottle;

namespace {

/// A kind of request that calls the deep service several times, one call after
/// the other.
struct Kind {
  base::PriorityClass Class;
  int Calls;
  /// Work before the first call.
  base::Duration OwnWork;
  base::Duration Timeout;
  double Worth;
  /// Requests a second over all entries at the normal load.
  double Rate;
};

constexpr std::array<Kind, 3> kKinds{
    {{base::PriorityClass::Critical, 10, 100ms, 1200ms, 3, 52},
     {base::PriorityClass::Normal, 1, 0ms, 800ms, 2, 42},
     {base::PriorityClass::Background, 5, 60ms, 1000ms, 1, 133}}};

/// Several entries in front of one small deep service with a queue in the
/// order of arrival; in steps of 1 ms, without a network.
class DeepServiceModel {
public:
  struct Result {
    std::array<int, kKinds.size()> Offered{};
    std::array<int, kKinds.size()> Served{};
    double Worth = 0;

    double share(std::size_t At) const {
      return double(Served[At]) / Offered[At];
    }
  };

  DeepServiceModel() {
    for (int Entry = 0; Entry < kEntries; ++Entry)
      for (const Kind &Each : kKinds)
        Throttles.push_back(std::make_unique<EntryThrottle>(Clock, Each.Class));
  }

  /// Offers a multiple of the kinds' rates, which together take the whole
  /// service.
  Result run(base::Duration Length, double Load, bool Throttled) {
    const base::BootTime Until = Clock.now() + Length;
    while (Clock.now() < Until) {
      for (std::size_t At = 0; At < kKinds.size(); ++At)
        if (uniform() < kKinds[At].Rate * Load / 1000)
          offer(At, Throttled);
      Clock.advance(1ms);
      step();
    }
    return Sum;
  }

private:
  static constexpr int kEntries = 8;
  static constexpr std::size_t kSlots = 44;
  static constexpr base::Duration kCallTime = 36ms;

  struct Request {
    std::size_t At = 0;
    EntryThrottle *Throttle = nullptr;
    base::BootTime Deadline;
    int CallsLeft = 0;
    bool Congested = false;
    bool Ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Call {
    RequestPtr For;
    base::BootTime When;
  };

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void offer(std::size_t At, bool Throttled) {
    ++Sum.Offered[At];
    EntryThrottle &Throttle =
        *Throttles[(Random() % kEntries) * kKinds.size() + At];
    if (Throttled && !Throttle.admit(uniform()))
      return;
    const base::BootTime Now = Clock.now();
    auto New = std::make_shared<Request>(
        Request{At, &Throttle, Now + kKinds[At].Timeout, kKinds[At].Calls,
                false, false});
    Open.push_back(New);
    Coming.push_back({New, Now + kKinds[At].OwnWork});
  }

  void end(Request &Which, bool Succeeded) {
    Which.Ended = true;
    Which.Throttle->recordOutcome(Succeeded, Which.Congested);
    if (!Succeeded)
      return;
    ++Sum.Served[Which.At];
    Sum.Worth += kKinds[Which.At].Worth;
  }

  void step() {
    const base::BootTime Now = Clock.now();
    std::erase_if(Coming, [&](const Call &Each) {
      if (Each.When > Now)
        return false;
      if (!Each.For->Ended)
        Queue.push_back({Each.For, Now});
      return true;
    });
    std::erase_if(Running, [&](const Call &Each) {
      if (Each.When > Now)
        return false;
      if (!Each.For->Ended && --Each.For->CallsLeft == 0)
        end(*Each.For, true);
      else if (!Each.For->Ended)
        Coming.push_back({Each.For, Now + 1ms});
      return true;
    });
    while (!Queue.empty() && Running.size() < kSlots) {
      const Call Next = Queue.front();
      Queue.pop_front();
      if (Next.For->Ended)
        continue;
      Next.For->Congested |= Now - Next.When > 20ms;
      Running.push_back({Next.For, Now + kCallTime});
    }
    std::erase_if(Open, [&](const RequestPtr &Each) {
      if (!Each->Ended && Now >= Each->Deadline)
        end(*Each, false);
      return Each->Ended;
    });
  }

  base::ManualClock Clock;
  std::mt19937 Random{5};
  std::vector<std::unique_ptr<EntryThrottle>> Throttles;
  std::vector<RequestPtr> Open;
  std::vector<Call> Coming;
  std::deque<Call> Queue;
  std::vector<Call> Running;
  Result Sum;
};

/// Most worth that the deep service could have served of what was offered:
/// first what is worth most per call.
double bestWorth(const DeepServiceModel::Result &Offered, base::Duration Time) {
  double Calls =
      44 * double(Time.count()) / double(base::Duration(36ms).count());
  double Worth = 0;
  for (const std::size_t At : {1, 0, 2}) {
    const double Served =
        std::min(double(Offered.Offered[At]), Calls / kKinds[At].Calls);
    Calls -= Served * kKinds[At].Calls;
    Worth += Served * kKinds[At].Worth;
  }
  return Worth;
}

} // namespace

// Load pattern: all kinds of request call one small service, up to ten times
// each. Guards against requests that are started and run out of time in the
// small service's queue, and against urgent ones that give way before others.
TEST_CASE("a small service that all kinds call serves the urgent ones in a "
          "surge") {
  const auto Surge = DeepServiceModel().run(30s, 1.4, true);
  const auto Unthrottled = DeepServiceModel().run(30s, 1.4, false);
  CAPTURE(Surge.Worth);
  CAPTURE(Unthrottled.Worth);
  CHECK(Surge.Worth > 0.8 * bestWorth(Surge, 30s));
  CHECK(Surge.Worth > 1.3 * Unthrottled.Worth);
  CHECK(Surge.share(0) > Surge.share(2));
  CHECK(Surge.share(1) > Surge.share(2));
}

// Guards against a kind that is starved: each must be served at least a quarter
// as often as all.
TEST_CASE("a surge at three times the capacity starves no kind") {
  const auto Surge = DeepServiceModel().run(30s, 3.5, true);
  const double All =
      double(Surge.Served[0] + Surge.Served[1] + Surge.Served[2]) /
      (Surge.Offered[0] + Surge.Offered[1] + Surge.Offered[2]);
  CHECK(Surge.Worth > 0.5 * bestWorth(Surge, 30s));
  for (std::size_t At = 0; At < kKinds.size(); ++At)
    CHECK(Surge.share(At) > All / 4);
}

// Guards against refusals while the service keeps up.
TEST_CASE("four fifths of the capacity are served whole") {
  const auto Calm = DeepServiceModel().run(30s, 0.8, true);
  for (std::size_t At = 0; At < kKinds.size(); ++At)
    CHECK(Calm.share(At) > 0.95);
}
