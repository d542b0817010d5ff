#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace std::chrono_literals;

namespace {

constexpr double kStatedRate = 10;

/// A response that states a rate limit.
std::string successWithLimit(const std::string &Request, double Rate) {
  const std::string Plain = successFor(Request);
  const std::size_t End = Plain.find("\r\n") + 2;
  return Plain.substr(0, End) + "Rate-Limit: " + std::to_string(Rate) + "\r\n" +
         Plain.substr(End);
}

/// Sends requests to daemon 0 at an even rate for `Length` without waiting for
/// the responses.
void sendEvenly(TestFleet &Fleet, base::Duration Length,
                base::Duration Interval) {
  for (base::Duration Elapsed{}; Elapsed < Length; Elapsed += Interval) {
    Fleet.send(0, callerRequest("GET", "/safe/x"), nullptr);
    Fleet.runFor(Interval);
  }
}

} // namespace

// Guards against passing requests at the usual rate to a backend server that
// states a lower limit.
TEST_CASE("a backend server gets no more requests than the limit that it "
          "states") {
  ScriptedBackend Front([](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  });
  ScriptedBackend Back([](const std::string &Request) {
    return ScriptedBackend::Reaction{successWithLimit(Request, kStatedRate)};
  });
  TestFleet Fleet;
  Fleet.addDaemon("front", Front.url());
  Fleet.addDaemon("back", Back.url());
  Fleet.publish(simplePolicy("back"));
  Fleet.waitUntilConnected();
  CHECK(Fleet.sendAndWait(0, callerRequest("GET", "/safe/x")).Response.Status ==
        200);
  const std::size_t Before = Back.requests().size();
  sendEvenly(Fleet, 2s, 10ms);
  const std::size_t Received = Back.requests().size() - Before;
  CHECK(Received >= 0.7 * kStatedRate * 2);
  CHECK(Received <= 1.5 * kStatedRate * 2 + 5);
}
