#include "relay/serverstatement.h"

#include <doctest/doctest.h>

using relay::ServerStatement;

namespace {

ServerStatement parse(const std::vector<http::Header> &Headers) {
  relay::HeaderNames Names;
  Names.RateLimit = "Rate-Limit";
  Names.Leaving = "Leaving";
  return relay::parseStatement(Headers, Names);
}

} // namespace

TEST_CASE("a stated rate limit is a decimal number") {
  CHECK(parse({{"Rate-Limit", "20.1"}}).RateLimit == base::RequestRate{20.1});
  CHECK(parse({{"rate-limit", " 3 "}}).RateLimit == base::RequestRate{3.0});
  CHECK(parse({{"Rate-Limit", "0.25"}}).RateLimit == base::RequestRate{0.25});
  CHECK(parse({{"Rate-Limit", "0"}}).RateLimit == base::RequestRate{0.0});
  CHECK(parse({{"Rate-Limit", "999999999999999999999"}}).RateLimit ==
        base::RequestRate{1e21});
  CHECK(!parse({}).RateLimit);
  CHECK(!parse({}).Malformed);
}

// Guards against a malformed value that stops the traffic of a backend server
// or removes its limit.
TEST_CASE("a malformed rate limit states nothing") {
  for (const char *Value :
       {"", " ", "-5", "-0", "nan", "inf", "infinity", "1e3", "1e999", "0x10",
        "5 per second", "five", "+5", "1.2.3", "\xff"}) {
    INFO("value: ", Value);
    CHECK(!parse({{"Rate-Limit", Value}}).RateLimit);
    CHECK(parse({{"Rate-Limit", Value}}).Malformed);
  }
}

// Guards against a second header with a larger figure that undoes the first.
TEST_CASE("the lowest of several stated rate limits counts") {
  CHECK(parse({{"Rate-Limit", "8"}, {"Rate-Limit", "5"}}).RateLimit ==
        base::RequestRate{5.0});
  CHECK(parse({{"Rate-Limit", "5, 8"}}).RateLimit == base::RequestRate{5.0});
  CHECK(parse({{"Rate-Limit", "x"}, {"Rate-Limit", "5"}}).RateLimit ==
        base::RequestRate{5.0});
}

TEST_CASE("only the value 1 states that the backend server is leaving") {
  CHECK(parse({{"Leaving", "1"}}).Leaving);
  CHECK(parse({{"leaving", " 1"}}).Leaving);
  CHECK(!parse({}).Leaving);
  for (const char *Value : {"", "0", "true", "11"}) {
    CHECK(!parse({{"Leaving", Value}}).Leaving);
    CHECK(parse({{"Leaving", Value}}).Malformed);
  }
}
