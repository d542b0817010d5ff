#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace std::chrono_literals;

namespace {

ScriptedBackend::Reaction succeed(const std::string &Request) {
  return {successFor(Request)};
}

std::string refusalOf(const std::string &Attempt) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
         "Retry-After: 0.250\r\nAttempt: " +
         Attempt + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a request that runs at a second server because the beginning
// of an earlier refusal stands before the response of the first.
TEST_CASE("the beginning of an earlier refusal is no proof that a request has "
          "not run") {
  const std::string Refusal = refusalOf("earlier");
  for (std::size_t Length = 1; Length < Refusal.size(); Length += 5) {
    CAPTURE(Refusal.substr(0, Length));
    std::atomic<int> Runs = 0;
    const auto Spoil = [&](const std::string &Request) {
      if (headerIn(Request, "Attempt") != "spoiled")
        return succeed(Request);
      ++Runs;
      return ScriptedBackend::Reaction{Refusal.substr(0, Length) +
                                       successFor(Request)};
    };
    ScriptedBackend Front(&succeed);
    ScriptedBackend First(Spoil);
    ScriptedBackend Second(Spoil);
    TestFleet Fleet;
    Fleet.addDaemon("front", Front.url());
    Fleet.addDaemon("back", First.url());
    Fleet.addDaemon("back", Second.url());
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
    Fleet.sendAndWait(0, callerRequest("POST", "/once/x", "earlier"));
    const auto Result =
        Fleet.sendAndWait(0, callerRequest("POST", "/once/x", "spoiled"));
    CHECK(Runs == 1);
    CHECK(Result.Response.Status == 502);
  }
}
