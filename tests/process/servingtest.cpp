#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

constexpr int kCallers = 64;
constexpr std::size_t kLargeBody = 1'000'000;

/// A text that no other caller sends.
std::string largeBody(int Caller) {
  std::string Text;
  while (Text.size() < kLargeBody)
    Text += std::to_string(Caller) + "/" + std::to_string(Text.size()) + " ";
  Text.resize(kLargeBody);
  return Text;
}

} // namespace

TEST_SUITE_BEGIN("serving");

// Guards against a daemon that answers a refused request without its outcome.
TEST_CASE("a key is served, and a wrong or missing one is refused as not run") {
  Fleet All;
  DaemonUnderTest &Entry = All.addDaemon({.Instance = "entry"});
  DaemonUnderTest &Serving =
      All.addDaemon({.Instance = "serving", .Service = "bookings"});
  All.configure(
      {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
  const BackendUnderTest &Backend = All.addBackend(Serving);
  REQUIRE(All.serves(Entry, "/bookings/open"));
  REQUIRE(All.serves(Entry, "/bookings/orders", kGoldKey));

  const Answer Wrong =
      send(Entry.callerUrl(), {"POST",
                               "/bookings/orders",
                               "",
                               {{"Jackdaw-Key", "wrong"}, {"X-Order", "w"}},
                               ""});
  CHECK(Wrong.Error == "key_unknown");
  CHECK(Wrong.Outcome == "not-run");
  const Answer Missing =
      send(Entry.callerUrl(),
           {"POST", "/bookings/orders", "", {{"X-Order", "m"}}, ""});
  CHECK(Missing.Error == "key_missing");
  CHECK(Missing.Outcome == "not-run");
  CHECK(Backend.executions().empty());
}

// Guards against responses that are cut short or reach another caller.
TEST_CASE("64 callers at once with bodies of 1 MB each get their own") {
  Fleet All;
  DaemonUnderTest &Entry = All.addDaemon({.Instance = "entry"});
  DaemonUnderTest &Serving =
      All.addDaemon({.Instance = "serving", .Service = "bookings"});
  const std::string Service =
      "[backend]\nslots = 16\nconnections = 50\nqueue_ms = 10000\n"
      "[[route]]\nprefix = \"/open\"\nnon_idempotent = true\n"
      "open_to_all = true\ndeadline_ms = 15000\n"
      "response_timeout_ms = 15000\n";
  All.configure({{"fleet.toml", fleetFile()}, {"bookings.toml", Service}});
  All.addBackend(Serving, {"--slots", "16"});
  REQUIRE(All.serves(Entry, "/bookings/open"));

  std::vector<Answer> Answers(kCallers);
  std::vector<std::thread> Callers;
  Callers.reserve(kCallers);
  for (int Caller = 0; Caller < kCallers; ++Caller)
    Callers.emplace_back([&, Caller] {
      // A refusal under this load is legitimate; a repeat is due then.
      waitUntil([&] {
        Answers[Caller] =
            send(Entry.callerUrl(),
                 {"POST", "/bookings/open", "", {}, largeBody(Caller)});
        return Answers[Caller].Outcome != "not-run";
      });
    });
  for (std::thread &Each : Callers)
    Each.join();
  for (int Caller = 0; Caller < kCallers; ++Caller) {
    CAPTURE(Caller);
    CHECK(Answers[Caller].Outcome == "ran");
    CHECK(Answers[Caller].Body ==
          "bookings POST /open " + largeBody(Caller) + "\n");
  }
}

TEST_SUITE_END();
