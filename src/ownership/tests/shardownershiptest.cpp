#include "ownership/shardownership.h"

#include <doctest/doctest.h>

using namespace ownership;
using namespace std::chrono_literals;
using base::LogOffset;

namespace {

base::ProcessId process(const char *Name, std::uint64_t Epoch = 1) {
  return {base::InstanceId(Name), base::Incarnation(Epoch)};
}

const base::DataCentreId kHere("d");
const ShardId kShard{kHere, 0};

// One replica and clock shared by the processes under test.
struct Fixture {
  base::ManualClock Clock;
  OwnershipState State;
  std::uint64_t Last = 0;

  std::unique_ptr<ShardOwnership> start(const base::ProcessId &Self) {
    auto Result = std::make_unique<ShardOwnership>(Clock, State, Self, kHere);
    Result->setCandidates({process("a"), process("b"), process("c")});
    return Result;
  }

  std::size_t claim(const char *Who, const char *Successor, ClaimBasis Basis) {
    const ShardEntry *Entry = State.find(kShard);
    const LogOffset Base = Entry ? Entry->Version : LogOffset();
    return State.apply(
        LogOffset(++Last),
        {process(Who), process(Successor), {{kShard, Basis, Base}}});
  }

  void read(ShardOwnership &One) {
    One.onRecordsApplied(LogOffset(Last));
    One.onLogReadCompleted(Clock.now(), LogOffset(Last));
  }
};

} // namespace

TEST_CASE("ownership ends by itself 5 s after the sending of the last proof") {
  Fixture World;
  auto Owner = World.start(process("a"));
  auto Next = World.start(process("b"));
  World.claim("a", "b", ClaimBasis::Initial);
  Owner->onRecordsApplied(LogOffset(1));
  Next->onRecordsApplied(LogOffset(1));
  CHECK_FALSE(Owner->validOwnership(kShard));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Pings.size() == 1);
  World.Clock.advance(2s);
  const auto Ack = Next->onPing(Actions.Pings[0]);
  REQUIRE(Ack);
  Owner->onAck(*Ack);
  CHECK(Owner->validOwnership(kShard)->Term == LogOffset(1));
  World.Clock.advance(2900ms);
  CHECK(Owner->validOwnership(kShard));
  World.Clock.advance(100ms);
  CHECK_FALSE(Owner->validOwnership(kShard));
}

TEST_CASE("a successor that decided to take over acknowledges no more and "
          "starts 8 s after the read-back") {
  Fixture World;
  auto Owner = World.start(process("a"));
  auto Next = World.start(process("b"));
  World.claim("a", "b", ClaimBasis::Initial);
  World.read(*Owner);
  World.read(*Next);
  const OwnershipActions First = Owner->tick();
  World.Clock.advance(4s);
  CHECK(Next->tick().NeedsLogRead);
  World.Clock.advance(2s);
  World.read(*Next);
  const OwnershipActions Decision = Next->tick();
  REQUIRE(Decision.Claims.size() == 1);
  CHECK(Decision.Claims[0].Shards.back().Basis == ClaimBasis::Takeover);
  CHECK_FALSE(Next->onPing(First.Pings[0]));
  World.State.apply(LogOffset(++World.Last), Decision.Claims[0]);
  REQUIRE(World.State.find(kShard)->Owner == process("b"));
  World.read(*Next);
  World.Clock.advance(7900ms);
  World.read(*Next);
  CHECK_FALSE(Next->validOwnership(kShard));
  World.Clock.advance(100ms);
  CHECK(Next->validOwnership(kShard));
}

TEST_CASE("acknowledgements of the old successor do not count once a renewal "
          "is appended") {
  Fixture World;
  auto Owner = World.start(process("a"));
  auto Next = World.start(process("b"));
  World.claim("a", "b", ClaimBasis::Initial);
  Owner->onRecordsApplied(LogOffset(1));
  Next->onRecordsApplied(LogOffset(1));
  Owner->tick();
  World.Clock.advance(3s);
  Owner->setCandidates({process("c")});
  Owner->onLogReadCompleted(World.Clock.now(), LogOffset(1));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Claims.size() == 1);
  CHECK(Actions.Claims[0].Successor == process("c"));
  World.Clock.advance(1s);
  const OwnershipActions Later = Owner->tick();
  REQUIRE(Later.Pings.size() == 1);
  const auto Ack = Next->onPing(Later.Pings[0]);
  REQUIRE(Ack);
  Owner->onAck(*Ack);
  World.Clock.advance(4s);
  CHECK_FALSE(Owner->validOwnership(kShard));
}

TEST_CASE("a process that was paused needs a new log read before "
          "acknowledgements count, as it may have been replaced") {
  Fixture World;
  auto Owner = World.start(process("a"));
  auto Next = World.start(process("b"));
  World.claim("a", "b", ClaimBasis::Initial);
  World.read(*Owner);
  World.read(*Next);
  Owner->tick();
  World.Clock.advance(6s);
  const OwnershipActions Resumed = Owner->tick();
  REQUIRE(Resumed.Pings.size() == 1);
  CHECK(Resumed.NeedsLogRead);
  Owner->onAck(*Next->onPing(Resumed.Pings[0]));
  CHECK_FALSE(Owner->validOwnership(kShard));
  World.read(*Owner);
  CHECK(Owner->validOwnership(kShard));
}

TEST_CASE("a successor does not acknowledge a process that was replaced") {
  Fixture World;
  auto Owner = World.start(process("a"));
  auto Next = World.start(process("b"));
  World.claim("a", "b", ClaimBasis::Initial);
  World.read(*Owner);
  World.read(*Next);
  const OwnershipActions Actions = Owner->tick();
  CHECK(Next->onPing(Actions.Pings[0]));
  Next->setCandidates({process("a", 2), process("c")});
  CHECK_FALSE(Next->onPing(Actions.Pings[0]));
}

TEST_CASE(
    "a stopping process acts for no shard before it appends the release") {
  Fixture World;
  auto Owner = World.start(process("a"));
  World.claim("a", "b", ClaimBasis::Initial);
  World.read(*Owner);
  REQUIRE(Owner->validOwnership(kShard));
  Owner->stop();
  CHECK_FALSE(Owner->validOwnership(kShard));
  const OwnershipActions Actions = Owner->tick();
  REQUIRE(Actions.Releases.size() == 1);
  World.State.apply(LogOffset(++World.Last), Actions.Releases[0]);
  World.read(*Owner);
  CHECK(Owner->ownsNothing());
  CHECK(Owner->tick().Releases.empty());
}
