// A daemon is stopped and started again on its own. The upstream beside it
// leaves soon after, with DELETE first, and one of its heartbeats comes late.
#include "../common-3/harness.h"

#include <algorithm>

using namespace harness;

namespace {

constexpr std::int64_t kStableWindowMs = 4000;
constexpr std::int64_t kDrainMs = 2500;
/// How late the last heartbeat before the DELETE arrives.
constexpr std::int64_t kLateMs = 2000;
/// How long the upstream serves after the acknowledgement of its DELETE.
constexpr std::int64_t kServesMs = 12000;
constexpr int kWorkMs = 300;
/// So that the server that leaves is at most a share of 0.15 of its service.
constexpr int kMachines = 7;

std::string heartbeat(const Deployment &On, int Sequence,
                      std::int64_t BornMillis) {
  const std::string Body =
      "{\"address\":\"" + On.ip(1) + ":" + std::to_string(On.Used.App) +
      "\",\"born\":" + std::to_string(BornMillis) +
      ",\"info\":{\"service\":\"alpha\",\"version\":\"v1\",\"zone\":\"z-a\","
      "\"slots\":99},\"status\":{\"state\":\"ready\",\"sequence\":" +
      std::to_string(Sequence) + ",\"cold_remaining_ms\":0}}";
  return "PUT /api/instances/i-m1 HTTP/1.1\r\nHost: control\r\nContent-Type: "
         "application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Sends a call to the control address of the first machine; returns the status
/// of the answer, 0 if there is none.
int callControl(const Deployment &On, const std::string &Text) {
  const auto Connection = Stream::connectTo(On.ip(1), On.Used.Control);
  if (!Connection->valid() || !Connection->sendAll(Text))
    return 0;
  return Connection->read(nowMs() + 1000).Status;
}

struct Sent {
  std::int64_t At = 0;
  int Status = 0;
  bool Complete = false;
};

} // namespace

int main(int, char **Arguments) {
  Deployment On("review/13/record.txt", Arguments[1]);
  for (int Index = 0; Index < kMachines; ++Index)
    On.addMachine("alpha", kWorkMs);
  On.Platform.writeConfig(
      1, makeConfig(1, {{"r-one", "/one/", "alpha", false, 2000}}, {"key-a"}));
  Upstream &Leaving = *On.Upstreams[0];
  Leaving.SendsHeartbeats = false;
  On.startAll();
  if (!On.waitReady(8000))
    On.finish(2, "not ready");
  const std::int64_t Born = Leaving.bornMillis();
  for (int Sequence = 1; Sequence <= 4; ++Sequence) {
    if (callControl(On, heartbeat(On, Sequence, Born)) != 200)
      On.finish(2, "a heartbeat is not acknowledged");
    sleepMs(1500);
  }
  if (trouble()) {
    On.Log.line("planned work: m1 gets SIGTERM and is started again");
    On.Daemons[0]->stop(SIGTERM);
    sleepMs(300);
    On.Daemons[0]->start(false);
    if (!On.waitReady(10000))
      On.finish(2, "m1 is not ready again");
  }
  const std::int64_t StartedAt = nowMs();
  On.Log.line("the upstream on m1 sends heartbeat 5, which arrives late");
  std::thread Late([&On, Born] {
    sleepMs(kLateMs);
    const int Status = callControl(On, heartbeat(On, 5, Born));
    On.Log.line("heartbeat 5 arrives, answer " + std::to_string(Status));
  });
  sleepMs(200);
  const int Status = callControl(
      On, "DELETE /api/instances/i-m1 HTTP/1.1\r\nHost: control\r\n\r\n");
  const std::int64_t LeftAt = nowMs();
  On.Log.line("the upstream on m1 sends DELETE, answer " +
              std::to_string(Status));
  if (Status != 200)
    On.finish(2, "the DELETE is not acknowledged");
  // Clients of all machines, one request after the other.
  std::mutex Mutex;
  std::map<std::string, Sent> Requests;
  std::vector<std::thread> Clients;
  const std::int64_t Until = LeftAt + kServesMs + 1500;
  for (int Index = 0; Index < 2 * kMachines; ++Index)
    Clients.emplace_back([&, Index] {
      Daemon &Machine =
          *On.Daemons[static_cast<std::size_t>(Index) % kMachines];
      while (nowMs() < Until) {
        const std::string Attempt = newAttempt();
        Sent New;
        New.At = nowMs();
        On.Log.line("send " + Attempt + " to " + Machine.Name);
        const auto Connection = Stream::connectTo(Machine.Ip, On.Used.Outbound);
        Connection->sendAll(
            makeRequest("POST", "/one/x", Attempt, "key-a", 2000, "book"));
        const Message Answer = Connection->read(nowMs() + 2500);
        New.Status = Answer.Status;
        New.Complete = Answer.Complete;
        On.Log.line("answer " + Attempt + " " + std::to_string(Answer.Status));
        {
          std::lock_guard Lock(Mutex);
          Requests[Attempt] = New;
        }
        sleepMs(50);
      }
    });
  while (nowMs() < LeftAt + kServesMs)
    sleepMs(5);
  On.Log.line("the upstream on m1 ends");
  Leaving.end();
  for (std::thread &Each : Clients)
    Each.join();
  Late.join();
  int TooLate = 0;
  int WithoutSuccess = 0;
  for (const Run &Each : On.All.all()) {
    const auto Found = Requests.find(Each.Attempt);
    if (Each.Machine != "m1" || Found == Requests.end() ||
        Each.At <= LeftAt + kDrainMs ||
        Found->second.At <= StartedAt + kStableWindowMs + 500)
      continue;
    ++TooLate;
    if (Found->second.Status != 200 || !Found->second.Complete)
      ++WithoutSuccess;
  }
  const bool Broken = TooLate > 0;
  if (std::none_of(Requests.begin(), Requests.end(),
                   [](const auto &Each) { return Each.second.Status == 200; }))
    On.finish(2, "no request was served, so nothing is judged");
  std::ostringstream Result;
  Result << (Broken ? "BROKEN" : "held") << ": " << TooLate
         << " requests, sent by machines in touch, reached the upstream later "
            "than drain_ms after the acknowledgement of its DELETE, the last "
            "of "
         << Requests.size() << "; " << WithoutSuccess
         << " of them were running when it ended and got no success";
  On.finish(Broken ? 1 : 0, Result.str());
}
