#include "platformlog/eratrackingstore.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

using platformlog::StoreResult;
using platformlog::StoreStatus;

namespace {

/// Holds all calls until the test completes them.
class HeldStore final : public platformlog::KeyedStore {
public:
  void readNewestRecords(const std::string &, Callback Done) override {
    Held.push_back(std::move(Done));
  }
  void read(const std::string &, base::LogOffset, base::Duration,
            Callback Done) override {
    Held.push_back(std::move(Done));
  }
  void append(const std::string &, const platformlog::KeyedRecord &,
              std::optional<base::LogOffset>, Callback Done) override {
    Held.push_back(std::move(Done));
  }

  void complete(std::size_t Index, StoreStatus Status,
                std::optional<std::uint64_t> Era) {
    StoreResult Result;
    Result.Status = Status;
    if (Era)
      Result.Era = base::StoreEra(*Era);
    Held[Index](Result);
  }

  std::vector<Callback> Held;
};

struct Fixture {
  /// Starts a call of each kind; its status is added to `Statuses`.
  void startCalls() {
    const auto Record = [this](const StoreResult &Result) {
      Statuses.push_back(Result.Status);
    };
    Store.readNewestRecords("s", Record);
    Store.read("s", {}, {}, Record);
    Store.append("s", {}, {}, Record);
  }

  base::MetricsRegistry Metrics;
  HeldStore Held;
  std::vector<std::uint64_t> Rises;
  platformlog::EraTrackingStore Store{
      Held, Metrics, [this](base::StoreEra, base::StoreEra To) {
        Rises.push_back(To.value());
      }};
  std::vector<StoreStatus> Statuses;
};

} // namespace

// Guards against acting on a response from before the store came back.
TEST_CASE_FIXTURE(Fixture, "a late response of an earlier era is a failure") {
  startCalls();
  startCalls();
  Held.complete(3, StoreStatus::Done, 4);
  CHECK(Rises.empty());
  Held.complete(4, StoreStatus::Done, 5);
  for (std::size_t Index = 0; Index < 3; ++Index)
    Held.complete(Index, StoreStatus::Done, 4);
  CHECK(Statuses == std::vector{StoreStatus::Done, StoreStatus::Done,
                                StoreStatus::Unavailable,
                                StoreStatus::Unavailable,
                                StoreStatus::Unknown});
  CHECK(Rises == std::vector<std::uint64_t>{5});
  CHECK(Store.era() == base::StoreEra(5));
}

// Guards against a rise that is noticed only with the next successful call.
TEST_CASE_FIXTURE(Fixture, "a refusal tells of a new era too") {
  startCalls();
  startCalls();
  Held.complete(0, StoreStatus::Done, 0);
  Held.complete(1, StoreStatus::Gone, 1);
  Held.complete(2, StoreStatus::Unavailable, 2);
  Held.complete(5, StoreStatus::Conflict, 7);
  CHECK(Rises == std::vector<std::uint64_t>{1, 2, 7});
}

// Guards against a platform that states no eras.
TEST_CASE_FIXTURE(Fixture, "responses without an era are passed on") {
  startCalls();
  startCalls();
  Held.complete(0, StoreStatus::Done, {});
  Held.complete(1, StoreStatus::Gone, {});
  Held.complete(3, StoreStatus::Done, 3);
  Held.complete(2, StoreStatus::Conflict, {});
  CHECK(Statuses == std::vector{StoreStatus::Done, StoreStatus::Gone,
                                StoreStatus::Done, StoreStatus::Conflict});
  CHECK(Rises.empty());
}
