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

using SteadyClock = std::chrono::steady_clock;

/// Rate limit of the workspace in requests per second, and its burst; the same
/// as in `kServicePrefix`.
constexpr double kRate = 40;
constexpr double kBurst = 12;

/// The service file up to the digest of the workspace's key.
const char *const kServicePrefix =
    "[backend]\nslots = 8\nconnections = 50\n"
    "[[workspace]]\nname = \"gold\"\nrate = 40\nburst = 12\nkey_digests = "
    "[\"";

/// Times at which a served request was sent and its response received.
struct ServedRequest {
  SteadyClock::time_point SentAt;
  SteadyClock::time_point RespondedAt;
};

/// Two callers per daemon that send requests without a pause.
class SaturatingLoad {
public:
  explicit SaturatingLoad(const std::vector<DaemonUnderTest *> &Entries) {
    for (const DaemonUnderTest *Entry : Entries)
      for (int Caller = 0; Caller < 2; ++Caller)
        Callers.emplace_back([this, Entry] { run(*Entry); });
  }

  std::vector<ServedRequest> stop() {
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
      const SteadyClock::time_point SentAt = SteadyClock::now();
      const Response Received = send(
          Entry.callerUrl(),
          {"POST", "/bookings/orders", "", {{"Jackdaw-Key", kGoldKey}}, ""});
      // Served requests whose response was lost are not counted. The count can
      // only be too low, so the limit is not reported as exceeded by mistake.
      if (Received.Outcome == "ran") {
        std::lock_guard Lock(Mutex);
        Results.push_back({SentAt, SteadyClock::now()});
      }
    }
  }

  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<ServedRequest> Results;
  std::vector<std::thread> Callers;
};

/// Maximum over all time windows of the number of requests sent and responded
/// to inside the window, less rate x window + burst. A positive value means
/// that the limit was exceeded.
double largestExcess(std::vector<ServedRequest> Results) {
  std::sort(Results.begin(), Results.end(),
            [](const ServedRequest &A, const ServedRequest &B) {
              return A.RespondedAt < B.RespondedAt;
            });
  double Largest = -kBurst;
  for (const ServedRequest &First : Results) {
    double Inside = 0;
    for (const ServedRequest &Last : Results) {
      if (Last.SentAt < First.SentAt)
        continue;
      ++Inside;
      const std::chrono::duration<double> Window =
          Last.RespondedAt - First.SentAt;
      Largest = std::max(Largest, Inside - kRate * Window.count() - kBurst);
    }
  }
  return Largest;
}

} // namespace

TEST_SUITE_BEGIN("limits");

// Guards against a limit that each daemon applies separately, and against
// permits that are granted twice when a shard owner is killed, paused or
// restarted.
TEST_CASE("a workspace never gets more than its rate and burst over all "
          "daemons while owners are killed, paused and restarted") {
  FleetUnderTest Fleet;
  DaemonUnderTest &First = Fleet.addDaemon({.Instance = "first"});
  DaemonUnderTest &Second = Fleet.addDaemon({.Instance = "second"});
  DaemonUnderTest &Far =
      Fleet.addDaemon({.Instance = "far", .DataCentre = "dc2"});
  DaemonUnderTest &Serving =
      Fleet.addDaemon({.Instance = "serving", .Service = "bookings"});
  const std::string ServiceText = serviceFile({{"gold", kGoldKey}});
  // Takes the digest, 64 hexadecimal digits, from the generated service file.
  const std::size_t DigestStart = ServiceText.find("key_digests = [\"") + 16;
  Fleet.configure(
      {{"fleet.toml", fleetFile()},
       {"bookings.toml", kServicePrefix + ServiceText.substr(DigestStart, 64) +
                             "\"]\n[[route]]\nprefix = \"/orders\"\n"
                             "deadline_ms = 2000\n"}});
  Fleet.addBackend(Serving, {"--slots", "8"});
  for (const DaemonUnderTest *Entry : {&First, &Second, &Far})
    REQUIRE(Fleet.waitUntilServed(*Entry, "/bookings/orders", kGoldKey));

  SaturatingLoad Load({&First, &Second, &Far});
  const auto WaitForMore = [&Load](std::size_t More) {
    const std::size_t Target = Load.served() + More;
    return waitUntil([&] { return Load.served() >= Target; }, 40s);
  };
  CHECK(WaitForMore(100));
  Second.process().kill();
  CHECK(WaitForMore(60));
  Second.start();
  CHECK(WaitForMore(60));
  First.process().signal(SIGSTOP);
  CHECK(WaitForMore(60));
  Fleet.setLogFault("outage=1");
  First.process().signal(SIGCONT);
  CHECK(WaitForMore(60));
  Fleet.setLogFault("outage=0");
  CHECK(WaitForMore(60));
  const std::vector<ServedRequest> Results = Load.stop();
  CHECK(largestExcess(Results) <= 0);
}

TEST_SUITE_END();
