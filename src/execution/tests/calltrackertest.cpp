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
    REQUIRE(Tracker.sending(Call.Id, ConnectionId(++LastConnection)));
    return Call;
  }

  void loseConnection() {
    Tracker.connectionLost(ConnectionId(LastConnection));
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

  CallVerdict settled() {
    const auto Actions = Tracker.takeActions();
    REQUIRE(Actions.size() == 1);
    REQUIRE(std::holds_alternative<CallSettled>(Actions[0]));
    CHECK(Tracker.size() == 0);
    return std::get<CallSettled>(Actions[0]).Verdict;
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
  Test.Tracker.connectFailed(Failed.Id);
  const CallVerdict Verdict = Test.settled();
  CHECK(Verdict.What == Outcome::NotRun);
  CHECK(Verdict.MayRetry);
  CHECK_FALSE(Test.Tracker.sending(Failed.Id, ConnectionId(1)));
  const CallIdentity Cancelled = Test.open();
  Test.Tracker.cancel(Cancelled.Id);
  CHECK(Test.settled().Error == ErrorKind::Cancelled);
  CHECK_FALSE(Test.Tracker.sending(Cancelled.Id, ConnectionId(1)));
}

TEST_CASE("after a lost connection the fence's reply settles the call; later "
          "and repeated responses are dropped") {
  Fixture Test;
  for (const FenceState State :
       {FenceState::NotRun, FenceState::ResponseNotHeld,
        FenceState::CannotVouch, FenceState::Finished}) {
    const CallIdentity Call = Test.send();
    Test.loseConnection();
    REQUIRE(Test.fences() == 1);
    Test.Tracker.fenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    const auto Before = Test.Tracker.counters().Unmatched;
    CHECK(Test.Tracker.fenceReplyArrived({Call.Id, State, Response{}}));
    CHECK_FALSE(Test.Tracker.fenceReplyArrived({Call.Id, State, {}}));
    CHECK_FALSE(Test.Tracker.responseArrived(
        Call.Id, std::make_shared<const Response>()));
    CHECK(Test.Tracker.counters().Unmatched == Before + 2);
    const CallVerdict Verdict = Test.settled();
    CHECK((Verdict.What == Outcome::NotRun) == (State == FenceState::NotRun));
    CHECK(Verdict.MayRetry == (State == FenceState::NotRun));
    CHECK((Verdict.Answer != nullptr) == (State == FenceState::Finished));
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
  const CallVerdict Verdict = Test.settled();
  CHECK(Verdict.Error == ErrorKind::OutcomeUnknown);
  CHECK_FALSE(Verdict.MayRetry);
  CHECK_FALSE(
      Test.Tracker.fenceReplyArrived({Call.Id, FenceState::NotRun, {}}));
  const CallIdentity Repeatable = Test.send(true);
  Test.loseConnection();
  CHECK(Test.fences() == 1);
  Test.Tracker.connectFailed(Repeatable.Id);
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
    Test.Tracker.fenceReplyArrived({Call.Id, FenceState::Running, {}});
    Test.Tracker.fenceSent(Call.Id, ConnectionId(++Test.LastConnection));
    Test.Tracker.fenceReplyArrived({Call.Id, FenceState::Running, {}});
    Test.tickAfter(2s);
    REQUIRE(Test.fences() == 0);
  }
  const auto Answer = std::make_shared<const Response>();
  CHECK(Test.Tracker.responseArrived(Call.Id, Answer));
  CHECK(Test.settled().Answer == Answer);
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
        Test.Tracker.fenceReplyArrived({Call.Id, FenceState::NotRun, {}});
      Test.tickAfter(kSettleGrace);
      const CallVerdict Verdict = Test.settled();
      CHECK(Verdict.Error ==
            (Cancel ? ErrorKind::Cancelled : ErrorKind::DeadlineExceeded));
      CHECK(Verdict.What == (Confirmed ? Outcome::NotRun : Outcome::Unknown));
    }
  }
}

TEST_CASE("after a long suspension a fence's word is not trusted, because the "
          "target may have forgotten the call") {
  Fixture Test;
  const CallIdentity Call = Test.send();
  Test.tickAfter(1h);
  CHECK(Test.fences(true) == 1);
  Test.Tracker.fenceReplyArrived({Call.Id, FenceState::NotRun, {}});
  CHECK(Test.settled().What == Outcome::Unknown);
  CHECK(Test.Tracker.counters().NotRunTooOld == 1);
}
