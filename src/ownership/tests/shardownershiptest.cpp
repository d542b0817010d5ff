#include "ownership/shardownership.h"

#include <doctest/doctest.h>

using namespace ownership;
using namespace std::chrono_literals;
using base::LogOffset;

namespace {

base::ProcessId process(const char *Name, std::uint64_t Incarnation = 1) {
  return {base::InstanceId(Name), base::Incarnation(Incarnation)};
}

const base::DataCentreId kDataCentre("d");
const ShardId kShard{kDataCentre, 0};

// Replica and clock shared by the processes under test.
struct Fixture {
  base::ManualClock Clock;
  OwnershipState State;
  std::uint64_t LastOffset = 0;

  std::unique_ptr<ShardOwnership> start(const base::ProcessId &Self) {
    auto Result =
        std::make_unique<ShardOwnership>(Clock, State, Self, kDataCentre);
    Result->setCandidates({process("a"), process("b"), process("c")});
    return Result;
  }

  std::size_t claim(const char *Claimant, const char *Successor,
                    ClaimBasis Basis) {
    const ShardEntry *Entry = State.find(kShard);
    const LogOffset Base = Entry ? Entry->Version : LogOffset();
    return State.apply(
        LogOffset(++LastOffset),
        {process(Claimant), process(Successor), {{kShard, Basis, Base}}});
  }

  void completeLogRead(ShardOwnership &Ownership) {
    Ownership.onRecordsApplied(LogOffset(LastOffset));
    Ownership.onLogReadCompleted(Clock.now(), LogOffset(LastOffset));
  }
};

} // namespace

TEST_CASE("ownership expires 5 s after the last acknowledged ping was sent") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  auto Successor = Test.start(process("b"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Owner->onRecordsApplied(LogOffset(1));
  Successor->onRecordsApplied(LogOffset(1));
  CHECK_FALSE(Owner->validOwnership(kShard));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Pings.size() == 1);
  Test.Clock.advance(2s);
  const auto Ack = Successor->onPing(Actions.Pings[0]);
  REQUIRE(Ack);
  Owner->onAck(*Ack);
  CHECK(Owner->validOwnership(kShard)->Term == LogOffset(1));
  Test.Clock.advance(2900ms);
  CHECK(Owner->validOwnership(kShard));
  Test.Clock.advance(100ms);
  CHECK_FALSE(Owner->validOwnership(kShard));
}

TEST_CASE("a successor that decided to take over stops acknowledging and owns "
          "the shard 8 s after the read-back of its claim") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  auto Successor = Test.start(process("b"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Test.completeLogRead(*Owner);
  Test.completeLogRead(*Successor);
  const OwnershipActions First = Owner->tick();
  Test.Clock.advance(4s);
  CHECK(Successor->tick().NeedsLogRead);
  Test.Clock.advance(2s);
  Test.completeLogRead(*Successor);
  const OwnershipActions Decision = Successor->tick();
  REQUIRE(Decision.Claims.size() == 1);
  CHECK(Decision.Claims[0].Shards.back().Basis == ClaimBasis::Takeover);
  CHECK_FALSE(Successor->onPing(First.Pings[0]));
  Test.State.apply(LogOffset(++Test.LastOffset), Decision.Claims[0]);
  REQUIRE(Test.State.find(kShard)->Owner == process("b"));
  Test.completeLogRead(*Successor);
  Test.Clock.advance(7900ms);
  Test.completeLogRead(*Successor);
  CHECK_FALSE(Successor->validOwnership(kShard));
  Test.Clock.advance(100ms);
  CHECK(Successor->validOwnership(kShard));
}

TEST_CASE("acknowledgements of the old successor are ignored once a renewal "
          "is appended") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  auto Successor = Test.start(process("b"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Owner->onRecordsApplied(LogOffset(1));
  Successor->onRecordsApplied(LogOffset(1));
  Owner->tick();
  Test.Clock.advance(3s);
  Owner->setCandidates({process("c")});
  Owner->onLogReadCompleted(Test.Clock.now(), LogOffset(1));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Claims.size() == 1);
  CHECK(Actions.Claims[0].Successor == process("c"));
  Test.Clock.advance(1s);
  const OwnershipActions Later = Owner->tick();
  REQUIRE(Later.Pings.size() == 1);
  const auto Ack = Successor->onPing(Later.Pings[0]);
  REQUIRE(Ack);
  Owner->onAck(*Ack);
  Test.Clock.advance(4s);
  CHECK_FALSE(Owner->validOwnership(kShard));
}

TEST_CASE("a process that was paused needs a new log read before "
          "acknowledgements count, as it may have been replaced") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  auto Successor = Test.start(process("b"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Test.completeLogRead(*Owner);
  Test.completeLogRead(*Successor);
  Owner->tick();
  Test.Clock.advance(6s);
  const OwnershipActions Resumed = Owner->tick();
  REQUIRE(Resumed.Pings.size() == 1);
  CHECK(Resumed.NeedsLogRead);
  Owner->onAck(*Successor->onPing(Resumed.Pings[0]));
  CHECK_FALSE(Owner->validOwnership(kShard));
  Test.completeLogRead(*Owner);
  CHECK(Owner->validOwnership(kShard));
}

TEST_CASE("a successor does not acknowledge a process that was replaced") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  auto Successor = Test.start(process("b"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Test.completeLogRead(*Owner);
  Test.completeLogRead(*Successor);
  const OwnershipActions Actions = Owner->tick();
  CHECK(Successor->onPing(Actions.Pings[0]));
  Successor->setCandidates({process("a", 2), process("c")});
  CHECK_FALSE(Successor->onPing(Actions.Pings[0]));
}

TEST_CASE("a stopping process stops acting for its shards before it appends "
          "the release") {
  Fixture Test;
  auto Owner = Test.start(process("a"));
  Test.claim("a", "b", ClaimBasis::Initial);
  Test.completeLogRead(*Owner);
  REQUIRE(Owner->validOwnership(kShard));
  Owner->stop();
  CHECK_FALSE(Owner->validOwnership(kShard));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Releases.size() == 1);
  Test.State.apply(LogOffset(++Test.LastOffset), Actions.Releases[0]);
  Test.completeLogRead(*Owner);
  CHECK(Owner->ownsNoShards());
  CHECK(Owner->tick().Releases.empty());
}
