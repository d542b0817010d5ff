#include "openloop.h"

#include "http/client.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace latency {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Lets the threads start before the first request is due.
constexpr std::chrono::milliseconds kStartDelay{20};

} // namespace

struct OpenLoop::Connection {
  http::Client Client;
};

void Samples::add(const Samples &Other) {
  Latencies.insert(Latencies.end(), Other.Latencies.begin(),
                   Other.Latencies.end());
  Failed += Other.Failed;
}

base::Duration Samples::quantile(double Quantile) {
  if (Latencies.empty())
    return {};
  const auto Index =
      std::min(Latencies.size() - 1,
               static_cast<std::size_t>(Quantile *
                                        static_cast<double>(Latencies.size())));
  const auto Position = Latencies.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Latencies.begin(), Position, Latencies.end());
  return *Position;
}

OpenLoop::OpenLoop(LoadTarget Target, unsigned Count)
    : Target(std::move(Target)) {
  for (unsigned Index = 0; Index < Count; ++Index)
    Connections.push_back(std::make_unique<Connection>());
}

OpenLoop::~OpenLoop() = default;

Samples OpenLoop::run(double CallsPerSecond, base::Duration Length) {
  const auto Interval = std::chrono::duration_cast<SteadyClock::duration>(
      std::chrono::duration<double>(1 / CallsPerSecond));
  const std::int64_t Count = Length / Interval;
  const SteadyClock::time_point Start = SteadyClock::now() + kStartDelay;
  http::ExchangeOptions Options;
  Options.FreshConnection = Target.FreshConnection;
  std::atomic<std::int64_t> Next = 0;
  std::vector<Samples> Parts(Connections.size());
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < Connections.size(); ++Index)
    Threads.emplace_back([&, Index] {
      for (std::int64_t Call = Next++; Call < Count; Call = Next++) {
        const SteadyClock::time_point Due = Start + Call * Interval;
        std::this_thread::sleep_until(Due);
        const auto Result = Connections[Index]->Client.exchange(
            Target.Url, Target.Call, Options);
        if (Result.Status == http::ExchangeStatus::Completed &&
            Result.Response.Status == 200)
          Parts[Index].Latencies.push_back(SteadyClock::now() - Due);
        else
          ++Parts[Index].Failed;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  Samples Total;
  for (const Samples &Each : Parts)
    Total.add(Each);
  return Total;
}

} // namespace latency
