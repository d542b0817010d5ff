// Some seconds after the first start the store is away for a moment and comes
// back from a copy of before that start. Later one daemon is stopped and
// started again, as planned work. A tenant then asks for more than its quota.
#include "../common-3/harness.h"

#include <algorithm>

using namespace harness;

namespace {

constexpr std::int64_t kStableWindowMs = 4000;
constexpr std::int64_t kWindowMs = 5000;
constexpr int kRatePerS = 60;
constexpr int kBurst = 60;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
/// The load stays within hot_tenant: 7.5 times the usual for 6.5 s, where the
/// limit is 1.6 times the usual (quota_x of the site).
constexpr std::int64_t kLoadMs = 6500;
constexpr double kTimesUsual = 7.5;
constexpr double kLimitTimesUsual = 1.6;
constexpr int kMachines = 4;
constexpr int kClientsPerMachine = 5;
constexpr double kRequestsPerS = kTimesUsual * kRatePerS / kLimitTimesUsual;
constexpr auto kIntervalMs = static_cast<std::int64_t>(
    1000 * kMachines * kClientsPerMachine / kRequestsPerS + 1);

/// One client: sends a request of the tenant each `kIntervalMs` until `Until`.
void press(Deployment &On, Daemon &Machine, std::int64_t Until) {
  while (nowMs() < Until) {
    const auto Connection = Stream::connectTo(Machine.Ip, On.Used.Outbound);
    while (Connection->valid() && nowMs() < Until) {
      const std::int64_t Next = nowMs() + kIntervalMs;
      const std::string Attempt = newAttempt();
      On.Log.line("send " + Attempt + " to " + Machine.Name);
      if (!Connection->sendAll(
              makeRequest("GET", "/one/x", Attempt, "key-a", 2000)))
        break;
      const Message Answer = Connection->read(nowMs() + 2500);
      On.Log.line("answer " + Attempt + " " + std::to_string(Answer.Status));
      if (!Answer.Complete)
        break;
      sleepMs(Next - nowMs());
    }
    sleepMs(kIntervalMs);
  }
}

} // namespace

int main(int, char **Arguments) {
  Deployment On("review/12/record.txt", Arguments[1]);
  for (int Index = 0; Index < kMachines; ++Index)
    On.addMachine("alpha", 5);
  On.Platform.writeConfig(
      1, makeConfig(1, {{"r-one", "/one/", "alpha", true, 2000}}, {"key-a"},
                    kRatePerS, kBurst));
  sleepMs(500);
  const std::int64_t CopyAt = nowMs();
  sleepMs(200);
  On.startAll();
  if (!On.waitReady(8000))
    On.finish(2, "not ready");
  sleepMs(3000);
  if (trouble())
    On.Platform.drill(CopyAt, 500);
  sleepMs(2 * kStableWindowMs);
  On.Log.line("planned work: m4 gets SIGTERM and is started again");
  On.Daemons[3]->stop(SIGTERM);
  sleepMs(500);
  On.Daemons[3]->start(false);
  if (!On.waitReady(10000))
    On.finish(2, "m4 is not ready again");
  sleepMs(3 * kStableWindowMs);
  const std::int64_t Until = nowMs() + kLoadMs;
  std::vector<std::thread> Clients;
  for (auto &Machine : On.Daemons)
    for (int Index = 0; Index < kClientsPerMachine; ++Index)
      Clients.emplace_back(
          [&On, &Machine, Until] { press(On, *Machine, Until); });
  for (std::thread &Each : Clients)
    Each.join();
  const std::vector<Run> All = On.All.all();
  std::size_t Most = 0;
  std::map<std::string, std::size_t> ByMachine;
  for (std::size_t First = 0, Last = 0; Last < All.size(); ++Last) {
    while (All[Last].At - All[First].At >= kWindowMs)
      ++First;
    if (Last - First + 1 <= Most)
      continue;
    Most = Last - First + 1;
    ByMachine.clear();
    for (std::size_t At = First; At <= Last; ++At)
      ++ByMachine[All[At].Machine];
  }
  const double Allowed =
      (kRatePerS * kWindowMs / 1000.0 + kBurst) * (1 + kOverage) + kSlack;
  const bool Broken = static_cast<double>(Most) > Allowed;
  if (Most == 0)
    On.finish(2, "no request was served, so nothing is judged");
  std::ostringstream Result;
  Result << (Broken ? "BROKEN" : "held") << ": " << Most
         << " requests of the tenant ran in some 5 s, allowed are " << Allowed
         << " (";
  for (const auto &[Machine, Count] : ByMachine)
    Result << " " << Machine << " " << Count;
  Result << " )";
  On.finish(Broken ? 1 : 0, Result.str());
}
