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

/// A kind of request that calls the shared service several times, one call
/// after the other.
struct RequestKind {
  base::PriorityClass Class;
  int Calls;
  /// Work before the first call.
  base::Duration OwnWork;
  base::Duration Timeout;
  /// Value of one served request.
  double Value;
  /// Requests per second over all entries at normal load.
  double Rate;
};

constexpr std::array<RequestKind, 3> kKinds{
    {{base::PriorityClass::Critical, 10, 100ms, 1200ms, 3, 52},
     {base::PriorityClass::Normal, 1, 0ms, 800ms, 2, 42},
     {base::PriorityClass::Background, 5, 60ms, 1000ms, 1, 133}}};

/// Model of several entries in front of one small shared service with a FIFO
/// queue; runs in steps of 1 ms, without a network.
class SharedServiceModel {
public:
  struct Result {
    std::array<int, kKinds.size()> Offered{};
    std::array<int, kKinds.size()> Served{};
    double Value = 0;

    double share(std::size_t KindIndex) const {
      return double(Served[KindIndex]) / Offered[KindIndex];
    }
  };

  SharedServiceModel() {
    for (int Entry = 0; Entry < kEntries; ++Entry)
      for (const RequestKind &Each : kKinds)
        Throttles.push_back(std::make_unique<EntryThrottle>(Clock, Each.Class));
  }

  /// Offers `Load` times the rates of the kinds, which together use the full
  /// capacity of the service.
  Result run(base::Duration Length, double Load, bool Throttled) {
    const base::BootTime Until = Clock.now() + Length;
    while (Clock.now() < Until) {
      for (std::size_t KindIndex = 0; KindIndex < kKinds.size(); ++KindIndex)
        if (uniform() < kKinds[KindIndex].Rate * Load / 1000)
          offer(KindIndex, Throttled);
      Clock.advance(1ms);
      step();
    }
    return Total;
  }

private:
  static constexpr int kEntries = 8;
  static constexpr std::size_t kSlots = 44;
  static constexpr base::Duration kCallTime = 36ms;

  struct Request {
    std::size_t KindIndex = 0;
    EntryThrottle *Throttle = nullptr;
    base::BootTime Deadline;
    int CallsLeft = 0;
    bool Congested = false;
    bool Completed = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Call {
    RequestPtr Parent;
    /// Time at which the call arrives or completes; in the queue, the time at
    /// which it arrived.
    base::BootTime Due;
  };

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void offer(std::size_t KindIndex, bool Throttled) {
    ++Total.Offered[KindIndex];
    EntryThrottle &Throttle =
        *Throttles[(Random() % kEntries) * kKinds.size() + KindIndex];
    if (Throttled && !Throttle.admit(uniform()))
      return;
    const base::BootTime Now = Clock.now();
    auto New = std::make_shared<Request>(
        Request{KindIndex, &Throttle, Now + kKinds[KindIndex].Timeout,
                kKinds[KindIndex].Calls, false, false});
    ActiveRequests.push_back(New);
    Arriving.push_back({New, Now + kKinds[KindIndex].OwnWork});
  }

  void complete(Request &Finished, bool Succeeded) {
    Finished.Completed = true;
    Finished.Throttle->recordOutcome(Succeeded, Finished.Congested);
    if (!Succeeded)
      return;
    ++Total.Served[Finished.KindIndex];
    Total.Value += kKinds[Finished.KindIndex].Value;
  }

  void step() {
    const base::BootTime Now = Clock.now();
    std::erase_if(Arriving, [&](const Call &Each) {
      if (Each.Due > Now)
        return false;
      if (!Each.Parent->Completed)
        Queue.push_back({Each.Parent, Now});
      return true;
    });
    std::erase_if(Running, [&](const Call &Each) {
      if (Each.Due > Now)
        return false;
      if (!Each.Parent->Completed && --Each.Parent->CallsLeft == 0)
        complete(*Each.Parent, true);
      else if (!Each.Parent->Completed)
        Arriving.push_back({Each.Parent, Now + 1ms});
      return true;
    });
    while (!Queue.empty() && Running.size() < kSlots) {
      const Call Next = Queue.front();
      Queue.pop_front();
      if (Next.Parent->Completed)
        continue;
      Next.Parent->Congested |= Now - Next.Due > 20ms;
      Running.push_back({Next.Parent, Now + kCallTime});
    }
    std::erase_if(ActiveRequests, [&](const RequestPtr &Each) {
      if (!Each->Completed && Now >= Each->Deadline)
        complete(*Each, false);
      return Each->Completed;
    });
  }

  base::ManualClock Clock;
  std::mt19937 Random{5};
  std::vector<std::unique_ptr<EntryThrottle>> Throttles;
  std::vector<RequestPtr> ActiveRequests;
  std::vector<Call> Arriving;
  std::deque<Call> Queue;
  std::vector<Call> Running;
  Result Total;
};

/// Highest total value that the service could have served of the offered
/// requests, by serving the kinds with the highest value per call first.
double bestValue(const SharedServiceModel::Result &Offered,
                 base::Duration Length) {
  // 44 slots and 36 ms per call, as in `SharedServiceModel`.
  double Calls =
      44 * double(Length.count()) / double(base::Duration(36ms).count());
  double Value = 0;
  for (const std::size_t KindIndex : {1, 0, 2}) {
    const double Served = std::min(double(Offered.Offered[KindIndex]),
                                   Calls / kKinds[KindIndex].Calls);
    Calls -= Served * kKinds[KindIndex].Calls;
    Value += Served * kKinds[KindIndex].Value;
  }
  return Value;
}

} // namespace

// Load pattern: all kinds of request call one small service, up to ten times
// each. Guards against requests that are started and then time out in the queue
// of the small service, and against urgent requests being refused before less
// urgent ones.
TEST_CASE("a small service that all kinds call serves the urgent requests in "
          "a surge") {
  const auto Surge = SharedServiceModel().run(30s, 1.4, true);
  const auto Unthrottled = SharedServiceModel().run(30s, 1.4, false);
  CAPTURE(Surge.Value);
  CAPTURE(Unthrottled.Value);
  CHECK(Surge.Value > 0.8 * bestValue(Surge, 30s));
  CHECK(Surge.Value > 1.3 * Unthrottled.Value);
  CHECK(Surge.share(0) > Surge.share(2));
  CHECK(Surge.share(1) > Surge.share(2));
}

// Guards against starvation: the served share of each kind must be at least a
// quarter of the overall share.
TEST_CASE("a surge at 3.5 times the capacity starves no kind") {
  const auto Surge = SharedServiceModel().run(30s, 3.5, true);
  const double All =
      double(Surge.Served[0] + Surge.Served[1] + Surge.Served[2]) /
      (Surge.Offered[0] + Surge.Offered[1] + Surge.Offered[2]);
  CHECK(Surge.Value > 0.5 * bestValue(Surge, 30s));
  for (std::size_t KindIndex = 0; KindIndex < kKinds.size(); ++KindIndex)
    CHECK(Surge.share(KindIndex) > All / 4);
}

// Guards against refusals while the service keeps up.
TEST_CASE("a load of four fifths of the capacity is served completely") {
  const auto Calm = SharedServiceModel().run(30s, 0.8, true);
  for (std::size_t KindIndex = 0; KindIndex < kKinds.size(); ++KindIndex)
    CHECK(Calm.share(KindIndex) > 0.95);
}
