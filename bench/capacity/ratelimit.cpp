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

constexpr std::size_t kWorkspaceCounts[] = {8, 100, 1000};
constexpr std::size_t kDataCentres = 10;
constexpr std::size_t kMeasuredSeconds = 20;
constexpr std::size_t kTicksPerSecond = 100;
/// Requests of callers per second at one entry daemon. 560,000 calls/s in the
/// fleet are 233 calls/s per daemon, which is about 240 requests/s if every
/// request is a single call, and about 12 if every request is a chain of 19
/// calls.
constexpr std::size_t kEntryRates[] = {12, 60, 240};

FleetLimits makeLimits(std::size_t Count) {
  FleetLimits Result;
  for (std::size_t Centre = 0; Centre < kDataCentres; ++Centre)
    Result.Placement.DataCentres.emplace_back("centre-" +
                                              std::to_string(Centre));
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.Limits.push_back(
        {base::ServiceName("service-" + std::to_string(Index % 130)),
         base::WorkspaceName("workspace-" + std::to_string(Index)),
         {100000, 100000}});
  return Result;
}

/// Totals of a run: CPU time in microseconds, numbers and encoded bytes.
struct Traffic {
  double AcquireMicros = 0;
  double TickMicros = 0;
  double GrantMicros = 0;
  double AddGrantMicros = 0;
  std::size_t Acquires = 0;
  std::size_t Ticks = 0;
  std::size_t Messages = 0;
  std::size_t RequestBytes = 0;
  std::size_t GrantBytes = 0;
};

/// One permit pool, and a grantor that owns every shard.
class PoolAndGrantor {
public:
  PoolAndGrantor(std::size_t Count, std::size_t Rate)
      : Config(makeLimits(Count)), CallsPerSecond(Rate) {
    Table.adopt(Config, Clock.now(), kLimitOverlap);
    Clock.advance(30s);
  }

  void run(std::size_t Seconds, Traffic &Totals) {
    for (std::size_t Tick = 0; Tick < Seconds * kTicksPerSecond; ++Tick) {
      Clock.advance(10ms);
      const std::size_t Due = (Tick + 1) * CallsPerSecond / kTicksPerSecond -
                              Tick * CallsPerSecond / kTicksPerSecond;
      for (std::size_t Call = 0; Call < Due; ++Call)
        acquire(Totals);
      const double Start = processorMicros();
      std::vector<PermitRequest> Requests = Pool.tick();
      Totals.TickMicros += processorMicros() - Start;
      ++Totals.Ticks;
      for (const PermitRequest &Each : Requests) {
        const PermitGrant Grant = exchange(Each, Totals);
        const double AddGrantStart = processorMicros();
        Pool.addGrant(Grant);
        Totals.AddGrantMicros += processorMicros() - AddGrantStart;
      }
    }
  }

private:
  void acquire(Traffic &Totals) {
    const FleetLimits::Entry &Limited =
        Config.Limits[NextLimit++ % Config.Limits.size()];
    const double Start = processorMicros();
    AcquireResult Result = Pool.tryAcquire(Limited.Service, Limited.Workspace);
    Totals.AcquireMicros += processorMicros() - Start;
    ++Totals.Acquires;
    if (Result.Status != AcquireStatus::MustRequest)
      return;
    while (const auto Request = Pool.nextRequest(Result.Wait))
      if (Pool.acquireFrom(Result.Wait, exchange(*Request, Totals)))
        return;
  }

  PermitGrant exchange(const PermitRequest &Request, Traffic &Totals) {
    const ownership::ValidOwnership Ownership{
        base::LogOffset(7), Clock.now() - 60s, Clock.wallNow()};
    const double Start = processorMicros();
    PermitGrant Grant = Grantor.handle(Request, Ownership);
    Totals.GrantMicros += processorMicros() - Start;
    ++Totals.Messages;
    Totals.RequestBytes += base::encode(Request).size();
    Totals.GrantBytes += base::encode(Grant).size();
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

void printTraffic(const std::string &Size, const Traffic &Totals) {
  const auto Messages = static_cast<double>(Totals.Messages);
  printRow("ratelimit", Size, "us per tryAcquire",
           Totals.AcquireMicros / static_cast<double>(Totals.Acquires));
  printRow("ratelimit", Size, "us per pool tick",
           Totals.TickMicros / static_cast<double>(Totals.Ticks));
  printRow("ratelimit", Size, "us per request at the grantor",
           Totals.GrantMicros / Messages);
  printRow("ratelimit", Size, "requests per second of one pool",
           Messages / kMeasuredSeconds);
  printRow("ratelimit", Size, "encoded bytes per request",
           static_cast<double>(Totals.RequestBytes) / Messages);
  printRow("ratelimit", Size, "encoded bytes per grant",
           static_cast<double>(Totals.GrantBytes) / Messages);
  printRow("ratelimit", Size, "encoded bytes per second sent by a pool",
           static_cast<double>(Totals.RequestBytes) / kMeasuredSeconds);
  printRow("ratelimit", Size, "encoded bytes per second sent by grantors",
           static_cast<double>(Totals.GrantBytes) / kMeasuredSeconds);
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
  PoolAndGrantor Simulated(Count, Rate);
  const std::size_t Before = heapBytes();
  Traffic Totals;
  Simulated.run(10, Totals);
  Totals = {};
  Simulated.run(kMeasuredSeconds, Totals);
  printTraffic(Size, Totals);
  printRow("ratelimit", Size, "bytes per limit in pool and grantor",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
}

} // namespace

void measureRateLimits() {
  for (const std::size_t Count : kWorkspaceCounts) {
    measureTable("workspaces=" + std::to_string(Count), Count);
    for (const std::size_t Rate : kEntryRates)
      measurePool(Count, Rate);
  }
}

} // namespace capacity
