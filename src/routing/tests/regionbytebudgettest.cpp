#include "routing/tests/routerfixture.h"

using namespace routing;
using namespace routing::tests;

TEST_CASE("bytes to another region stay within the daemon's share, so that "
          "the link is neither overloaded nor billed for more") {
  Fixture F;
  F.put("far", "b1");
  constexpr std::uint64_t Rate = 100'000;
  constexpr int Seconds = 20;
  F.Budget.configure(F.Own, F.Other, 4 * Rate, 4, F.Clock.now());
  F.Budget.configure(F.Other, F.Own, 40 * Rate, 4, F.Clock.now());
  int Refused = 0;
  for (int Step = 0; Step < Seconds * 1000; ++Step) {
    Refused += F.call() == "-";
    F.Clock.advance(1ms);
  }
  const RegionByteCounters Out = F.Budget.counters(F.Own, F.Other);
  CHECK(Out.ChargedBytes <= Rate * (Seconds + 1) + 1000);
  CHECK(Out.ChargedBytes >= Rate * Seconds);
  CHECK(Out.RefusedCalls == std::uint64_t(Refused));
  CHECK(F.Budget.counters(F.Other, F.Own).ChargedBytes == Out.ChargedBytes);
}

TEST_CASE("large responses use up the budget of the return direction") {
  Fixture F;
  F.put("far", "b1");
  const auto Chosen = F.choose(F.context());
  REQUIRE(Chosen);
  F.TestRouter.finish(*Chosen, {CallResult::Responded, 0, 2'000'000'000},
                      F.Clock.now());
  CHECK(F.call() == "-");
  CHECK(F.Failure == base::ErrorKind::NoUpstream);
  F.Clock.advance(1100ms);
  CHECK(F.call() == "far");
}

TEST_CASE("a region pair without a budget is not used") {
  Fixture F;
  F.put("unpaid", "c1");
  CHECK(F.call() == "-");
}
