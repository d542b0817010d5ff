#include "execution/executiontable.h"

#include <doctest/doctest.h>

using namespace execution;
using namespace std::chrono_literals;
using base::Outcome;

namespace {

const ConnectionId kOld(1);
const ConnectionId kNew(2);

struct Fixture {
  base::ManualClock Clock;
  base::ProcessId Self{base::InstanceId("server"), base::Incarnation(7)};
  base::ProcessId Sender{base::InstanceId("entry"), base::Incarnation(5)};
  std::uint64_t LastSequence = 0;
  ExecutionTable Table;

  explicit Fixture(ExecutionLimits Limits = {}) : Table(Clock, Self, Limits) {}

  CallContext call() {
    CallContext Call;
    Call.Identity = {base::makeRandomId<base::RequestId>(), Sender,
                     CallSequence(++LastSequence), Self};
    Call.TimeLeftMicros = 100000000;
    return Call;
  }

  FenceState fence(const CallContext &Call) {
    return Table.fence({Call.Identity}, kNew).State;
  }

  void run(const CallContext &Call, Outcome What = Outcome::Ran,
           std::size_t Bytes = 0) {
    Response Answer;
    Answer.Outcome = What;
    Answer.Body.assign(Bytes, 'x');
    REQUIRE(Table.admit(Call, kOld) == AdmitResult::Queued);
    REQUIRE(Table.start(Call.Identity.Id) == StartResult::Started);
    REQUIRE(Table.finish(Call.Identity.Id,
                         std::make_shared<const Response>(Answer)));
  }
};

} // namespace

TEST_CASE("a fence stops a call before its start only, and redirects the "
          "response after it") {
  Fixture Test;
  const CallContext Queued = Test.call();
  const CallContext Running = Test.call();
  CHECK(Test.Table.admit(Queued, kOld) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Running, kOld) == AdmitResult::Queued);
  CHECK(Test.Table.start(Running.Identity.Id) == StartResult::Started);
  CHECK(Test.Table.fence({Queued.Identity}, kNew).WasQueued);
  CHECK(Test.Table.start(Queued.Identity.Id) == StartResult::Stopped);
  CHECK(Test.fence(Queued) == FenceState::NotRun);
  CHECK(Test.fence(Running) == FenceState::Running);
  CHECK(Test.Table.replyConnection(Running.Identity.Id) == kNew);
  CHECK_FALSE(Test.Table.withdraw(Running.Identity.Id));
  const auto Answer = std::make_shared<const Response>();
  CHECK(Test.Table.finish(Running.Identity.Id, Answer));
  CHECK_FALSE(Test.Table.finish(Running.Identity.Id, Answer));
  CHECK(Test.Table.fence({Running.Identity}, kNew).Response == Answer);
  CHECK(Test.Table.openCalls() == 0);
}

TEST_CASE("a copy of a call never runs, whatever became of the first") {
  Fixture Test;
  const CallContext Call = Test.call();
  CHECK(Test.Table.admit(Call, kOld) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Call, kNew) == AdmitResult::Discarded);
  CHECK(Test.Table.withdraw(Call.Identity.Id));
  CHECK(Test.Table.admit(Call, kNew) == AdmitResult::Discarded);
  const CallContext Fenced = Test.call();
  CHECK(Test.fence(Fenced) == FenceState::NotRun);
  CHECK(Test.Table.admit(Fenced, kOld) == AdmitResult::Discarded);
  CHECK(Test.Table.counters().AfterTombstone == 2);
}

TEST_CASE("forgotten records leave a floor under which nothing runs and "
          "nothing is vouched for") {
  Fixture Test;
  const CallContext NeverSeen = Test.call();
  const CallContext Ran = Test.call();
  const CallContext Fenced = Test.call();
  Test.run(Ran);
  CHECK(Test.fence(Fenced) == FenceState::NotRun);
  Test.Clock.advance(1h);
  Test.Table.tick();
  CHECK(Test.Table.settledCalls() == 0);
  for (const CallContext &Call : {NeverSeen, Ran, Fenced}) {
    CHECK(Test.fence(Call) == FenceState::Indeterminate);
    CHECK(Test.Table.admit(Call, kOld) == AdmitResult::Discarded);
  }
  Test.run(Test.call());
}

TEST_CASE("another incarnation neither runs a call nor vouches for it") {
  Fixture Test;
  CallContext Call = Test.call();
  Call.Identity.Target.Epoch = base::Incarnation(6);
  CHECK(Test.Table.admit(Call, kOld) == AdmitResult::Discarded);
  CHECK(Test.fence(Call) == FenceState::Indeterminate);
}

TEST_CASE("a call whose deadline passed in the queue never runs") {
  Fixture Test;
  const CallContext Call = Test.call();
  CHECK(Test.Table.admit(Call, kOld) == AdmitResult::Queued);
  Test.Clock.advance(100s);
  CHECK(Test.Table.start(Call.Identity.Id) == StartResult::Expired);
  CHECK(Test.fence(Call) == FenceState::NotRun);
}

TEST_CASE("a response is held for its time and within the byte limit; after "
          "that only the outcome is known") {
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
  CHECK(Test.fence(First) == FenceState::ResponseNotHeld);
  CHECK(Test.fence(Second) == FenceState::Finished);
  CHECK(Test.fence(TooLarge) == FenceState::ResponseNotHeld);
  CHECK(Test.Table.responseBytes() <= 10000);
  Test.Clock.advance(60s);
  Test.Table.tick();
  CHECK(Test.fence(Second) == FenceState::ResponseNotHeld);
  CHECK(Test.fence(NotRun) == FenceState::NotRun);
  CHECK(Test.fence(Unknown) == FenceState::Indeterminate);
  CHECK(Test.Table.responseBytes() == 0);
}

TEST_CASE("the table stays bounded, and a call refused for that never runs") {
  Fixture Test({.SettledCalls = 10, .OpenCalls = 2, .Senders = 1});
  const CallContext First = Test.call();
  CHECK(Test.Table.admit(First, kOld) == AdmitResult::Queued);
  CHECK(Test.Table.admit(Test.call(), kOld) == AdmitResult::Queued);
  for (int Count = 0; Count < 100; ++Count) {
    const CallContext Refused = Test.call();
    REQUIRE(Test.Table.admit(Refused, kOld) == AdmitResult::Refused);
    REQUIRE(Test.Table.admit(Refused, kOld) == AdmitResult::Discarded);
  }
  CHECK(Test.Table.settledCalls() == 10);
  CHECK(Test.Table.start(First.Identity.Id) == StartResult::Started);
  Test.Sender.Instance = base::InstanceId("another");
  const CallContext Other = Test.call();
  CHECK(Test.Table.admit(Other, kOld) == AdmitResult::Discarded);
  CHECK(Test.fence(Other) == FenceState::Indeterminate);
}
