#include "ratelimit/permitpool.h"
#include "ratelimit/permitgrantor.h"

#include <doctest/doctest.h>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

const base::ServiceName kService("s");
const base::WorkspaceName kWorkspace("w");
const base::DataCentreId kA("a"), kB("b");
const base::ProcessId kSelf{base::InstanceId("i"), base::Incarnation(1)};

struct Fixture {
  base::ManualClock Clock;
  LimitTable Limits;
  std::unique_ptr<PermitPool> Pool;
  std::unique_ptr<PermitGrantor> Grantor;

  explicit Fixture(Limit Total) {
    Limits.adopt({{{kA, kB}, 1}, {{kService, kWorkspace, Total}}}, Clock.now(),
                 kLimitOverlap);
    Pool =
        std::make_unique<PermitPool>(Clock, Limits, kSelf, std::vector{kB, kA});
    Grantor = std::make_unique<PermitGrantor>(Clock, Limits);
    Clock.advance(1min);
  }

  AcquireResult take() { return Pool->tryAcquire(kService, kWorkspace); }

  PermitGrant handle(const PermitRequest &Request) {
    return Grantor->handle(
        Request, {base::LogOffset(1), Clock.now() - 50s, Clock.wallNow()});
  }
};

} // namespace

TEST_CASE("permits are requested from the slice of the local data centre "
          "first") {
  Fixture Test({10, 10});
  AcquireResult Result = Test.take();
  REQUIRE(Result.Status == AcquireStatus::MustRequest);
  const auto Request = Test.Pool->nextRequest(Result.Wait);
  REQUIRE(Request);
  CHECK(Request->Shard.DataCentre == kB);
  CHECK(Test.Pool->acquireFrom(Result.Wait, Test.handle(*Request)));
}

TEST_CASE("a refusal tells whether an owner replied") {
  Fixture Test({10, 2});
  AcquireResult Result = Test.take();
  for (auto Request = Test.Pool->nextRequest(Result.Wait); Request;
       Request = Test.Pool->nextRequest(Result.Wait))
    Test.Pool->onRequestFailed(Request->Sequence);
  CHECK(Test.Pool->finish(Result.Wait) == AcquireStatus::Unavailable);
  CHECK(Test.take().Status == AcquireStatus::Unavailable);
  Test.Clock.advance(2s);
  Result = Test.take();
  auto Request = Test.Pool->nextRequest(Result.Wait);
  const PermitGrant Empty{kSelf,
                          Request->Shard,
                          base::LogOffset(1),
                          Request->Sequence,
                          {{Request->SliceRequests[0].Limit,
                            Request->SliceRequests[0].Slice, 0, 0, 0}}};
  CHECK_FALSE(Test.Pool->acquireFrom(Result.Wait, Empty));
  CHECK(Test.Pool->finish(Result.Wait) == AcquireStatus::RateExceeded);
}

TEST_CASE("a grant that arrives after its expiry or twice gives no permit") {
  Fixture Test({10, 10});
  AcquireResult Result = Test.take();
  const auto LateRequest = Test.Pool->nextRequest(Result.Wait);
  const PermitGrant LateGrant = Test.handle(*LateRequest);
  Test.Clock.advance(1s);
  CHECK_FALSE(Test.Pool->acquireFrom(Result.Wait, LateGrant));
  Result = Test.take();
  const auto NextRequest = Test.Pool->nextRequest(Result.Wait);
  const PermitGrant Grant = Test.handle(*NextRequest);
  CHECK(Test.Pool->acquireFrom(Result.Wait, Grant));
  CHECK_FALSE(Test.Pool->acquireFrom(Result.Wait, Grant));
}

TEST_CASE("unused permits are returned to the grantor") {
  Fixture Test({100, 100});
  for (int Index = 0; Index < 40; ++Index)
    Test.take();
  const auto Messages = Test.Pool->tick();
  REQUIRE_FALSE(Messages.empty());
  const PermitGrant Grant = Test.handle(Messages[0]);
  const std::uint16_t Granted = Grant.SliceGrants[0].Granted;
  REQUIRE(Granted > 0);
  Test.Pool->addGrant(Grant);
  Test.Clock.advance(900ms);
  std::uint16_t Returned = 0;
  for (const PermitRequest &Message : Test.Pool->tick())
    for (const PermitReport &Report : Message.Reports)
      Returned += Report.Returned;
  CHECK(Returned == Granted);
}

TEST_CASE("the pool drops the state of unused limits") {
  Fixture Test({100, 100});
  Test.take();
  CHECK(Test.Pool->size() == 1);
  Test.Clock.advance(11s);
  Test.Pool->tick();
  CHECK(Test.Pool->size() == 0);
}

TEST_CASE("a workspace without a limit is not limited") {
  Fixture Test({10, 10});
  CHECK(Test.Pool->tryAcquire(kService, base::WorkspaceName("other")).Status ==
        AcquireStatus::Acquired);
}
