#include "measure.h"

#include "base/codec.h"
#include "ratelimit/permitgrantor.h"
#include "ratelimit/permitpool.h"

#include <chrono>
#include <string>
#include <vector>

namespace capacity {

namespace {

using namespace std::chrono_literals;
using namespace ratelimit;

constexpr std::size_t kWorkspaces[] = {8, 100, 1000};
constexpr std::size_t kCentres = 10;
constexpr std::size_t kSeconds = 20;
constexpr std::size_t kTicksPerSecond = 100;
/// Whole requests per second that enter at one daemon. 560,000 calls/s are 233
/// calls per daemon and second: 240 if every request is a single call, 12 if
/// all are 19 deep.
constexpr std::size_t kEntryRates[] = {12, 60, 240};

FleetLimits makeLimits(std::size_t Count) {
  FleetLimits Result;
  for (std::size_t Place = 0; Place < kCentres; ++Place)
    Result.Placement.DataCentres.emplace_back("centre-" +
                                              std::to_string(Place));
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.Limits.push_back(
        {base::ServiceName("service-" + std::to_string(Index % 130)),
         base::WorkspaceName("workspace-" + std::to_string(Index)),
         {100000, 100000}});
  return Result;
}

/// Totals of a run.
struct Traffic {
  double TakeMicros = 0;
  double TickMicros = 0;
  double GrantMicros = 0;
  double AnswerMicros = 0;
  std::size_t Takes = 0;
  std::size_t Ticks = 0;
  std::size_t Messages = 0;
  std::size_t RequestBytes = 0;
  std::size_t GrantBytes = 0;
};

/// One pool with a grantor that owns every shard.
class PoolAndGrantor {
public:
  PoolAndGrantor(std::size_t Count, std::size_t Rate)
      : Config(makeLimits(Count)), CallsPerSecond(Rate) {
    Table.adopt(Config, Clock.now(), kLimitOverlap);
    Clock.advance(30s);
  }

  void run(std::size_t Seconds, Traffic &Seen) {
    for (std::size_t Tick = 0; Tick < Seconds * kTicksPerSecond; ++Tick) {
      Clock.advance(10ms);
      const std::size_t Due = (Tick + 1) * CallsPerSecond / kTicksPerSecond -
                              Tick * CallsPerSecond / kTicksPerSecond;
      for (std::size_t Call = 0; Call < Due; ++Call)
        take(Seen);
      const double Start = processorMicros();
      std::vector<PermitRequest> Requests = Pool.tick();
      Seen.TickMicros += processorMicros() - Start;
      ++Seen.Ticks;
      for (const PermitRequest &Each : Requests) {
        const PermitGrant Grant = exchange(Each, Seen);
        const double Answered = processorMicros();
        Pool.addGrant(Grant);
        Seen.AnswerMicros += processorMicros() - Answered;
      }
    }
  }

private:
  void take(Traffic &Seen) {
    const FleetLimits::Entry &Limited =
        Config.Limits[NextLimit++ % Config.Limits.size()];
    const double Start = processorMicros();
    AcquireResult Result = Pool.tryAcquire(Limited.Service, Limited.Workspace);
    Seen.TakeMicros += processorMicros() - Start;
    ++Seen.Takes;
    if (Result.Status != AcquireStatus::MustRequest)
      return;
    while (const auto Request = Pool.nextRequest(Result.Wait))
      if (Pool.acquireFrom(Result.Wait, exchange(*Request, Seen)))
        return;
  }

  PermitGrant exchange(const PermitRequest &Request, Traffic &Seen) {
    const ownership::ValidOwnership Tenure{base::LogOffset(7),
                                           Clock.now() - 60s, Clock.wallNow()};
    const double Start = processorMicros();
    PermitGrant Grant = Grantor.handle(Request, Tenure);
    Seen.GrantMicros += processorMicros() - Start;
    ++Seen.Messages;
    Seen.RequestBytes += base::encode(Request).size();
    Seen.GrantBytes += base::encode(Grant).size();
    return Grant;
  }

  base::ManualClock Clock;
  FleetLimits Config;
  const std::size_t CallsPerSecond;
  LimitTable Table;
  const base::ProcessId Self{base::InstanceId("instance-0"),
                             base::Incarnation(1'700'000'000'000'000)};
  PermitPool Pool{Clock, Table, Self, Config.Placement.DataCentres};
  PermitGrantor Grantor{Clock, Table};
  std::size_t NextLimit = 0;
};

void printTraffic(const std::string &Size, const Traffic &Seen) {
  const auto Messages = static_cast<double>(Seen.Messages);
  printRow("ratelimit", Size, "us per tryTake",
           Seen.TakeMicros / static_cast<double>(Seen.Takes));
  printRow("ratelimit", Size, "us per pool tick",
           Seen.TickMicros / static_cast<double>(Seen.Ticks));
  printRow("ratelimit", Size, "us per request at the grantor",
           Seen.GrantMicros / Messages);
  printRow("ratelimit", Size, "requests per second of one pool",
           Messages / kSeconds);
  printRow("ratelimit", Size, "encoded bytes per request",
           static_cast<double>(Seen.RequestBytes) / Messages);
  printRow("ratelimit", Size, "encoded bytes per grant",
           static_cast<double>(Seen.GrantBytes) / Messages);
  printRow("ratelimit", Size, "encoded bytes per second sent by a pool",
           static_cast<double>(Seen.RequestBytes) / kSeconds);
  printRow("ratelimit", Size, "encoded bytes per second sent by grantors",
           static_cast<double>(Seen.GrantBytes) / kSeconds);
}

void measureTable(const std::string &Size, std::size_t Count) {
  const FleetLimits Limits = makeLimits(Count);
  const std::size_t Before = heapBytes();
  LimitTable Table;
  Table.adopt(Limits, base::BootTime(), kLimitOverlap);
  printRow("ratelimit", Size, "bytes per limit in the limit table",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
}

void measurePool(std::size_t Count, std::size_t Rate) {
  const std::string Size = "workspaces=" + std::to_string(Count) +
                           " entry/s=" + std::to_string(Rate);
  PoolAndGrantor World(Count, Rate);
  const std::size_t Before = heapBytes();
  Traffic Seen;
  World.run(10, Seen);
  Seen = {};
  World.run(kSeconds, Seen);
  printTraffic(Size, Seen);
  printRow("ratelimit", Size, "bytes per limit in pool and grantor",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
}

} // namespace

void measureRateLimits() {
  for (const std::size_t Count : kWorkspaces) {
    measureTable("workspaces=" + std::to_string(Count), Count);
    for (const std::size_t Rate : kEntryRates)
      measurePool(Count, Rate);
  }
}

} // namespace capacity
