#include "relay/callcorrelator.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

execution::RequestScope scopeOf(base::PriorityClass Class) {
  execution::RequestScope Result;
  Result.Priority = Class;
  return Result;
}

struct Fixture {
  Fixture() {
    Graph.started(First, Now + 1s, scopeOf(base::PriorityClass::Critical));
    Graph.started(Second, Now + 1300ms,
                  scopeOf(base::PriorityClass::Background));
  }

  base::ManualClock Clock;
  const base::BootTime Now = Clock.now();
  const base::RequestId First = base::makeRandomId<base::RequestId>();
  const base::RequestId Second = base::makeRandomId<base::RequestId>();
  relay::CallCorrelator Graph;
};

} // namespace

// Guards against calls that count with the urgency of another request.
TEST_CASE_FIXTURE(Fixture, "a call belongs to the work that ends when it "
                           "expires") {
  REQUIRE(Graph.workFor(Now + 998ms));
  CHECK(Graph.workFor(Now + 998ms)->Call == First);
  CHECK(Graph.workFor(Now + 998ms)->Scope.Priority ==
        base::PriorityClass::Critical);
  CHECK(Graph.workFor(Now + 1003ms)->Call == First);
  CHECK(Graph.workFor(Now + 1299ms)->Call == Second);
  CHECK(!Graph.workFor(Now + 1500ms));
  CHECK(!Graph.workFor(Now + 500ms));
  Graph.ended(First);
  CHECK(!Graph.workFor(Now + 1s));
}

// Guards against a deep service whose queue the entries never hear of.
TEST_CASE_FIXTURE(Fixture, "work carries the congestion of its calls") {
  Graph.noteCongestion(Second);
  CHECK(!Graph.ended(First));
  CHECK(Graph.ended(Second));
  Graph.noteCongestion(Second);
  CHECK(!Graph.ended(Second));
}
