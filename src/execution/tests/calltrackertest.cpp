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

  /// Number of fences handed out since the last call.
  std::size_t fences(bool Cancel = false) {
    std::size_t Count = 0;
    for (const CallAction &Action : Tracker.takeActions())
      if (const auto *Sent = std::get_if<SendFence>(&Action)) {
        CHECK(Sent->Message.Cancel == Cancel);
        ++Count;
      }
    return Count;
  }

  CallCompletion settled() {
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

TEST_CASE("a call that was never sent is not run, and can't be sent after "
          "that was said") {
  Fixture Test;
  const CallIdentity Failed = Test.open();
  Test.Tracker.onConnectFailed(Failed.Id);
  const CallCompletion Verdict = Test.settled();
  CHECK(Verdict.Outcome == Outcome::NotRun);
  CHECK(Verdict.MayRetry);
  CHECK_FALSE(Test.Tracker.beginSend(Failed.Id, ConnectionId(1)));
  const CallIdentity Cancelled = Test.open();
  Test.Tracker.cancel(Cancelled.Id);
  CHECK(Test.settled().Error == ErrorKind::Cancelled);
  CHECK_FALSE(Test.Tracker.beginSend(Cancelled.Id, ConnectionId(1)));
}

TEST_CASE("after a lost connection the fence's reply settles the call; later "
          "and repeated responses are dropped") {
  Fixture Test;
  for (const FenceState State :
       {FenceState::NotRun, FenceState::ResponseNotHeld,
        FenceState::Indeterminate, FenceState::Finished}) {
    const CallIdentity Call = Test.send();
    Test.loseConnection();
    REQUIRE(Test.fences() == 1);
    Test.Tracker.onFenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    const auto Before = Test.Tracker.counters().Unmatched;
    CHECK(Test.Tracker.onFenceReply({Call.Id, State, Response{}}));
    CHECK_FALSE(Test.Tracker.onFenceReply({Call.Id, State, {}}));
    CHECK_FALSE(
        Test.Tracker.onResponse(Call.Id, std::make_shared<const Response>()));
    CHECK(Test.Tracker.counters().Unmatched == Before + 2);
    const CallCompletion Verdict = Test.settled();
    CHECK((Verdict.Outcome == Outcome::NotRun) ==
          (State == FenceState::NotRun));
    CHECK(Verdict.MayRetry == (State == FenceState::NotRun));
    CHECK((Verdict.Response != nullptr) == (State == FenceState::Finished));
  }
}

TEST_CASE("fences are bounded, after which the outcome is unknown; only an "
          "idempotent call may be retried then") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  Test.loseConnection();
  std::size_t Fences = Test.fences();
  for (int Step = 0; Step < 1000 && Test.Tracker.size() == 1; ++Step) {
    Test.tickAfter(10ms);
    if (Test.Tracker.size() == 1)
      Fences += Test.fences();
  }
  CHECK(Fences == kFenceAttempts);
  const CallCompletion Verdict = Test.settled();
  CHECK(Verdict.Error == ErrorKind::OutcomeUnknown);
  CHECK_FALSE(Verdict.MayRetry);
  CHECK_FALSE(Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}}));
  const CallIdentity Repeatable = Test.send(true);
  Test.loseConnection();
  CHECK(Test.fences() == 1);
  Test.Tracker.onConnectFailed(Repeatable.Id);
  CHECK(Test.settled().MayRetry);
}

TEST_CASE("a running call is waited for on the fence's connection, and fenced "
          "again if that is lost") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  for (int Round = 0; Round < 10; ++Round) {
    Test.loseConnection();
    REQUIRE(Test.fences() == 1);
    // A late reply to the fence before must not end the wait for this one.
    Test.Tracker.onFenceReply({Call.Id, FenceState::Running, {}});
    Test.Tracker.onFenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    Test.Tracker.onFenceReply({Call.Id, FenceState::Running, {}});
    Test.tickAfter(2s);
    REQUIRE(Test.fences() == 0);
  }
  const auto Answer = std::make_shared<const Response>();
  CHECK(Test.Tracker.onResponse(Call.Id, Answer));
  CHECK(Test.settled().Response == Answer);
}

TEST_CASE("at the deadline or on cancellation the target is told, and its word "
          "decides if it comes in time") {
  for (const bool Cancel : {false, true}) {
    Fixture Test;
    for (const bool Confirmed : {false, true}) {
      const CallIdentity Call = Test.send(false, 5s);
      if (Cancel)
        Test.Tracker.cancel(Call.Id);
      else
        Test.tickAfter(5s);
      CHECK(Test.fences(true) == 1);
      Test.Tracker.tick();
      CHECK(Test.fences(true) == 0);
      if (Confirmed)
        Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}});
      Test.tickAfter(kSettleGrace);
      const CallCompletion Verdict = Test.settled();
      CHECK(Verdict.Error ==
            (Cancel ? ErrorKind::Cancelled : ErrorKind::DeadlineExceeded));
      CHECK(Verdict.Outcome ==
            (Confirmed ? Outcome::NotRun : Outcome::Unknown));
    }
  }
}

TEST_CASE("after a long suspension a fence's word is not trusted, because the "
          "target may have forgotten the call") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  Test.tickAfter(1h);
  CHECK(Test.fences(true) == 1);
  Test.Tracker.onFenceReply({Call.Id, FenceState::NotRun, {}});
  CHECK(Test.settled().Outcome == Outcome::Unknown);
  CHECK(Test.Tracker.counters().NotRunTooOld == 1);
}
