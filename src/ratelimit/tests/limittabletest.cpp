#include "ratelimit/limittable.h"

#include <doctest/doctest.h>

#include <set>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

const base::ServiceName kService("s");
const base::WorkspaceName kWorkspace("w");
const LimitId kId = limitId(kService, kWorkspace);
const base::BootTime kStart{1h};

FleetLimits limits(Limit Whole, std::vector<base::DataCentreId> DataCentres) {
  return {{std::move(DataCentres), 2}, {{kService, kWorkspace, Whole}}};
}

const base::DataCentreId kA("a"), kB("b"), kC("c");

// Rate that all shards together may grant.
double total(const LimitTable &Table, base::BootTime Now) {
  double Sum = 0;
  for (const auto &Place : {kA, kB, kC})
    for (std::uint16_t Shard = 0; Shard < ownership::kShardsPerDataCentre;
         ++Shard)
      for (std::uint16_t Index = 0; Index < 6; ++Index)
        Sum += Table.allowed(kId, {Place, Shard}, Index, Now).RatePerSecond;
  return Sum;
}

} // namespace

TEST_CASE("slices cover the limit exactly and spread over data centres") {
  const SlicePlacement Where{{kA, kB, kC}, 2};
  for (const double Burst : {1.0, 4.0, 5.0, 10.0, 100.0}) {
    const Limit Whole{60, Burst};
    double Rate = 0;
    double Sum = 0;
    std::set<base::DataCentreId> Places;
    for (std::uint16_t Index = 0; Index < sliceCount(Whole, Where); ++Index) {
      const LimitSlice Slice = sliceAt(kId, Whole, Where, Index);
      Rate += Slice.RatePerSecond;
      Sum += Slice.Burst;
      Places.insert(Slice.Shard.DataCentre);
      CHECK(Slice.Burst >= 1);
    }
    CHECK(Rate == doctest::Approx(60));
    CHECK(Sum == Burst);
    CHECK(Places.size() == std::min<std::size_t>(3, sliceCount(Whole, Where)));
  }
}

TEST_CASE("the lower of the old and new limits applies for 15 s") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB, kC}), kStart, kLimitOverlap);
  CHECK(total(Table, kStart) == doctest::Approx(60));
  Table.adopt(limits({120, 100}, {kA, kB, kC}), kStart, 0s);
  Table.adopt(limits({90, 100}, {kA, kB, kC}), kStart + 5s, 0s);
  CHECK(total(Table, kStart + 14s) == doctest::Approx(60));
  CHECK(total(Table, kStart + 16s) == doctest::Approx(90));
  Table.adopt(limits({30, 100}, {kA, kB, kC}), kStart + 30s, 0s);
  CHECK(total(Table, kStart + 30s) == doctest::Approx(30));
}

TEST_CASE("a slice that moves is granted by no one for 15 s") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB}), kStart, kLimitOverlap);
  Table.adopt(limits({60, 100}, {kB, kA}), kStart + 1s, 0s);
  CHECK(total(Table, kStart + 15s) == 0);
  CHECK(total(Table, kStart + 16s) == doctest::Approx(60));
}

TEST_CASE("a process that just started waits out a change that it can't know") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB}), kStart, 5s);
  CHECK(total(Table, kStart + 9s) == 0);
  CHECK(total(Table, kStart + 10s) == doctest::Approx(60));
}

TEST_CASE("a limit that is removed and set again keeps its history") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA}), kStart, kLimitOverlap);
  Table.setLimit(kService, kWorkspace, std::nullopt, kStart + 1s);
  CHECK_FALSE(Table.find(kId));
  Table.setLimit(kService, kWorkspace, Limit{600, 100}, kStart + 2s);
  CHECK(total(Table, kStart + 3s) == doctest::Approx(60));
  CHECK(total(Table, kStart + 17s) == doctest::Approx(600));
}
