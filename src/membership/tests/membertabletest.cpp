#include "membership/tests/fakenetwork.h"

#include <algorithm>

using namespace membership;
using namespace std::chrono_literals;
using membership::tests::makeMember;

namespace {

Member withState(Member Record, std::uint64_t Incarnation,
                 std::uint32_t Version, MemberState State) {
  Record.Incarnation = base::Incarnation(Incarnation);
  Record.StateVersion = Version;
  Record.State = State;
  return Record;
}

} // namespace

// Guards against daemons that disagree permanently because they received the
// same records in different orders.
TEST_CASE("merging the same records in any order gives the same view") {
  std::vector<Member> Records;
  for (std::uint64_t Incarnation : {1, 2})
    for (std::uint32_t Version : {0, 1})
      for (unsigned State = 0; State < kMemberStateCount; ++State)
        Records.push_back(
            withState(makeMember(1), Incarnation, Version, MemberState(State)));
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 200; ++Round) {
    std::shuffle(Records.begin(), Records.end(), Random);
    MemberTable Table;
    for (const Member &Record : Records) {
      Table.merge(Record, {});
      Table.merge(claimOf(Record), {});
    }
    const Member &Result = Table.find(Records[0].Instance)->Record;
    CHECK(claimOf(Result) ==
          claimOf(withState(makeMember(1), 2, 1, MemberState::Stopped)));
    CHECK(Table.digest() == 0);
  }
}

TEST_CASE("a claim of death holds until the member refutes it with a higher "
          "state version") {
  MemberTable Table;
  const Member Record = makeMember(1);
  Table.merge(Record, {});
  StateClaim Claim = claimOf(Record);
  Claim.State = MemberState::Dead;
  CHECK(Table.merge(Claim, {}) == MergeResult::Changed);
  CHECK(Table.merge(Record, {}) == MergeResult::Ignored);
  CHECK_FALSE(Table.isUsable(Record.process()));
  Claim = {Record.process(), 1, MemberState::Alive};
  CHECK(Table.merge(Claim, {}) == MergeResult::Changed);
  CHECK(Table.isUsable(Record.process()));
}

// Guards against routing that chooses both instances.
TEST_CASE("a later process at the same address supersedes the old instance in "
          "any merge order") {
  const Member Old = withState(makeMember(1), 10, 0, MemberState::Alive);
  Member New = withState(makeMember(2), 20, 0, MemberState::Alive);
  New.Peer = Old.Peer;
  MemberTable First;
  First.merge(Old, {});
  First.merge(New, {});
  MemberTable Second;
  Second.merge(New, {});
  Second.merge(Old, {});
  for (const MemberTable *Table : {&First, &Second}) {
    CHECK(Table->isUsable(New.process()));
    CHECK_FALSE(Table->isUsable(Old.process()));
    CHECK(Table->presentCount() == 1);
  }
  CHECK(First.digest() == Second.digest());
}

TEST_CASE("a dead member is kept for ten minutes and an old message does not "
          "bring it back afterwards") {
  MemberTable Table;
  const base::BootTime Start(1h);
  const Member Record = makeMember(1);
  Table.merge(Record, Start);
  Table.merge(withState(Record, 1000, 0, MemberState::Dead), Start);
  CHECK(Table.removeExpired(Start + kMemberRetention - 1s).empty());
  CHECK(Table.removeExpired(Start + kMemberRetention).size() == 1);
  CHECK(Table.find(Record.Instance) == nullptr);
  CHECK(Table.merge(Record, Start + 11min) == MergeResult::Ignored);
  CHECK(Table.merge(claimOf(Record), Start + 11min) == MergeResult::Ignored);
  const Member Restarted = withState(Record, 1001, 0, MemberState::Alive);
  CHECK(Table.merge(Restarted, Start + 12min) == MergeResult::Added);
}

TEST_CASE("the log readers of a data centre are two usable members, the same "
          "in every daemon") {
  MemberTable First;
  MemberTable Second;
  for (unsigned Index = 0; Index < 12; ++Index) {
    First.merge(makeMember(Index), {});
    Second.merge(makeMember(11 - Index), {});
  }
  const base::DataCentreId DataCentre = makeMember(0).DataCentre;
  const std::vector<Member> Readers = First.logReaders(DataCentre);
  REQUIRE(Readers.size() == 2);
  CHECK(Readers == Second.logReaders(DataCentre));
  First.setSilent(Readers[0].process(), true);
  const std::vector<Member> Next = First.logReaders(DataCentre);
  REQUIRE(Next.size() == 2);
  CHECK(Next[0] == Readers[1]);
  CHECK(First.logReaders(base::DataCentreId("none")).empty());
}
