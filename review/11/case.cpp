// The store is away for a moment and comes back from a copy some seconds old.
// Later the operator moves a route to another service and drops a key.
#include "../common-3/harness.h"

#include <algorithm>

using namespace harness;

namespace {

constexpr std::int64_t kStableWindowMs = 4000;
constexpr std::int64_t kConfigApplyMs = 2500;
constexpr std::int64_t kMaxStretchMs = 5000;
constexpr int kRequests = 30;

/// Sends `kRequests` requests with a key, in turn to all daemons; returns how
/// often each status came, and which service ran them.
struct Probe {
  std::map<int, int> Statuses;
  std::map<std::string, int> Services;
};

Probe probe(Deployment &On, const std::string &Key) {
  Probe Result;
  std::map<std::string, bool> Sent;
  for (int Index = 0; Index < kRequests; ++Index) {
    const auto &Machine = On.Daemons[Index % On.Daemons.size()];
    const std::string Attempt = newAttempt();
    Sent[Attempt] = true;
    On.Log.line("send " + Attempt + " with " + Key + " to " + Machine->Name);
    const auto Connection = Stream::connectTo(Machine->Ip, On.Used.Outbound);
    Connection->sendAll(makeRequest("GET", "/one/x", Attempt, Key, 3000));
    const Message Answer = Connection->read(nowMs() + 3500);
    On.Log.line("answer " + Attempt + " " + std::to_string(Answer.Status));
    ++Result.Statuses[Answer.Status];
    sleepMs(20);
  }
  for (const Run &Each : On.All.all())
    if (Sent.contains(Each.Attempt))
      ++Result.Services[Each.Service];
  return Result;
}

} // namespace

int main(int, char **Arguments) {
  Deployment On("review/11/record.txt", Arguments[1]);
  for (const char *Service : {"alpha", "alpha", "beta", "beta"})
    On.addMachine(Service, 5);
  const auto Publish = [&On](int Version, const std::string &Service,
                             int TimeoutMs,
                             const std::vector<std::string> &Keys) {
    return On.Platform.writeConfig(
        Version, makeConfig(Version,
                            {{"r-one", "/one/", Service, true, TimeoutMs},
                             {"r-two", "/two/", "alpha", true, 2000},
                             {"r-three", "/three/", "beta", true, 2000}},
                            Keys));
  };
  Publish(1, "alpha", 2000, {"key-a", "key-b"});
  On.startAll();
  if (!On.waitReady(8000))
    On.finish(2, "not ready");
  sleepMs(8000);
  const Probe Before = probe(On, "key-b");
  if (!Before.Services.contains("alpha"))
    On.finish(2, "the route is not served");
  const std::int64_t CopyAt = nowMs();
  sleepMs(200);
  // Three ordinary changes of a timeout within two seconds.
  for (int Version = 2; Version <= 4; ++Version) {
    Publish(Version, "alpha", 2000 + Version, {"key-a", "key-b"});
    sleepMs(700);
  }
  if (trouble())
    On.Platform.drill(CopyAt, 500);
  // The store is stable and the machines are in touch long before the change.
  sleepMs(2 * kStableWindowMs);
  const std::int64_t Acknowledged = Publish(5, "beta", 2000, {"key-a"});
  // More than the bound and its greatest stretch.
  while (nowMs() < Acknowledged + kConfigApplyMs + kMaxStretchMs + 1000)
    sleepMs(50);
  const Probe Moved = probe(On, "key-a");
  const Probe Dropped = probe(On, "key-b");
  int Old = Moved.Services.contains("alpha") ? Moved.Services.at("alpha") : 0;
  int WithKey = 0;
  for (const auto &[Service, Count] : Dropped.Services)
    WithKey += Count;
  for (const auto &[Call, Count] : On.Platform.callCounts())
    On.Log.line("store calls: " + Call + " " + std::to_string(Count));
  const bool Broken = Old > 0 || WithKey > 0;
  if (!Broken && !Moved.Statuses.contains(200))
    On.finish(2, "no request was served, so nothing is judged");
  std::ostringstream Result;
  Result << (Broken ? "BROKEN" : "held") << ": " << kRequests
         << " requests on the moved route, " << Old
         << " run by the service of the old version; " << kRequests
         << " with the dropped key, " << WithKey << " run";
  On.finish(Broken ? 1 : 0, Result.str());
}
