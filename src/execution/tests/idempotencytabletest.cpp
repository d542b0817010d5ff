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

  Fixture() { recreateTable(); }

  void recreateTable() { Table.emplace(Clock, Memory); }

  RequestKey key(base::Duration Age = 0s) const {
    RequestKey Result;
    Result.Service = base::ServiceName("pay");
    Result.Workspace = base::WorkspaceName("alpha");
    base::fillRandom(Result.Key.Bytes);
    const auto Timestamp = Clock.wallNow().time_since_epoch() - Age;
    auto Remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(Timestamp)
            .count();
    for (std::size_t Index = 6; Index-- > 0; Remaining >>= 8)
      Result.Key.Bytes[Index] = static_cast<std::uint8_t>(Remaining);
    return Result;
  }

  IdempotencyReply begin(const RequestKey &Key, AttemptId Attempt,
                         std::string_view Body = "") {
    return Table->begin({Key, digestRequest("POST", "/", Body), Attempt});
  }

  IdempotencyDecision decide(const RequestKey &Key) {
    return begin(Key, base::makeRandomId<AttemptId>()).Decision;
  }

  void finish(const RequestKey &Key, AttemptId Attempt, Outcome Result,
              std::size_t BodySize = 0) {
    Response ToStore;
    ToStore.Outcome = Result;
    // A copy has less spare capacity than the original; the same size must be
    // reserved and released all the same.
    ToStore.Body.reserve(2 * BodySize);
    ToStore.Body.assign(BodySize, 'x');
    Table->finish({Key, Attempt, Result, std::move(ToStore)});
  }
};

const AttemptId kFirst = base::makeRandomId<AttemptId>();
const AttemptId kSecond = base::makeRandomId<AttemptId>();

} // namespace

TEST_CASE("only UUIDv7 keys are accepted, because the shard owner needs their "
          "timestamp") {
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

TEST_CASE(
    "the decision about a second attempt follows the state of the first: in "
    "progress, unknown or finished") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  CHECK(Test.decide(Key) == InProgress);
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  Test.finish(Key, kFirst, Outcome::Unknown);
  CHECK(Test.decide(Key) == OutcomeUnknown);
  Test.finish(Key, kFirst, Outcome::Ran, 10);
  const IdempotencyReply Reply = Test.begin(Key, kSecond);
  CHECK(Reply.Decision == Finished);
  CHECK(Reply.StoredResponse->Body.size() == 10);
  Test.finish(Key, kFirst, Outcome::NotRun);
  CHECK(Test.decide(Key) == Finished);
}

TEST_CASE("a key whose attempt did not run is free again, and late messages of "
          "that attempt don't affect the next one") {
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

TEST_CASE("a key can't be reused for another request, but is independent in "
          "another workspace") {
  Fixture Test;
  Test.Clock.advance(1min);
  RequestKey Key = Test.key();
  CHECK(Test.begin(Key, kFirst, "1 EUR").Decision == Run);
  CHECK(Test.begin(Key, kSecond, "2 EUR").Decision == OtherRequest);
  Key.Workspace = base::WorkspaceName("beta");
  CHECK(Test.begin(Key, kSecond, "2 EUR").Decision == Run);
  CHECK(digestRequest("POST", "/a", "b") != digestRequest("POST", "/", "ab"));
}

TEST_CASE("the decision is indeterminate for keys that an earlier shard owner, "
          "a removed record or a wrong clock may hide") {
  Fixture Test;
  const RequestKey Early = Test.key(-2s);
  CHECK(Test.decide(Early) == Indeterminate);
  Test.Clock.advance(4s);
  CHECK(Test.decide(Early) == Indeterminate);
  CHECK(Test.decide(Test.key()) == Indeterminate);
  Test.Clock.advance(2ms);
  CHECK(Test.decide(Test.key()) == Run);
  CHECK(Test.decide(Test.key(-2s)) == Run);
  CHECK(Test.decide(Test.key(-2100ms)) == Indeterminate);
  Test.Clock.advance(20min);
  CHECK(Test.decide(Test.key(10min)) == Run);
  CHECK(Test.decide(Test.key(10min + 1ms)) == Indeterminate);
}

TEST_CASE("records are kept at least for the record window of their key and "
          "then free their memory") {
  Fixture Test;
  Test.Clock.advance(1min);
  const RequestKey Key = Test.key(-2s);
  CHECK(Test.begin(Key, kFirst).Decision == Run);
  Test.finish(Key, kFirst, Outcome::Ran, kMaxStoredResponseBytes);
  for (int Second = 0; Second < 13 * 60; ++Second) {
    Test.Clock.advance(1s);
    Test.Table->tick();
    REQUIRE(Test.decide(Key) ==
            (Test.Table->size() ? Finished : Indeterminate));
  }
  CHECK(Test.Table->size() == 0);
  CHECK(Test.Memory.used() == 0);
}

TEST_CASE("without free memory new records are refused and existing ones kept, "
          "and responses leave room for records") {
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
  CHECK(Test.decide(Large) == ResponseNotStored);
  CHECK(Test.Memory.used() < (1 << 19) + (1 << 14));
  int Accepted = 0;
  while (Test.decide(Test.key()) == Run)
    REQUIRE(++Accepted < 10000);
  CHECK(Accepted > 1000);
  CHECK(Test.decide(Test.key()) == Full);
  CHECK(Test.decide(Key) == InProgress);
  Test.recreateTable();
  CHECK(Test.Memory.used() == 0);
}
