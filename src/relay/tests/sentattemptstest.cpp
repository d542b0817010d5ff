#include "relay/sentattempts.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr http::ConnectionNumber kFirst(1);
constexpr http::ConnectionNumber kSecond(2);
constexpr http::ConnectionNumber kUnknown;

} // namespace

// Guards against a response to an earlier request with the same id that counts
// as that of the latest one.
TEST_CASE("an attempt id is sent once on a connection until its deadline") {
  base::ManualClock Clock;
  relay::SentAttempts Sent(Clock);
  const base::BootTime Start = Clock.now();
  CHECK(Sent.record("a", kFirst, Start + 1s));
  CHECK(Sent.record("b", kFirst, Start + 1s));
  CHECK(!Sent.record("a", kFirst, Start + 2s));
  CHECK(Sent.record("a", kSecond, Start + 2s));
  Clock.advance(1500ms);
  Sent.tick();
  CHECK(Sent.size() == 1);
  CHECK(!Sent.record("a", kSecond, Start + 2s));
  CHECK(Sent.record("b", kFirst, Start + 3s));
  Clock.advance(500ms);
  CHECK(Sent.record("a", kFirst, Start + 3s));
}

TEST_CASE("an unknown connection may be any") {
  base::ManualClock Clock;
  relay::SentAttempts Sent(Clock);
  CHECK(Sent.record("a", kFirst, Clock.now() + 1s));
  CHECK(!Sent.record("a", kUnknown, Clock.now() + 1s));
  CHECK(!Sent.record("a", kSecond, Clock.now() + 1s));
}

TEST_CASE("a request without an id is never told from an earlier one") {
  base::ManualClock Clock;
  relay::SentAttempts Sent(Clock);
  CHECK(!Sent.record("", kFirst, Clock.now() + 1s));
  CHECK(Sent.size() == 0);
}
