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
    Correlator.add(First, Now + 1s, scopeOf(base::PriorityClass::Critical));
    Correlator.add(Second, Now + 1300ms,
                   scopeOf(base::PriorityClass::Background));
  }

  base::ManualClock Clock;
  const base::BootTime Now = Clock.now();
  const base::CallId First = base::makeRandomId<base::CallId>();
  const base::CallId Second = base::makeRandomId<base::CallId>();
  relay::CallCorrelator Correlator;
};

} // namespace

// Guards against calls that are given the priority of another request.
TEST_CASE_FIXTURE(Fixture, "a call belongs to the request with the "
                           "same deadline") {
  REQUIRE(Correlator.findParent(Now + 998ms));
  CHECK(Correlator.findParent(Now + 998ms)->CallId == First);
  CHECK(Correlator.findParent(Now + 998ms)->Scope.Priority ==
        base::PriorityClass::Critical);
  CHECK(Correlator.findParent(Now + 1003ms)->CallId == First);
  CHECK(Correlator.findParent(Now + 1299ms)->CallId == Second);
  CHECK(!Correlator.findParent(Now + 1500ms));
  CHECK(!Correlator.findParent(Now + 500ms));
  Correlator.remove(First);
  CHECK(!Correlator.findParent(Now + 1s));
}

// Guards against congestion at a downstream service that is not reported back
// to the entry daemon.
TEST_CASE_FIXTURE(Fixture, "a request inherits the congestion of its calls") {
  Correlator.markCongested(Second);
  CHECK(!Correlator.remove(First));
  CHECK(Correlator.remove(Second));
  Correlator.markCongested(Second);
  CHECK(!Correlator.remove(Second));
}
