#include "ratelimit/permitgrantor.h"

#include <cereal/archives/portable_binary.hpp>
#include <doctest/doctest.h>

#include <sstream>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

const AllowedSlice kAllowed{10, 20, {}};
const base::BootTime kStart{1h};

SliceBucket fullBucket() { return {kAllowed, kStart - 10s, kStart}; }

} // namespace

TEST_CASE("outstanding permits keep the bucket from refilling") {
  SliceBucket Bucket = fullBucket();
  CHECK(Bucket.grant(20, 0).Count == 20);
  Bucket.advance(kAllowed, kStart + 1900ms);
  CHECK(Bucket.level() == 0);
  Bucket.advance(kAllowed, kStart + 2s);
  CHECK(Bucket.level() <= 5);
}

TEST_CASE("a report with an earlier use credits the refill since then") {
  SliceBucket Bucket = fullBucket();
  const auto Grant = Bucket.grant(20, 0);
  Bucket.advance(kAllowed, kStart + 1s);
  Bucket.applyReport(Grant.Id, 20, 0, kStart + 500ms);
  CHECK(Bucket.level() == doctest::Approx(5));
}

TEST_CASE("repeated and reordered reports count once") {
  SliceBucket Bucket = fullBucket();
  const auto Grant = Bucket.grant(10, 0);
  Bucket.applyReport(Grant.Id, 2, 3, kStart);
  Bucket.applyReport(Grant.Id, 2, 3, kStart);
  Bucket.applyReport(Grant.Id, 1, 0, kStart);
  CHECK(Bucket.level() == 13);
  Bucket.applyReport(Grant.Id, 2, 8, kStart);
  CHECK(Bucket.level() == 18);
  Bucket.applyReport(Grant.Id, 0, 10, kStart);
  CHECK(Bucket.level() == 18);
}

TEST_CASE("a report of more than was granted is ignored") {
  SliceBucket Bucket = fullBucket();
  const auto Grant = Bucket.grant(4, 0);
  Bucket.applyReport(Grant.Id, 0, 5, kStart);
  CHECK(Bucket.level() == 16);
}

TEST_CASE("a prefetch leaves half of the level to others") {
  SliceBucket Bucket = fullBucket();
  CHECK(Bucket.grant(0, 100).Count == 10);
  CHECK(Bucket.grant(1, 100).Count == 5);
}

TEST_CASE("a new tenure starts empty, as permits of the last owner may still "
          "be in use, and drops the buckets of an earlier one") {
  base::ManualClock Clock;
  LimitTable Limits;
  const base::DataCentreId DataCentre("d");
  Limits.adopt({{{DataCentre}, 1},
                {{base::ServiceName("s"), base::WorkspaceName("w"), {10, 5}}}},
               Clock.now(), kLimitOverlap);
  const LimitId Id = limitId(base::ServiceName("s"), base::WorkspaceName("w"));
  const auto Shard = sliceAt(Id, *Limits.find(Id), Limits.placement(), 0).Shard;
  PermitGrantor Grantor(Clock, Limits);
  ownership::ValidOwnership Tenure{base::LogOffset(1), Clock.now(), {}};
  PermitRequest Request{{}, Shard, 1, {{Id, 0, 1, 0}}, {}};
  CHECK(Grantor.handle(Request, Tenure).SliceGrants[0].Granted == 0);
  Clock.advance(2s);
  CHECK(Grantor.handle(Request, Tenure).SliceGrants[0].Granted == 0);
  Clock.advance(1s);
  const PermitGrant Grant = Grantor.handle(Request, Tenure);
  CHECK(Grant.SliceGrants[0].Granted == 1);
  CHECK(Grant.SliceGrants[0].LevelHundredths == 400);
  Tenure = {base::LogOffset(2), Clock.now(), {}};
  CHECK(Grantor.handle(Request, Tenure).SliceGrants[0].Granted == 0);
}

TEST_CASE("messages are unchanged by encoding and decoding") {
  PermitRequest Request{{base::InstanceId("i"), base::Incarnation(3)},
                        {base::DataCentreId("d"), 4},
                        5,
                        {{LimitId(6), 1, 2, 3}},
                        {{LimitId(6), 1, base::LogOffset(7), 8, 9, 10, 11}}};
  std::stringstream Bytes;
  cereal::PortableBinaryOutputArchive Output(Bytes);
  Output(Request);
  PermitRequest Copy;
  cereal::PortableBinaryInputArchive Input(Bytes);
  Input(Copy);
  CHECK(Copy.From == Request.From);
  CHECK(Copy.SliceRequests[0].Prefetch == 3);
  CHECK(Copy.Reports[0].LastUseAgeMicros == 11);
}
