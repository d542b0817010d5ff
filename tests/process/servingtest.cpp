#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

constexpr int kCallers = 64;
constexpr std::size_t kLargeBodyBytes = 1'000'000;

/// A body of `kLargeBodyBytes` bytes that no other caller sends.
std::string largeBody(int Caller) {
  std::string Text;
  while (Text.size() < kLargeBodyBytes)
    Text += std::to_string(Caller) + "/" + std::to_string(Text.size()) + " ";
  Text.resize(kLargeBodyBytes);
  return Text;
}

} // namespace

TEST_SUITE_BEGIN("serving");

// Guards against a daemon that refuses a request without reporting its outcome.
TEST_CASE(
    "a request with a known key runs, and one with a wrong or missing key "
    "is refused as not-run") {
  FleetUnderTest Fleet;
  DaemonUnderTest &Entry = Fleet.addDaemon({.Instance = "entry"});
  DaemonUnderTest &Serving =
      Fleet.addDaemon({.Instance = "serving", .Service = "bookings"});
  Fleet.configure(
      {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
  const BackendUnderTest &Backend = Fleet.addBackend(Serving);
  REQUIRE(Fleet.waitUntilServed(Entry, "/bookings/open"));
  REQUIRE(Fleet.waitUntilServed(Entry, "/bookings/orders", kGoldKey));

  const Response Wrong =
      send(Entry.callerUrl(), {"POST",
                               "/bookings/orders",
                               "",
                               {{"Jackdaw-Key", "wrong"}, {"X-Order", "w"}},
                               ""});
  CHECK(Wrong.Error == "key_unknown");
  CHECK(Wrong.Outcome == "not-run");
  const Response Missing =
      send(Entry.callerUrl(),
           {"POST", "/bookings/orders", "", {{"X-Order", "m"}}, ""});
  CHECK(Missing.Error == "key_missing");
  CHECK(Missing.Outcome == "not-run");
  CHECK(Backend.executions().empty());
}

// Guards against responses that are truncated or reach another caller.
TEST_CASE("64 concurrent callers with bodies of 1 MB each get their own "
          "response") {
  FleetUnderTest Fleet;
  DaemonUnderTest &Entry = Fleet.addDaemon({.Instance = "entry"});
  DaemonUnderTest &Serving =
      Fleet.addDaemon({.Instance = "serving", .Service = "bookings"});
  const std::string Service =
      "[backend]\nslots = 16\nconnections = 50\nqueue_ms = 10000\n"
      "[[route]]\nprefix = \"/open\"\nnon_idempotent = true\n"
      "open_to_all = true\ndeadline_ms = 15000\n"
      "response_timeout_ms = 15000\n";
  Fleet.configure({{"fleet.toml", fleetFile()}, {"bookings.toml", Service}});
  Fleet.addBackend(Serving, {"--slots", "16"});
  REQUIRE(Fleet.waitUntilServed(Entry, "/bookings/open"));

  std::vector<Response> Responses(kCallers);
  std::vector<std::thread> Callers;
  Callers.reserve(kCallers);
  for (int Caller = 0; Caller < kCallers; ++Caller)
    Callers.emplace_back([&, Caller] {
      // Daemons may refuse requests under this load; the caller repeats those.
      waitUntil([&] {
        Responses[Caller] =
            send(Entry.callerUrl(),
                 {"POST", "/bookings/open", "", {}, largeBody(Caller)});
        return Responses[Caller].Outcome != "not-run";
      });
    });
  for (std::thread &Each : Callers)
    Each.join();
  for (int Caller = 0; Caller < kCallers; ++Caller) {
    CAPTURE(Caller);
    CHECK(Responses[Caller].Outcome == "ran");
    CHECK(Responses[Caller].Body ==
          "bookings POST /open " + largeBody(Caller) + "\n");
  }
}

TEST_SUITE_END();
