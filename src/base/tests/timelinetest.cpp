#include "base/timeline.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE(
    "merged timelines are ordered by time, and events of one process with "
    "equal times keep their order") {
  base::ManualClock Clock;
  base::Timeline First(Clock, base::InstanceId("a"), 10);
  base::Timeline Second(Clock, base::InstanceId("b"), 10);
  Second.record("second", "1");
  First.record("first", "1");
  First.record("first", "2");
  Clock.advance(1s);
  Second.record("second", "2");
  const auto Merged =
      base::mergeTimelines({First.eventsAfter(0), Second.eventsAfter(0)});
  REQUIRE(Merged.size() == 4);
  CHECK(Merged[0].Detail == "1");
  CHECK(Merged[0].Instance.str() == "a");
  CHECK(Merged[1].Detail == "2");
  CHECK(Merged[3].Instance.str() == "b");
}

TEST_CASE("a full timeline drops its oldest events and so stays bounded") {
  base::ManualClock Clock;
  base::Timeline Events(Clock, base::InstanceId("a"), 2);
  for (int Index = 0; Index < 5; ++Index)
    Events.record("event", std::to_string(Index));
  REQUIRE(Events.eventsAfter(0).size() == 2);
  CHECK(Events.eventsAfter(0).front().Detail == "3");
  CHECK(Events.eventsAfter(4).size() == 1);
}
