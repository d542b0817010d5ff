#include "overload/admissioncontroller.h"
#include "overload/admissiontable.h"
#include "overload/requestrank.h"
#include "overload/routelevels.h"
#include "overload/workspacedemand.h"

#include <doctest/doctest.h>

#include <cereal/archives/binary.hpp>

#include <map>
#include <sstream>

using namespace std::chrono_literals;
using base::PriorityClass;
using overload::AdmissionController;
using overload::AdmissionLevel;
using overload::AdmissionTable;
using overload::RouteKey;

namespace {

const RouteKey kRoute{base::ServiceName("rides"), overload::RouteName("book")};
const RouteKey kChild{base::ServiceName("maps"), overload::RouteName("route")};

/// Runs intervals in which the classes wait as given and requests of all
/// classes and ranks arrive; every second admitted one is started.
void runIntervals(base::ManualClock &Clock, AdmissionController &Controller,
                  const AdmissionController::ClassWaits &Waits, int Intervals) {
  for (int Tick = 0; Tick < 10 * Intervals; ++Tick) {
    for (std::uint32_t Index = 0; Index < overload::kLevelCount; Index += 8) {
      const AdmissionLevel Level = AdmissionLevel::fromIndex(Index);
      if (Controller.admit(Level.Class, Level.Threshold) && Index % 16 == 0)
        Controller.recordStart();
    }
    Clock.advance(10ms);
    Controller.tick(Waits);
  }
}

} // namespace

TEST_CASE("a level refuses lower classes entirely before it refuses any "
          "request of a higher one") {
  for (std::uint32_t Index = 0; Index < overload::kLevelCount; ++Index) {
    const AdmissionLevel Level = AdmissionLevel::fromIndex(Index);
    REQUIRE(Level.index() == Index);
    if (!Level.admits(PriorityClass::Critical, 127))
      REQUIRE_FALSE(Level.admits(PriorityClass::Normal, 0));
    if (!Level.admits(PriorityClass::Normal, 127))
      REQUIRE_FALSE(Level.admits(PriorityClass::Background, 0));
  }
  CHECK(AdmissionLevel().admits(PriorityClass::Background, 127));
  const AdmissionLevel Strict{PriorityClass::Critical, 9};
  CHECK(overload::stricter(AdmissionLevel(), Strict) == Strict);
}

TEST_CASE("a level is serialized unchanged, and one out of range is detected") {
  std::stringstream Wire;
  const AdmissionLevel Sent{PriorityClass::Normal, 77};
  {
    cereal::BinaryOutputArchive Out(Wire);
    Out(Sent);
  }
  AdmissionLevel Received;
  cereal::BinaryInputArchive In(Wire);
  In(Received);
  CHECK(Received == Sent);
  Received.Threshold = 200;
  CHECK_FALSE(Received.valid());
}

TEST_CASE(
    "delay over the target tightens the level only after a whole interval") {
  base::ManualClock Clock;
  AdmissionController Controller(Clock, {});
  runIntervals(Clock, Controller, {0ms, 20ms, 20ms}, 3);
  CHECK(Controller.level() == AdmissionLevel());
  for (int Tick = 0; Tick < 9; ++Tick) {
    Clock.advance(10ms);
    Controller.tick({0ms, 30ms, 30ms});
  }
  Clock.advance(10ms);
  Controller.tick({0ms, 5ms, 5ms});
  CHECK(Controller.level() == AdmissionLevel());
  runIntervals(Clock, Controller, {0ms, 30ms, 30ms}, 1);
  CHECK(Controller.level().index() < AdmissionLevel().index());
}

TEST_CASE("the critical class is not refused while a lower one is delayed but "
          "the critical class is not") {
  base::ManualClock Clock;
  AdmissionController Controller(Clock, {});
  runIntervals(Clock, Controller, {5ms, 100ms, 100ms}, 100);
  CHECK(Controller.admit(PriorityClass::Critical, 127));
  CHECK_FALSE(Controller.admit(PriorityClass::Background, 0));
  CHECK_FALSE(Controller.admit(PriorityClass::Normal, 127));
  runIntervals(Clock, Controller, {100ms, 100ms, 100ms}, 100);
  CHECK_FALSE(Controller.admit(PriorityClass::Critical, 127));
  CHECK(Controller.admit(PriorityClass::Critical, 0));
}

