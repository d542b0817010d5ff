#include "routing/tests/routerfixture.h"

using namespace routing;
using namespace routing::tests;

// Load pattern: the nearest server states a low rate limit. Guards against
// calls that are refused there although others have capacity.
TEST_CASE("calls avoid an upstream until its rate limit allows another one") {
  Fixture F;
  const base::ProcessId Limited = F.put("limited", "a1");
  F.put("other", "a2");
  CHECK(F.countCalls(20)["limited"] == 20);
  F.TestRouter.setAvailableAt(Limited, F.Clock.now() + 100ms);
  CHECK(F.countCalls(20)["other"] == 20);
  F.Clock.advance(100ms);
  CHECK(F.countCalls(20)["limited"] == 20);
}

// Load pattern: all servers of a service state rate limits and have used them
// up.
TEST_CASE("if all rate limits are used up, the upstream that is available "
          "soonest is chosen as the last resort") {
  Fixture F;
  const base::ProcessId First = F.put("first");
  const base::ProcessId Second = F.put("second", "b1");
  F.put("suspect", "a1", MemberState::Suspect);
  F.TestRouter.setAvailableAt(First, F.Clock.now() + 200ms);
  F.TestRouter.setAvailableAt(Second, F.Clock.now() + 100ms);
  const auto Chosen = F.choose(F.context());
  REQUIRE(Chosen);
  CHECK(Chosen->Process == Second);
  CHECK(Chosen->LastResort);
  F.Clock.advance(150ms);
  const auto Next = F.choose(F.context());
  REQUIRE(Next);
  CHECK(!Next->LastResort);
}
