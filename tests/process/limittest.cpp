#include "process/fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace std::chrono_literals;
using namespace process;

namespace {

using Clock = std::chrono::steady_clock;

constexpr double kRate = 40;
constexpr double kBurst = 12;

const char *const kService =
    "[backend]\nslots = 8\nconnections = 50\n"
    "[[workspace]]\nname = \"gold\"\nrate = 40\nburst = 12\nkey_digests = "
    "[\"";

/// When a served request was sent and answered.
struct Served {
  Clock::time_point Sent;
  Clock::time_point Answered;
};

/// Callers that send to all given daemons without pause.
class Flood {
public:
  explicit Flood(const std::vector<DaemonUnderTest *> &Entries) {
    for (const DaemonUnderTest *Entry : Entries)
      for (int Caller = 0; Caller < 2; ++Caller)
        Callers.emplace_back([this, Entry] { run(*Entry); });
  }

  std::vector<Served> stop() {
    Stopping = true;
    for (std::thread &Each : Callers)
      Each.join();
    return Results;
  }

  std::size_t served() {
    std::lock_guard Lock(Mutex);
    return Results.size();
  }

private:
  void run(const DaemonUnderTest &Entry) {
    while (!Stopping) {
      const Clock::time_point Sent = Clock::now();
      const Answer Got = send(
          Entry.callerUrl(),
          {"POST", "/bookings/orders", "", {{"Jackdaw-Key", kGoldKey}}, ""});
      // A lost answer may belong to a served request too, which only makes the
      // count too low.
      if (Got.Outcome == "ran") {
        std::lock_guard Lock(Mutex);
        Results.push_back({Sent, Clock::now()});
      }
    }
  }

  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<Served> Results;
  std::vector<std::thread> Callers;
};

/// Largest excess over rate x window + burst of the requests that lie wholly
/// inside a window.
double worstExcess(std::vector<Served> Results) {
  std::sort(
      Results.begin(), Results.end(),
      [](const Served &A, const Served &B) { return A.Answered < B.Answered; });
  double Worst = -kBurst;
  for (const Served &First : Results) {
    double Inside = 0;
    for (const Served &Last : Results) {
      if (Last.Sent < First.Sent)
        continue;
      ++Inside;
      const std::chrono::duration<double> Window = Last.Answered - First.Sent;
      Worst = std::max(Worst, Inside - kRate * Window.count() - kBurst);
    }
  }
  return Worst;
}

} // namespace

TEST_SUITE_BEGIN("limits");

// Guards against a limit that each daemon applies on its own, and against
// shares that are granted twice when their owner is killed, paused or
// restarted.
TEST_CASE("a workspace never gets more than its rate and burst over all "
          "daemons while owners are killed, paused and restarted") {
  Fleet All;
  DaemonUnderTest &First = All.addDaemon({.Instance = "first"});
  DaemonUnderTest &Second = All.addDaemon({.Instance = "second"});
  DaemonUnderTest &Far =
      All.addDaemon({.Instance = "far", .DataCentre = "dc2"});
  DaemonUnderTest &Serving =
      All.addDaemon({.Instance = "serving", .Service = "bookings"});
  const std::string Digest = serviceFile({{"gold", kGoldKey}});
  const std::size_t At = Digest.find("key_digests = [\"") + 16;
  All.configure({{"fleet.toml", fleetFile()},
                 {"bookings.toml", kService + Digest.substr(At, 64) +
                                       "\"]\n[[route]]\nprefix = \"/orders\"\n"
                                       "deadline_ms = 2000\n"}});
  All.addBackend(Serving, {"--slots", "8"});
  for (const DaemonUnderTest *Entry : {&First, &Second, &Far})
    REQUIRE(All.serves(*Entry, "/bookings/orders", kGoldKey));

  Flood Load({&First, &Second, &Far});
  const auto WaitForMore = [&Load](std::size_t More) {
    const std::size_t Wanted = Load.served() + More;
    return waitUntil([&] { return Load.served() >= Wanted; }, 40s);
  };
  CHECK(WaitForMore(100));
  Second.process().kill();
  CHECK(WaitForMore(60));
  Second.start();
  CHECK(WaitForMore(60));
  First.process().signal(SIGSTOP);
  CHECK(WaitForMore(60));
  All.logFault("outage=1");
  First.process().signal(SIGCONT);
  CHECK(WaitForMore(60));
  All.logFault("outage=0");
  CHECK(WaitForMore(60));
  const std::vector<Served> Results = Load.stop();
  CHECK(worstExcess(Results) <= 0);
}

TEST_SUITE_END();
