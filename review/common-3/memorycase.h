// What the cases about memory share: other clients that book, and the platform,
// which ends a process that holds more memory than its settings give.
#ifndef REVIEW_COMMON_3_MEMORYCASE_H
#define REVIEW_COMMON_3_MEMORYCASE_H

#include "harness.h"

#include <algorithm>

namespace harness {

inline constexpr double kMemoryMb = 260;
/// More requests than this that a machine cuts after it has passed them on
/// break the rule.
inline constexpr std::ptrdiff_t kAllowedCuts = 3;

class MemoryCase {
public:
  explicit MemoryCase(Deployment &On) : On(On) {}

  /// Runs `Trouble` beside clients that send a booking at a time on kept
  /// connections, which upstreams run for 150 ms. Returns whether the rule was
  /// broken and describes what was seen.
  std::pair<bool, std::string> run(const std::function<void()> &Trouble) {
    std::vector<std::thread> Clients;
    for (auto &Machine : On.Daemons)
      for (int Index = 0; Index < 5; ++Index)
        Clients.emplace_back([this, &Machine] { book(*Machine); });
    std::thread Troubled([this, &Trouble] {
      Trouble();
      sleepMs(2000);
      Done = true;
    });
    guard();
    Troubled.join();
    for (std::thread &Each : Clients)
      Each.join();
    return summary();
  }

private:
  /// One client: bookings, one after the other.
  void book(Daemon &Machine) {
    while (!Done) {
      const auto Connection = Stream::connectTo(Machine.Ip, On.Used.Outbound);
      for (bool Kept = false; Connection->valid() && !Done; Kept = true) {
        const std::string Attempt = newAttempt();
        On.Log.line("send " + Attempt + " to " + Machine.Name);
        if (!Connection->sendAll(
                makeRequest("POST", "/one/x", Attempt, "key-a", 2000, "book")))
          break;
        ++Sent;
        const Message Answer = Connection->read(nowMs() + 2500);
        On.Log.line("answer " + Attempt + " " + std::to_string(Answer.Status));
        if (!Answer.Complete) {
          std::lock_guard Lock(Mutex);
          if (Kept)
            Cut.push_back(Attempt);
          break;
        }
        sleepMs(20);
      }
      sleepMs(50);
    }
  }

  /// The platform: ends a process with too much memory, and starts it again.
  void guard() {
    Ends.resize(On.Daemons.size(), 0);
    MostMb.resize(On.Daemons.size(), 0);
    while (!Done) {
      for (std::size_t Index = 0; Index < On.Daemons.size(); ++Index) {
        Daemon &Machine = *On.Daemons[Index];
        const double Memory = Machine.memoryMb();
        MostMb[Index] = std::max(MostMb[Index], Memory);
        if (Memory <= kMemoryMb && !Machine.ended())
          continue;
        ++Ends[Index];
        On.Log.line("the process of " + Machine.Name + " holds " +
                    std::to_string(static_cast<int>(Memory)) +
                    " MB and is ended");
        Machine.stop(SIGKILL);
        sleepMs(500);
        Machine.start(false);
      }
      sleepMs(3);
    }
  }

  std::pair<bool, std::string> summary() {
    std::map<std::string, bool> Ran;
    for (const Run &Each : On.All.all())
      Ran[Each.Attempt] = true;
    const auto Lost =
        std::count_if(Cut.begin(), Cut.end(),
                      [&](const auto &Each) { return Ran.contains(Each); });
    const auto Machines = std::count_if(Ends.begin(), Ends.end(),
                                        [](int Count) { return Count >= 3; });
    const bool Broken = Lost > kAllowedCuts;
    if (Ran.empty())
      On.finish(2, "no request was served, so nothing is judged");
    std::ostringstream Result;
    Result << (Broken ? "BROKEN" : "held") << ": of " << Sent
           << " other requests, " << Lost
           << " on kept connections ran and were cut without an answer; "
           << Machines
           << " machines whose process ended by itself three times:";
    for (std::size_t Index = 0; Index < Ends.size(); ++Index)
      Result << " m" << Index + 1 << " " << Ends[Index] << " (at most "
             << static_cast<int>(MostMb[Index]) << " MB of " << kMemoryMb
             << ")";
    return {Broken, Result.str()};
  }

  Deployment &On;
  std::atomic<bool> Done = false;
  std::atomic<int> Sent = 0;
  std::mutex Mutex;
  std::vector<std::string> Cut;
  std::vector<int> Ends;
  std::vector<double> MostMb;
};

} // namespace harness

#endif // REVIEW_COMMON_3_MEMORYCASE_H
