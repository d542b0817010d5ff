#include "execution/idempotencytable.h"

#include <doctest/doctest.h>

using namespace execution;
using namespace std::chrono_literals;
using enum execution::IdempotencyDecision;
using base::Outcome;

namespace {

struct Fixture {
  base::ManualClock Clock;
  MemoryBudget Memory{1 << 20};
  std::optional<IdempotencyTable> Table;

  Fixture() { restart(); }

  void restart() { Table.emplace(Clock, Memory); }

  RequestKey key(base::Duration Age = 0s) const {
    RequestKey Result;
    Result.Service = base::ServiceName("pay");
    Result.Workspace = base::WorkspaceName("alpha");
    base::fillRandom(Result.Key.Bytes);
    const auto Minted = Clock.wallNow().time_since_epoch() - Age;
    auto Left =
        std::chrono::duration_cast<std::chrono::milliseconds>(Minted).count();
    for (std::size_t Index = 6; Index-- > 0; Left >>= 8)
      Result.Key.Bytes[Index] = static_cast<std::uint8_t>(Left);
    return Result;
  }

  IdempotencyReply begin(const RequestKey &Key, AttemptId Attempt,
                         std::string_view Body = "") {
    return Table->begin({Key, digestRequest("POST", "/", Body), Attempt});
  }

  IdempotencyDecision verdict(const RequestKey &Key) {
    return begin(Key, base::makeRandomId<AttemptId>()).Decision;
  }

  void finish(const RequestKey &Key, AttemptId Attempt, Outcome What,
              std::size_t BodySize = 0) {
    Response Answer;
    Answer.Outcome = What;
    // A copy has less spare room; the accounts must balance all the same.
    Answer.Body.reserve(2 * BodySize);
    Answer.Body.assign(BodySize, 'x');
    Table->finish({Key, Attempt, What, std::move(Answer)});
  }
};

const AttemptId kFirst = base::makeRandomId<AttemptId>();
const AttemptId kSecond = base::makeRandomId<AttemptId>();

} // namespace

TEST_CASE("only UUIDv7 keys are taken, because the owner needs their time") {
  const auto Key =
      IdempotencyKey::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  REQUIRE(Key.has_value());
  CHECK(Key.value().timestamp().time_since_epoch() == 1645557742000ms);
  CHECK(IdempotencyKey::parse("\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\""));
  for (const char *Text : {"", "\"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                           "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                           "017f22e279b07cc398c4dc0c0c07398f",
                           "017f22e2-79b0-7cc3-98c4-dc0c0c07398",
                           "g17f22e2-79b0-7cc3-98c4-dc0c0c07398f",
                           "017f22e2079b0-7cc3-98c4-dc0c0c07398f"})
    CHECK_FALSE(IdempotencyKey::parse(Text).has_value());
}

TEST_CASE("a repeat finds the first attempt in every state of it") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  CHECK(Test.verdict(Key) == InProgress);
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  Test.finish(Key, kFirst, Outcome::Unknown);
  CHECK(Test.verdict(Key) == OutcomeUnknown);
  Test.finish(Key, kFirst, Outcome::Ran, 10);
  const IdempotencyReply Reply = Test.begin(Key, kSecond);
  CHECK(Reply.Decision == Finished);
  CHECK(Reply.StoredResponse->Body.size() == 10);
  Test.finish(Key, kFirst, Outcome::NotRun);
  CHECK(Test.verdict(Key) == Finished);
}

TEST_CASE("a key that did not run is free again, but late messages of its "
          "first attempt must not touch the second") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  Test.finish(Key, kFirst, Outcome::NotRun);
  CHECK(Test.begin(Key, kFirst).Decision == AttemptOver);
  CHECK(Test.begin(Key, kSecond, "other").Decision == Run);
  Test.finish(Key, kFirst, Outcome::NotRun);
  CHECK(Test.begin(Key, kFirst, "other").Decision == InProgress);
  const RequestKey Overtaken = Test.key();
  Test.finish(Overtaken, kFirst, Outcome::NotRun);
  CHECK(Test.begin(Overtaken, kFirst).Decision == AttemptOver);
  CHECK(Test.begin(Overtaken, kSecond).Decision == Run);
}

TEST_CASE("a key can't be used for another request, workspace or service") {
  Fixture Test;
  Test.Clock.advance(1min);
  RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst, "1 EUR").Decision == Run);
  CHECK(Test.begin(Key, kSecond, "2 EUR").Decision == OtherRequest);
  Key.Workspace = base::WorkspaceName("beta");
  CHECK(Test.begin(Key, kSecond, "2 EUR").Decision == Run);
  CHECK(digestRequest("POST", "/a", "b") != digestRequest("POST", "/", "ab"));
}

TEST_CASE("an owner doesn't vouch for keys that an earlier owner, a dropped "
          "record or a wrong clock may hide") {
  Fixture Test;
  const RequestKey Early = Test.key(-2s);
  CHECK(Test.verdict(Early) == Indeterminate);
  Test.Clock.advance(4s);
  CHECK(Test.verdict(Early) == Indeterminate);
  CHECK(Test.verdict(Test.key()) == Indeterminate);
  Test.Clock.advance(2ms);
  CHECK(Test.verdict(Test.key()) == Run);
  CHECK(Test.verdict(Test.key(-2s)) == Run);
  CHECK(Test.verdict(Test.key(-2100ms)) == Indeterminate);
  Test.Clock.advance(20min);
  CHECK(Test.verdict(Test.key(10min)) == Run);
  CHECK(Test.verdict(Test.key(10min + 1ms)) == Indeterminate);
}

TEST_CASE("records outlive the time for which their key is vouched for, and "
          "then free their memory") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key(-2s);
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  Test.finish(Key, kFirst, Outcome::Ran, kMaxStoredResponseBytes);
  for (int Second = 0; Second < 13 * 60; ++Second) {
    Test.Clock.advance(1s);
    Test.Table->tick();
    REQUIRE(Test.verdict(Key) ==
            (Test.Table->size() ? Finished : Indeterminate));
  }
  CHECK(Test.Table->size() == 0);
  CHECK(Test.Memory.used() == 0);
}

TEST_CASE("full memory refuses new records and keeps old ones; responses leave "
          "room for records") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  RequestKey Large = Key;
  for (int Count = 0; Count < 20; ++Count) {
    Large = Test.key();
    REQUIRE(Test.begin(Large, kSecond).Decision == Run);
    Test.finish(Large, kSecond, Outcome::Ran, 60 << 10);
  }
  CHECK(Test.verdict(Large) == ResponseNotHeld);
  CHECK(Test.Memory.used() < (1 << 19) + (1 << 14));
  int Taken = 0;
  while (Test.verdict(Test.key()) == Run)
    REQUIRE(++Taken < 10000);
  CHECK(Taken > 1000);
  CHECK(Test.verdict(Test.key()) == Full);
  CHECK(Test.verdict(Key) == InProgress);
  Test.restart();
  CHECK(Test.Memory.used() == 0);
}
