#include "relay/sentattempts.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

// Guards against a response to an earlier request with the same id that counts
// as that of the latest one.
TEST_CASE("an attempt id counts as sent until its deadline") {
  base::ManualClock Clock;
  relay::SentAttempts Sent(Clock);
  const base::BootTime Start = Clock.now();
  CHECK(!Sent.record("a", Start + 1s));
  CHECK(!Sent.record("b", Start + 1s));
  CHECK(Sent.record("a", Start + 2s));
  Clock.advance(1500ms);
  Sent.tick();
  CHECK(Sent.size() == 1);
  CHECK(Sent.record("a", Start + 2s));
  CHECK(!Sent.record("b", Start + 3s));
  Clock.advance(500ms);
  CHECK(!Sent.record("a", Start + 3s));
}

TEST_CASE("a request without an id is never told from an earlier one") {
  base::ManualClock Clock;
  relay::SentAttempts Sent(Clock);
  CHECK(Sent.record("", Clock.now() + 1s));
  CHECK(Sent.size() == 0);
}
