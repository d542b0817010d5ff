#include "config/configstate.h"
#include "config/tests/examples.h"

#include <cereal/archives/portable_binary.hpp>
#include <doctest/doctest.h>

#include <sstream>

using namespace config;
using namespace config::examples;

namespace {

ConfigChange change(std::uint64_t Base, const std::string &Content,
                    const std::string &Operator = "ann") {
  ConfigChange Change;
  Change.Id = base::makeRandomId<PublishId>();
  Change.File = "orders.toml";
  Change.BaseVersion = base::LogOffset(Base);
  Change.Content = Content;
  Change.Operator = Operator;
  return Change;
}

base::LogOffset at(std::uint64_t Offset) { return base::LogOffset(Offset); }

const base::ServiceName kOrders("orders");

ConfigState copyBySerialization(const ConfigState &State) {
  std::stringstream Stream;
  cereal::PortableBinaryOutputArchive Out(Stream);
  Out(State);
  ConfigState Copy;
  cereal::PortableBinaryInputArchive In(Stream);
  In(Copy);
  return Copy;
}

} // namespace

TEST_CASE("of two changes based on the same version, the first in the log is "
          "accepted and the other is told who published the first") {
  ConfigState State;
  State.apply(at(3), change(0, serviceText()));
  const auto First = change(3, serviceText("first"), "bob");
  const auto Second = change(3, serviceText("second"), "eve");
  CHECK(State.apply(at(5), First)->Kind == ChangeOutcomeKind::Accepted);
  const auto Rejected = State.apply(at(6), Second);
  CHECK(Rejected->Kind == ChangeOutcomeKind::VersionConflict);
  CHECK(Rejected->CurrentVersion == at(5));
  CHECK(Rejected->CurrentOperator == "bob");
  CHECK(State.version() == at(5));
  CHECK(State.applied() == at(6));
  CHECK(State.current()->service(kOrders)->workspaceByKey(digestKey("first")));
  CHECK(State.outcomeFor(Second.Id) == Rejected);
}

TEST_CASE("records at or before the applied offset are ignored, so that a "
          "replica never reverts to an older state") {
  ConfigState State;
  State.apply(at(4), change(0, serviceText()));
  State.advanceTo(at(9));
  State.advanceTo(at(2));
  CHECK(State.applied() == at(9));
  CHECK_FALSE(State.apply(at(9), change(4, serviceText("late"))));
  CHECK(State.version() == at(4));
  ConfigState Older;
  Older.apply(at(8), change(0, serviceText("other")));
  CHECK_FALSE(State.adopt(Older));
  Older.advanceTo(at(10));
  CHECK(State.adopt(Older));
  CHECK(State.version() == at(8));
}

TEST_CASE("changes with invalid content, file names or base versions are "
          "rejected and leave the configuration unchanged") {
  ConfigState State;
  State.apply(at(1), change(0, serviceText()));
  const auto Before = State.current();
  CHECK(State.apply(at(2), change(1, "slots ="))->Kind ==
        ChangeOutcomeKind::InvalidContent);
  CHECK(State.apply(at(3), change(7, serviceText()))->Kind ==
        ChangeOutcomeKind::VersionConflict);
  auto Misnamed = change(0, serviceText());
  Misnamed.File = "../orders.toml";
  CHECK(State.apply(at(4), Misnamed)->Kind ==
        ChangeOutcomeKind::InvalidContent);
  CHECK(State.current() == Before);
  CHECK(State.files().size() == 1);
}

TEST_CASE("a removed file keeps its version, so that a change based on an "
          "earlier version can't restore the file") {
  ConfigState State;
  State.apply(at(1), change(0, serviceText()));
  auto Removal = change(1, "");
  Removal.Removal = true;
  CHECK(State.apply(at(2), Removal)->Kind == ChangeOutcomeKind::Accepted);
  CHECK_FALSE(State.current()->service(kOrders));
  CHECK(State.apply(at(3), change(0, serviceText()))->Kind ==
        ChangeOutcomeKind::VersionConflict);
  CHECK(State.apply(at(4), change(1, serviceText()))->Kind ==
        ChangeOutcomeKind::VersionConflict);
  CHECK(State.apply(at(5), change(2, serviceText()))->Kind ==
        ChangeOutcomeKind::Accepted);
}

TEST_CASE("a change that is in the log twice keeps its first outcome") {
  ConfigState State;
  const auto Change = change(0, serviceText());
  State.apply(at(1), Change);
  CHECK(State.apply(at(2), Change)->Kind == ChangeOutcomeKind::VersionConflict);
  CHECK(State.outcomeFor(Change.Id)->Kind == ChangeOutcomeKind::Accepted);
  CHECK(State.version() == at(1));
}

TEST_CASE(
    "only the latest outcomes are stored, so that memory use is bounded") {
  ConfigState State;
  const auto First = change(99, "");
  const auto Second = change(99, "");
  State.apply(at(1), First);
  State.apply(at(2), Second);
  for (std::uint64_t Offset = 3; Offset < kMaxStoredOutcomes + 2; ++Offset)
    State.apply(at(Offset), change(99, ""));
  CHECK_FALSE(State.outcomeFor(First.Id));
  CHECK(State.outcomeFor(Second.Id));
}

TEST_CASE("a state restored from a snapshot accepts and rejects the same "
          "changes as the original") {
  ConfigState State;
  const auto First = change(0, serviceText());
  State.apply(at(1), First);
  auto Fleet = change(0, fleetText());
  Fleet.File = "fleet.toml";
  State.apply(at(2), Fleet);
  ConfigState Copy = copyBySerialization(State);
  CHECK(Copy.applied() == at(2));
  CHECK(Copy.version() == at(2));
  CHECK(Copy.outcomeFor(First.Id) == State.outcomeFor(First.Id));
  CHECK(Copy.current()->fleet().SlicesPerDataCentre == 2);
  const auto Next = change(1, serviceText("next"));
  CHECK(Copy.apply(at(3), Next) == State.apply(at(3), Next));
  CHECK(Copy.current()->service(kOrders)->workspaceByKey(digestKey("next")));
}
