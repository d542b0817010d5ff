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

  explicit Fixture(Limit Whole) {
    Limits.adopt({{{kA, kB}, 1}, {{kService, kWorkspace, Whole}}}, Clock.now(),
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

TEST_CASE("a request asks the slice of its own data centre first") {
  Fixture World({10, 10});
  AcquireResult Result = World.take();
  REQUIRE(Result.Status == AcquireStatus::MustRequest);
  const auto Ask = World.Pool->nextRequest(Result.Wait);
  REQUIRE(Ask);
  CHECK(Ask->Shard.DataCentre == kB);
  CHECK(World.Pool->acquireFrom(Result.Wait, World.handle(*Ask)));
}

TEST_CASE("a refusal says whether an owner answered") {
  Fixture World({10, 2});
  AcquireResult Result = World.take();
  for (auto Ask = World.Pool->nextRequest(Result.Wait); Ask;
       Ask = World.Pool->nextRequest(Result.Wait))
    World.Pool->onRequestFailed(Ask->Sequence);
  CHECK(World.Pool->finish(Result.Wait) == AcquireStatus::Unavailable);
  CHECK(World.take().Status == AcquireStatus::Unavailable);
  World.Clock.advance(2s);
  Result = World.take();
  auto Ask = World.Pool->nextRequest(Result.Wait);
  const PermitGrant Empty{
      kSelf,
      Ask->Shard,
      base::LogOffset(1),
      Ask->Sequence,
      {{Ask->SliceRequests[0].Limit, Ask->SliceRequests[0].Slice, 0, 0, 0}}};
  CHECK_FALSE(World.Pool->acquireFrom(Result.Wait, Empty));
  CHECK(World.Pool->finish(Result.Wait) == AcquireStatus::RateExceeded);
}

TEST_CASE("a grant that arrives after its expiry or twice gives no permit") {
  Fixture World({10, 10});
  AcquireResult Result = World.take();
  const auto Late = World.Pool->nextRequest(Result.Wait);
  const PermitGrant LateGrant = World.handle(*Late);
  World.Clock.advance(1s);
  CHECK_FALSE(World.Pool->acquireFrom(Result.Wait, LateGrant));
  Result = World.take();
  const auto Next = World.Pool->nextRequest(Result.Wait);
  const PermitGrant Grant = World.handle(*Next);
  CHECK(World.Pool->acquireFrom(Result.Wait, Grant));
  CHECK_FALSE(World.Pool->acquireFrom(Result.Wait, Grant));
}

TEST_CASE("unused permits go back to the grantor") {
  Fixture World({100, 100});
  for (int Index = 0; Index < 40; ++Index)
    World.take();
  const auto Messages = World.Pool->tick();
  REQUIRE_FALSE(Messages.empty());
  const PermitGrant Grant = World.handle(Messages[0]);
  const std::uint16_t Granted = Grant.SliceGrants[0].Granted;
  REQUIRE(Granted > 0);
  World.Pool->addGrant(Grant);
  World.Clock.advance(900ms);
  std::uint16_t Returned = 0;
  for (const PermitRequest &Message : World.Pool->tick())
    for (const PermitReport &Report : Message.Reports)
      Returned += Report.Returned;
  CHECK(Returned == Granted);
}

TEST_CASE("limits without use keep no state in the pool") {
  Fixture World({100, 100});
  World.take();
  CHECK(World.Pool->size() == 1);
  World.Clock.advance(11s);
  World.Pool->tick();
  CHECK(World.Pool->size() == 0);
}

TEST_CASE("a workspace without a limit is not limited") {
  Fixture World({10, 10});
  CHECK(World.Pool->tryAcquire(kService, base::WorkspaceName("other")).Status ==
        AcquireStatus::Acquired);
}
