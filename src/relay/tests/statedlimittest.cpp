#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace std::chrono_literals;

namespace {

constexpr double kStatedRate = 10;
constexpr std::uint32_t kSlots = 64;

/// A response that states a rate limit.
std::string successWithLimit(const std::string &Request, double Rate) {
  const std::string Plain = successFor(Request);
  const std::size_t End = Plain.find("\r\n") + 2;
  return Plain.substr(0, End) + "Rate-Limit: " + std::to_string(Rate) + "\r\n" +
         Plain.substr(End);
}

/// Daemon 0 runs beside a server of service `front`, and daemon 1 beside a
/// server of service `back`, which states a limit.
struct Fixture {
  Fixture() {
    Fleet.addDaemon("front", Front.url());
    Fleet.addDaemon("back", Back.url(), kSlots);
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
  }

  void requireServed() {
    REQUIRE(
        Fleet.sendAndWait(0, callerRequest("GET", "/safe/x")).Response.Status ==
        200);
  }

  /// Sends 100 requests a second to daemon 0 for `Length` and returns how many
  /// the server of service `back` receives.
  std::size_t receivedDuring(base::Duration Length) {
    const std::size_t Before = Back.requests().size();
    for (base::Duration Elapsed{}; Elapsed < Length; Elapsed += 10ms) {
      Fleet.send(0, callerRequest("GET", "/safe/x"), nullptr);
      Fleet.runFor(10ms);
    }
    return Back.requests().size() - Before;
  }

  std::atomic<bool> States = true;
  std::atomic<bool> Hangs = false;
  std::atomic<bool> FailsMostly = false;
  std::atomic<int> Count = 0;
  ScriptedBackend Front{[](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  }};
  ScriptedBackend Back{[this](const std::string &Request) {
    if (Hangs)
      return ScriptedBackend::Reaction{"", false, true};
    if (FailsMostly && ++Count % 4 != 0)
      return ScriptedBackend::Reaction{
          "HTTP/1.1 404 Gone\r\nAttempt: " + headerIn(Request, "Attempt") +
          "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"};
    return ScriptedBackend::Reaction{
        States ? successWithLimit(Request, kStatedRate) : successFor(Request)};
  }};
  TestFleet Fleet;
};

} // namespace

// Guards against passing requests at the usual rate to a backend server that
// states a lower limit.
TEST_CASE("a backend server gets no more requests than the limit that it "
          "states") {
  Fixture Test;
  Test.requireServed();
  const std::size_t Received = Test.receivedDuring(2s);
  CHECK(Received >= 0.7 * kStatedRate * 2);
  CHECK(Received <= 1.5 * kStatedRate * 2 + 5);
}

TEST_CASE("requests over the stated limit are refused early and truthfully") {
  Fixture Test;
  Test.requireServed();
  int Refused = 0;
  int Served = 0;
  for (int Count = 0; Count < 60; ++Count)
    Test.Fleet.send(0, callerRequest("POST", "/once/x"),
                    [&](const http::ExchangeResult &Result) {
                      if (Result.Response.Status == 200) {
                        ++Served;
                        return;
                      }
                      ++Refused;
                      const auto &Headers = Result.Response.Headers;
                      CHECK(Result.Response.Status == 503);
                      CHECK(http::findHeader(Headers, "jackdaw-outcome") ==
                            "not-run");
                      CHECK(http::findHeader(Headers, "retry-after"));
                    });
  const std::size_t Before = Test.Back.requests().size();
  Test.Fleet.runFor(350ms);
  CHECK(Served + Refused == 60);
  CHECK(Refused >= 50);
  CHECK(Test.Back.requests().size() - Before == std::size_t(Served));
}

// Guards against a limit that every failure of the server lifts for a moment.
TEST_CASE("a failure that states no limit leaves the limit in force") {
  Fixture Test;
  Test.requireServed();
  Test.FailsMostly = true;
  const std::size_t Received = Test.receivedDuring(2s);
  CHECK(Received <= 1.5 * kStatedRate * 2 + 5);
}

TEST_CASE("a limit that is no longer stated no longer applies") {
  Fixture Test;
  Test.requireServed();
  Test.States = false;
  Test.Fleet.runFor(200ms);
  // The response to this request lifts the limit.
  Test.requireServed();
  CHECK(Test.receivedDuring(500ms) >= 45);
}

// Guards against a fresh allowance after a restart of the daemon beside the
// backend server.
TEST_CASE("a restarted daemon keeps to the limit stated before its start") {
  Fixture Test;
  Test.requireServed();
  Test.Hangs = true;
  for (int Round = 0; Round < 2; ++Round) {
    Test.Fleet.restartDaemon(1, kSlots);
    CHECK(Test.receivedDuring(300ms) <= 1.5 * kStatedRate * 0.3);
  }
}

TEST_CASE("a limit does not apply to another process of the backend server") {
  Fixture Test;
  Test.requireServed();
  Test.States = false;
  Test.Fleet.report(1, 1, false, kSlots, 2);
  CHECK(Test.receivedDuring(500ms) >= 45);
}
