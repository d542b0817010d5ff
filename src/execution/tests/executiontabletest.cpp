#include "execution/executiontable.h"

#include <doctest/doctest.h>

using namespace execution;
using namespace std::chrono_literals;
using base::Outcome;

namespace {

const ConnectionId kFirstConnection(1);
const ConnectionId kSecondConnection(2);

struct Fixture {
  base::ManualClock Clock;
  base::ProcessId Self{base::InstanceId("server"), base::Incarnation(7)};
  base::ProcessId Sender{base::InstanceId("entry"), base::Incarnation(5)};
  std::uint64_t LastSequence = 0;
  ExecutionTable Table;

  explicit Fixture(ExecutionLimits Limits = {}) : Table(Clock, Self, Limits) {}

  CallContext call() {
    CallContext Call;
    Call.Identity = {base::makeRandomId<base::CallId>(), Sender,
                     CallSequence(++LastSequence), Self};
    Call.TimeLeftMicros = 100000000;
    return Call;
  }

  FenceState fence(const CallContext &Call) {
    return Table.fence({Call.Identity}, kSecondConnection).State;
  }

  void run(const CallContext &Call, Outcome RunOutcome = Outcome::Ran,
           std::size_t Bytes = 0) {
    Response Result;
    Result.Outcome = RunOutcome;
    Result.Body.assign(Bytes, 'x');
    REQUIRE(Table.admit(Call, kFirstConnection) == AdmitResult::Queued);
    REQUIRE(Table.start(Call.Identity.Id) == StartResult::Started);
    REQUIRE(Table.finish(Call.Identity.Id,
                         std::make_shared<const Response>(Result)));
  }
};

} // namespace

TEST_CASE("a fence prevents a queued call from running and redirects the "
          "response of a running one") {
  Fixture Test;
  const CallContext Queued = Test.call();
  const CallContext Running = Test.call();
  CHECK(Test.Table.admit(Queued, kFirstConnection) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Running, kFirstConnection) == AdmitResult::Queued);
  CHECK(Test.Table.start(Running.Identity.Id) == StartResult::Started);
  CHECK(Test.Table.fence({Queued.Identity}, kSecondConnection).WasQueued);
  CHECK(Test.Table.start(Queued.Identity.Id) == StartResult::Stopped);
  CHECK(Test.fence(Queued) == FenceState::NotRun);
  CHECK(Test.fence(Running) == FenceState::Running);
  CHECK(Test.Table.replyConnection(Running.Identity.Id) == kSecondConnection);
  CHECK_FALSE(Test.Table.withdraw(Running.Identity.Id));
  const auto Expected = std::make_shared<const Response>();
  CHECK(Test.Table.finish(Running.Identity.Id, Expected));
  CHECK_FALSE(Test.Table.finish(Running.Identity.Id, Expected));
  CHECK(Test.Table.fence({Running.Identity}, kSecondConnection).Response ==
        Expected);
  CHECK(Test.Table.openCalls() == 0);
}

TEST_CASE("a duplicate of a queued, withdrawn or fenced call never runs") {
  Fixture Test;
  const CallContext Call = Test.call();
  CHECK(Test.Table.admit(Call, kFirstConnection) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Call, kSecondConnection) == AdmitResult::Discarded);
  CHECK(Test.Table.withdraw(Call.Identity.Id));
  CHECK(Test.Table.admit(Call, kSecondConnection) == AdmitResult::Discarded);
  const CallContext Fenced = Test.call();
  CHECK(Test.fence(Fenced) == FenceState::NotRun);
  CHECK(Test.Table.admit(Fenced, kFirstConnection) == AdmitResult::Discarded);
  CHECK(Test.Table.counters().AfterTombstone == 2);
}

TEST_CASE("removed records leave a floor at or below which no call runs and "
          "fences are indeterminate") {
  Fixture Test;
  const CallContext NeverSeen = Test.call();
  const CallContext Ran = Test.call();
  const CallContext Fenced = Test.call();
  Test.run(Ran);
  CHECK(Test.fence(Fenced) == FenceState::NotRun);
  Test.Clock.advance(1h);
  Test.Table.tick();
  CHECK(Test.Table.completedCalls() == 0);
  for (const CallContext &Call : {NeverSeen, Ran, Fenced}) {
    CHECK(Test.fence(Call) == FenceState::Indeterminate);
    CHECK(Test.Table.admit(Call, kFirstConnection) == AdmitResult::Discarded);
  }
  Test.run(Test.call());
}

TEST_CASE("a call for another incarnation is discarded, and its fence is "
          "indeterminate") {
  Fixture Test;
  CallContext Call = Test.call();
  Call.Identity.Target.Incarnation = base::Incarnation(6);
  CHECK(Test.Table.admit(Call, kFirstConnection) == AdmitResult::Discarded);
  CHECK(Test.fence(Call) == FenceState::Indeterminate);
}

TEST_CASE("a call whose deadline expires in the queue never runs") {
  Fixture Test;
  const CallContext Call = Test.call();
  CHECK(Test.Table.admit(Call, kFirstConnection) == AdmitResult::Queued);
  Test.Clock.advance(100s);
  CHECK(Test.Table.start(Call.Identity.Id) == StartResult::Expired);
  CHECK(Test.fence(Call) == FenceState::NotRun);
}

TEST_CASE("a response is stored for its retention time and within the byte "
          "limit; after that only the outcome is known") {
  Fixture Test({.ResponseBytes = 10000});
  const CallContext First = Test.call();
  const CallContext NotRun = Test.call();
  const CallContext Second = Test.call();
  const CallContext TooLarge = Test.call();
  const CallContext Unknown = Test.call();
  Test.run(First, Outcome::Ran, 5000);
  Test.run(NotRun, Outcome::NotRun);
  Test.run(Second, Outcome::Ran, 5000);
  Test.run(TooLarge, Outcome::Ran, 20000);
  Test.run(Unknown, Outcome::Unknown);
  CHECK(Test.fence(First) == FenceState::ResponseNotStored);
  CHECK(Test.fence(Second) == FenceState::Finished);
  CHECK(Test.fence(TooLarge) == FenceState::ResponseNotStored);
  CHECK(Test.Table.responseBytes() <= 10000);
  Test.Clock.advance(60s);
  Test.Table.tick();
  CHECK(Test.fence(Second) == FenceState::ResponseNotStored);
  CHECK(Test.fence(NotRun) == FenceState::NotRun);
  CHECK(Test.fence(Unknown) == FenceState::Indeterminate);
  CHECK(Test.Table.responseBytes() == 0);
}

TEST_CASE("the table enforces its size limits, and a call refused for them "
          "never runs") {
  Fixture Test({.CompletedCalls = 10, .OpenCalls = 2, .Senders = 1});
  const CallContext First = Test.call();
  CHECK(Test.Table.admit(First, kFirstConnection) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Test.call(), kFirstConnection) == AdmitResult::Queued);
  for (int Count = 0; Count < 100; ++Count) {
    const CallContext Refused = Test.call();
    REQUIRE(Test.Table.admit(Refused, kFirstConnection) ==
            AdmitResult::Refused);
    REQUIRE(Test.Table.admit(Refused, kFirstConnection) ==
            AdmitResult::Discarded);
  }
  CHECK(Test.Table.completedCalls() == 10);
  CHECK(Test.Table.start(First.Identity.Id) == StartResult::Started);
  Test.Sender.Instance = base::InstanceId("another");
  const CallContext Other = Test.call();
  CHECK(Test.Table.admit(Other, kFirstConnection) == AdmitResult::Discarded);
  CHECK(Test.fence(Other) == FenceState::Indeterminate);
}
