#include "execution/calltracker.h"

#include <doctest/doctest.h>

using namespace execution;
using namespace std::chrono_literals;
using base::ErrorKind;
using base::Outcome;

namespace {

struct Fixture {
  base::ManualClock Clock;
  CallTracker Tracker{Clock, {base::InstanceId("entry"), base::Incarnation(1)}};
  std::uint64_t LastConnection = 0;

  CallIdentity open(bool Idempotent = false, base::Duration TimeLeft = 30s) {
    return Tracker.open({{}, Clock.now() + TimeLeft, Idempotent});
  }

  CallIdentity send(bool Idempotent = false, base::Duration TimeLeft = 30s) {
    CallIdentity Call = open(Idempotent, TimeLeft);
    REQUIRE(Tracker.beginSend(Call.Id, ConnectionId(++LastConnection)));
    return Call;
  }

  void loseConnection() {
    Tracker.onConnectionLost(ConnectionId(LastConnection));
  }

  /// Returns the number of fences requested since the previous call of this
  /// function.
  std::size_t takeFenceCount(bool Cancel = false) {
    std::size_t Count = 0;
    for (const CallAction &Action : Tracker.takeActions())
      if (const auto *Sent = std::get_if<SendFence>(&Action)) {
        CHECK(Sent->Message.Cancel == Cancel);
        ++Count;
      }
    return Count;
  }

  CallCompletion takeCompletion() {
    const auto Actions = Tracker.takeActions();
    REQUIRE(Actions.size() == 1);
    REQUIRE(std::holds_alternative<CallCompleted>(Actions[0]));
    CHECK(Tracker.size() == 0);
    return std::get<CallCompleted>(Actions[0]).Completion;
  }

  void tickAfter(base::Duration Step) {
    Clock.advance(Step);
    Tracker.tick();
  }
};

} // namespace

TEST_CASE("an unsent call is completed as not run and can't be sent "
          "afterwards") {
  Fixture Test;
  const CallIdentity Failed = Test.open();
  Test.Tracker.onConnectFailed(Failed.Id);
  const CallCompletion Completion = Test.takeCompletion();
  CHECK(Completion.Outcome == Outcome::NotRun);
  CHECK(Completion.MayRetry);
  CHECK_FALSE(Test.Tracker.beginSend(Failed.Id, ConnectionId(1)));
  const CallIdentity Cancelled = Test.open();
  Test.Tracker.cancel(Cancelled.Id);
  CHECK(Test.takeCompletion().Error == ErrorKind::Cancelled);
  CHECK_FALSE(Test.Tracker.beginSend(Cancelled.Id, ConnectionId(1)));
}

TEST_CASE("after a lost connection the reply to the fence completes the call, "
          "and late and duplicate responses are dropped") {
  Fixture Test;
  for (const FenceState State :
       {FenceState::NotRun, FenceState::ResponseNotStored,
        FenceState::Indeterminate, FenceState::Finished}) {
    const CallIdentity Call = Test.send();
    Test.loseConnection();
    REQUIRE(Test.takeFenceCount() == 1);
    Test.Tracker.onFenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    const auto Before = Test.Tracker.counters().Unmatched;
    CHECK(Test.Tracker.onFenceReply({Call.Id, State, Response{}}));
    CHECK_FALSE(Test.Tracker.onFenceReply({Call.Id, State, {}}));
    CHECK_FALSE(
        Test.Tracker.onResponse(Call.Id, std::make_shared<const Response>()));
    CHECK(Test.Tracker.counters().Unmatched == Before + 2);
    const CallCompletion Completion = Test.takeCompletion();
    CHECK((Completion.Outcome == Outcome::NotRun) ==
          (State == FenceState::NotRun));
    CHECK(Completion.MayRetry == (State == FenceState::NotRun));
    CHECK((Completion.Response != nullptr) == (State == FenceState::Finished));
  }
}

TEST_CASE("the number of fences is limited; after the last one the outcome is "
          "unknown, and only an idempotent call may be retried") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  Test.loseConnection();
  std::size_t Fences = Test.takeFenceCount();
  for (int Step = 0; Step < 1000 && Test.Tracker.size() == 1; ++Step) {
    Test.tickAfter(10ms);
    if (Test.Tracker.size() == 1)
      Fences += Test.takeFenceCount();
  }
  CHECK(Fences == kMaxFences);
  const CallCompletion Completion = Test.takeCompletion();
  CHECK(Completion.Error == ErrorKind::OutcomeUnknown);
  CHECK_FALSE(Completion.MayRetry);
  CHECK_FALSE(Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}}));
  const CallIdentity IdempotentCall = Test.send(true);
  Test.loseConnection();
  CHECK(Test.takeFenceCount() == 1);
  Test.Tracker.onConnectFailed(IdempotentCall.Id);
  CHECK(Test.takeCompletion().MayRetry);
}

TEST_CASE("the response of a running call is awaited on the fence's "
          "connection, and the call is fenced again if that is lost") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  for (int Round = 0; Round < 10; ++Round) {
    Test.loseConnection();
    REQUIRE(Test.takeFenceCount() == 1);
    // A late reply to the previous fence must not end the wait for the reply to
    // this one.
    Test.Tracker.onFenceReply({Call.Id, FenceState::Running, {}});
    Test.Tracker.onFenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    Test.Tracker.onFenceReply({Call.Id, FenceState::Running, {}});
    Test.tickAfter(2s);
    REQUIRE(Test.takeFenceCount() == 0);
  }
  const auto Expected = std::make_shared<const Response>();
  CHECK(Test.Tracker.onResponse(Call.Id, Expected));
  CHECK(Test.takeCompletion().Response == Expected);
}

TEST_CASE("at the deadline or on cancellation the target is told to cancel, "
          "and a reply within the grace time decides the outcome") {
  for (const bool Cancel : {false, true}) {
    Fixture Test;
    for (const bool Confirmed : {false, true}) {
      const CallIdentity Call = Test.send(false, 5s);
      if (Cancel)
        Test.Tracker.cancel(Call.Id);
      else
        Test.tickAfter(5s);
      CHECK(Test.takeFenceCount(true) == 1);
      Test.Tracker.tick();
      CHECK(Test.takeFenceCount(true) == 0);
      if (Confirmed)
        Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}});
      Test.tickAfter(kCompletionGrace);
      const CallCompletion Completion = Test.takeCompletion();
      CHECK(Completion.Error ==
            (Cancel ? ErrorKind::Cancelled : ErrorKind::DeadlineExceeded));
      CHECK(Completion.Outcome ==
            (Confirmed ? Outcome::NotRun : Outcome::Unknown));
    }
  }
}

TEST_CASE("after a long suspension a not-run reply is not trusted, because the "
          "target may have removed the call's record") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  Test.tickAfter(1h);
  CHECK(Test.takeFenceCount(true) == 1);
  Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}});
  CHECK(Test.takeCompletion().Outcome == Outcome::Unknown);
  CHECK(Test.Tracker.counters().NotRunTooOld == 1);
}
