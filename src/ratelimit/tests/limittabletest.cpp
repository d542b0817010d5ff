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

FleetLimits limits(Limit Total, std::vector<base::DataCentreId> DataCentres) {
  return {{std::move(DataCentres), /*SlicesPerDataCentre=*/2},
          {{kService, kWorkspace, Total}}};
}

const base::DataCentreId kA("a"), kB("b"), kC("c");

// Sum of the rates that the grantors of all shards may grant. A limit has at
// most 6 slices: 3 data centres with 2 slices each.
double totalRate(const LimitTable &Table, base::BootTime Now) {
  double Sum = 0;
  for (const auto &DataCentre : {kA, kB, kC})
    for (std::uint16_t Shard = 0; Shard < ownership::kShardsPerDataCentre;
         ++Shard)
      for (std::uint16_t Index = 0; Index < 6; ++Index)
        Sum += Table.allowedSlice(kId, {DataCentre, Shard}, Index, Now)
                   .RatePerSecond;
  return Sum;
}

} // namespace

TEST_CASE("slices cover the limit exactly and spread over data centres") {
  const SlicePlacement Placement{{kA, kB, kC}, /*SlicesPerDataCentre=*/2};
  for (const double Burst : {1.0, 4.0, 5.0, 10.0, 100.0}) {
    const Limit Total{60, Burst};
    double RateSum = 0;
    double BurstSum = 0;
    std::set<base::DataCentreId> DataCentres;
    for (std::uint16_t Index = 0; Index < sliceCount(Total, Placement);
         ++Index) {
      const LimitSlice Slice = sliceAt(kId, Total, Placement, Index);
      RateSum += Slice.RatePerSecond;
      BurstSum += Slice.Burst;
      DataCentres.insert(Slice.Shard.DataCentre);
      CHECK(Slice.Burst >= 1);
    }
    CHECK(RateSum == doctest::Approx(60));
    CHECK(BurstSum == Burst);
    CHECK(DataCentres.size() ==
          std::min<std::size_t>(3, sliceCount(Total, Placement)));
  }
}

// The last argument of `adopt`, `MinTimeInForce`, has no effect after the first
// call. `kLimitOverlap` in the first call lets grants begin at once.

TEST_CASE("the lower of the old and new limits applies for 15 s") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB, kC}), kStart, kLimitOverlap);
  CHECK(totalRate(Table, kStart) == doctest::Approx(60));
  Table.adopt(limits({120, 100}, {kA, kB, kC}), kStart, 0s);
  Table.adopt(limits({90, 100}, {kA, kB, kC}), kStart + 5s, 0s);
  CHECK(totalRate(Table, kStart + 14s) == doctest::Approx(60));
  CHECK(totalRate(Table, kStart + 16s) == doctest::Approx(90));
  Table.adopt(limits({30, 100}, {kA, kB, kC}), kStart + 30s, 0s);
  CHECK(totalRate(Table, kStart + 30s) == doctest::Approx(30));
}

TEST_CASE("no shard grants permits of a slice for 15 s after it moved") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB}), kStart, kLimitOverlap);
  Table.adopt(limits({60, 100}, {kB, kA}), kStart + 1s, 0s);
  CHECK(totalRate(Table, kStart + 15s) == 0);
  CHECK(totalRate(Table, kStart + 16s) == doctest::Approx(60));
}

TEST_CASE("a new process grants nothing until an earlier change that it cannot "
          "know of has taken effect") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA, kB}), kStart, 5s);
  CHECK(totalRate(Table, kStart + 9s) == 0);
  CHECK(totalRate(Table, kStart + 10s) == doctest::Approx(60));
}

TEST_CASE("a limit that is removed and set again keeps its history") {
  LimitTable Table;
  Table.adopt(limits({60, 100}, {kA}), kStart, kLimitOverlap);
  Table.setLimit(kService, kWorkspace, std::nullopt, kStart + 1s);
  CHECK_FALSE(Table.find(kId));
  Table.setLimit(kService, kWorkspace, Limit{600, 100}, kStart + 2s);
  CHECK(totalRate(Table, kStart + 3s) == doctest::Approx(60));
  CHECK(totalRate(Table, kStart + 17s) == doctest::Approx(600));
}