TEST_CASE("the strictest level opens within 5 s without queueing delay") {
  base::ManualClock Clock;
  AdmissionController Controller(Clock, {});
  runIntervals(Clock, Controller, {100ms, 100ms, 100ms}, 100);
  REQUIRE(Controller.level() == AdmissionLevel{PriorityClass::Critical, 0});
  runIntervals(Clock, Controller, {0ms, 0ms, 0ms}, 50);
  CHECK(Controller.level() == AdmissionLevel());
}

TEST_CASE("a level that admits nothing expires, although no response can "
          "correct it") {
  base::ManualClock Clock;
  AdmissionTable Table(Clock);
  const AdmissionLevel Strict{PriorityClass::Critical, 0};
  for (int Report = 0; Report < 50; ++Report)
    Table.record(kRoute, Strict);
  CHECK_FALSE(Table.admits(kRoute, PriorityClass::Normal, 0));
  CHECK(Table.admits(kChild, PriorityClass::Background, 127));
  Clock.advance(5s);
  CHECK(Table.level(kRoute) == AdmissionLevel());
  Table.removeStale();
  CHECK(Table.level(kRoute) == AdmissionLevel());
}

TEST_CASE("a level out of range from a peer is ignored") {
  base::ManualClock Clock;
  AdmissionTable Table(Clock);
  Table.record(kRoute, AdmissionLevel{static_cast<PriorityClass>(9), 0});
  CHECK(Table.level(kRoute) == AdmissionLevel());
}

TEST_CASE("responses carry the strictest of the own level and the levels of "
          "the routes called on this route, but not on others") {
  base::ManualClock Clock;
  overload::RouteLevels Levels(Clock);
  const overload::RouteName Other("list");
  const AdmissionLevel Own{PriorityClass::Background, 50};
  for (int Report = 0; Report < 50; ++Report)
    Levels.record(kRoute.Route, kChild,
                  AdmissionLevel{PriorityClass::Normal, 10});
  CHECK(Levels.responseLevel(kRoute.Route, Own).Class == PriorityClass::Normal);
  CHECK(Levels.responseLevel(Other, Own) == Own);
  const AdmissionLevel Strict{PriorityClass::Critical, 3};
  CHECK(Levels.responseLevel(kRoute.Route, Strict) == Strict);
  Clock.advance(5s);
  Levels.removeStale();
  CHECK(Levels.responseLevel(kRoute.Route, Own) == Own);
}

TEST_CASE("request ranks are the same at all hops, evenly distributed, and "
          "change with the period, so that no root id is refused for ever") {
  const base::WorkspaceName Workspace("acme");
  std::map<int, int> Counts;
  int Changed = 0;
  base::RootId Root;
  for (int Id = 0; Id < 12800; ++Id) {
    Root.Bytes[0] = static_cast<std::uint8_t>(Id);
    Root.Bytes[1] = static_cast<std::uint8_t>(Id >> 8);
    const int Rank = overload::requestRank(Root, Workspace, 1);
    CHECK(Rank == overload::requestRank(Root, Workspace, 1));
    Changed += Rank != overload::requestRank(Root, Workspace, 2);
    ++Counts[Rank / 16];
  }
  REQUIRE(Counts.size() == 8);
  for (const auto &[Part, Count] : Counts)
    CHECK(Count == doctest::Approx(1600).epsilon(0.1));
  CHECK(Changed > 12000);
  const base::WallTime Start(std::chrono::hours(1));
  CHECK(overload::rankPeriod(Start) == overload::rankPeriod(Start + 9999ms));
  CHECK(overload::rankPeriod(Start) != overload::rankPeriod(Start + 10s));
}

TEST_CASE("at a threshold, a workspace with ten times the demand gets no more "
          "than its share, and one within its share is not refused") {
  base::ManualClock Clock;
  overload::WorkspaceDemand Demand(Clock);
  const base::WorkspaceName Large("large");
  const base::WorkspaceName Small("small");
  int LargeAdmitted = 0;
  int SmallAdmitted = 0;
  constexpr int Threshold = 25;
  for (int Request = 0; Request < 22000; ++Request) {
    Clock.advance(1ms);
    const auto Rank = static_cast<std::uint8_t>(Request * 37 % 128);
    const bool IsSmall = Request % 11 == 0;
    const std::uint8_t Adjusted = Demand.adjustedRank(
        IsSmall ? Small : Large, PriorityClass::Normal, Rank);
    if (Adjusted <= Threshold)
      ++(IsSmall ? SmallAdmitted : LargeAdmitted);
  }
  CHECK(SmallAdmitted >= 0.95 * 2000);
  CHECK(LargeAdmitted <= 0.25 * 20000);
}
