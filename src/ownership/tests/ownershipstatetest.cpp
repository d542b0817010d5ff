#include "ownership/ownershipstate.h"

#include <cereal/archives/portable_binary.hpp>
#include <doctest/doctest.h>

#include <sstream>

using namespace ownership;
using base::LogOffset;

namespace {

base::ProcessId process(const char *Name, std::uint64_t Incarnation = 1) {
  return {base::InstanceId(Name), base::Incarnation(Incarnation)};
}

const ShardId kShard{base::DataCentreId("d"), 3};

OwnershipClaim claim(const base::ProcessId &Claimant, ClaimBasis Basis,
                     std::uint64_t Base,
                     std::optional<base::ProcessId> Successor = {}) {
  return {Claimant, std::move(Successor), {{kShard, Basis, LogOffset(Base)}}};
}

} // namespace

TEST_CASE("of two concurrent claims only the first in the log is accepted") {
  OwnershipState State;
  CHECK(State.apply(LogOffset(1), claim(process("a"), ClaimBasis::Initial, 0)));
  CHECK_FALSE(
      State.apply(LogOffset(2), claim(process("b"), ClaimBasis::Initial, 0)));
  CHECK(State.find(kShard)->Owner == process("a"));
}

TEST_CASE("each basis is accepted only from the process it allows") {
  OwnershipState Start;
  Start.apply(LogOffset(1),
              claim(process("a", 5), ClaimBasis::Initial, 0, process("b", 2)));
  const auto Accepted = [&](const base::ProcessId &Claimant, ClaimBasis Basis) {
    OwnershipState State = Start;
    return State.apply(LogOffset(2), claim(Claimant, Basis, 1)) == 1;
  };
  CHECK(Accepted(process("b", 2), ClaimBasis::Takeover));
  CHECK_FALSE(Accepted(process("b", 3), ClaimBasis::Takeover));
  CHECK_FALSE(Accepted(process("c"), ClaimBasis::Takeover));
  CHECK(Accepted(process("a", 6), ClaimBasis::Replacement));
  CHECK_FALSE(Accepted(process("a", 5), ClaimBasis::Replacement));
  CHECK_FALSE(Accepted(process("a", 4), ClaimBasis::Replacement));
  CHECK(Accepted(process("a", 5), ClaimBasis::Renew));
  CHECK_FALSE(Accepted(process("a", 6), ClaimBasis::Renew));
  CHECK_FALSE(Accepted(process("c"), ClaimBasis::Released));
  CHECK_FALSE(Accepted(process("c"), ClaimBasis::Initial));
}

TEST_CASE("a delayed copy of an old renewal does not undo a later one") {
  OwnershipState State;
  State.apply(LogOffset(1), claim(process("a"), ClaimBasis::Initial, 0));
  const auto Old = claim(process("a"), ClaimBasis::Renew, 1, process("b"));
  CHECK(State.apply(LogOffset(2), Old));
  CHECK(State.apply(LogOffset(3),
                    claim(process("a"), ClaimBasis::Renew, 2, process("c"))));
  CHECK_FALSE(State.apply(LogOffset(4), Old));
  CHECK(State.find(kShard)->Successor == process("c"));
  CHECK(State.find(kShard)->Term == LogOffset(1));
}

TEST_CASE("only the owner can release a shard, and any process can claim it "
          "afterwards") {
  OwnershipState State;
  State.apply(LogOffset(1), claim(process("a"), ClaimBasis::Initial, 0));
  CHECK_FALSE(
      State.apply(LogOffset(2), OwnershipRelease{process("b"), {kShard}}));
  CHECK(State.apply(LogOffset(3), OwnershipRelease{process("a"), {kShard}}));
  CHECK_FALSE(State.find(kShard)->Owner);
  CHECK(
      State.apply(LogOffset(4), claim(process("b"), ClaimBasis::Released, 3)));
}

TEST_CASE("a snapshot restores the same state") {
  OwnershipState State;
  State.apply(LogOffset(7),
              claim(process("a"), ClaimBasis::Initial, 0, process("b")));
  std::stringstream Bytes;
  cereal::PortableBinaryOutputArchive Output(Bytes);
  Output(State);
  OwnershipState Copy;
  cereal::PortableBinaryInputArchive Input(Bytes);
  Input(Copy);
  CHECK(Copy == State);
}
