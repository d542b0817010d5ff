#include "measure.h"

#include "base/codec.h"
#include "ownership/shardownership.h"

#include <chrono>
#include <string>
#include <vector>

namespace capacity {

namespace {

using namespace std::chrono_literals;
using namespace ownership;

constexpr std::size_t kDataCentres = 10;
constexpr std::size_t kMemberCounts[] = {10, 100, 240};
constexpr std::size_t kOwnedShardCounts[] = {1, 32};
constexpr std::size_t kTicks = 10000;

base::ProcessId process(std::size_t Index) {
  return {base::InstanceId("instance-" + std::to_string(Index)),
          base::Incarnation(1'700'000'000'000'000)};
}

base::DataCentreId centre(std::size_t Index) {
  return base::DataCentreId("centre-" + std::to_string(Index));
}

OwnershipClaim claimFor(const base::ProcessId &Claimant,
                        const base::ProcessId &Successor,
                        const ShardId &Shard) {
  return {Claimant, Successor, {{Shard, ClaimBasis::Initial, {}}}};
}

/// All shards of the fleet; process 0 owns the first `Owned` of data centre 0.
OwnershipState fleetState(std::size_t Owned, std::uint64_t &Offset) {
  OwnershipState State;
  for (std::size_t Centre = 0; Centre < kDataCentres; ++Centre)
    for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
      const bool OwnedByFirst = Centre == 0 && Index < Owned;
      State.apply(base::LogOffset(++Offset),
                  claimFor(process(OwnedByFirst ? 0 : 1000 + Index), process(1),
                           {centre(Centre), Index}));
    }
  return State;
}

/// Measures one owner whose successor acknowledges every ping immediately.
void measureOwner(std::size_t Members, std::size_t Owned) {
  const std::string Size =
      "members=" + std::to_string(Members) + " owned=" + std::to_string(Owned);
  base::ManualClock Clock;
  std::uint64_t Offset = 0;
  const OwnershipState State = fleetState(Owned, Offset);
  ShardOwnership Ownership(Clock, State, process(0), centre(0));
  std::vector<base::ProcessId> Alive;
  for (std::size_t Index = 0; Index < Members; ++Index)
    Alive.push_back(process(Index));
  Ownership.setCandidates(Alive);
  Ownership.onRecordsApplied(base::LogOffset(Offset));
  Ownership.onLogReadCompleted(Clock.now(), base::LogOffset(Offset));

  double TickMicros = 0;
  std::size_t Pings = 0;
  std::size_t PingBytes = 0;
  std::size_t Reads = 0;
  for (std::size_t Tick = 0; Tick < kTicks; ++Tick) {
    Clock.advance(10ms);
    const double Start = processorMicros();
    const OwnershipActions Actions = Ownership.tick();
    TickMicros += processorMicros() - Start;
    Reads += Actions.NeedsLogRead ? 1 : 0;
    for (const SuccessorPing &Ping : Actions.Pings) {
      ++Pings;
      PingBytes += base::encode(Ping).size();
      Ownership.onAck({Ping.To, Ping.From, Ping.Sequence, Ping.Shards});
    }
  }
  printRow("ownership", Size, "us per tick", TickMicros / kTicks);
  printRow("ownership", Size, "pings per second",
           static_cast<double>(Pings) / (kTicks / 100.0));
  printRow("ownership", Size, "encoded bytes per ping",
           Pings ? static_cast<double>(PingBytes) / static_cast<double>(Pings)
                 : 0);
  printRow("ownership", Size, "log reads needed per second",
           static_cast<double>(Reads) / (kTicks / 100.0));
  printRow("ownership", Size, "us per validity check",
           microsEach(100000, [&](std::size_t) {
             static_cast<void>(Ownership.validOwnership({centre(0), 0}));
           }));
}

} // namespace

void measureOwnership() {
  std::uint64_t Offset = 0;
  const std::size_t Before = heapBytes();
  const OwnershipState State = fleetState(1, Offset);
  const auto Shards = static_cast<double>(State.entries().size());
  printRow("ownership", "shards=320", "bytes per shard in memory",
           static_cast<double>(heapBytes() - Before) / Shards);
  printRow("ownership", "shards=320", "encoded bytes per shard",
           static_cast<double>(base::encode(State).size()) / Shards);
  OwnershipState Copy;
  printRow("ownership", "shards=320", "us per copy of the state",
           microsEach(1000, [&](std::size_t) { Copy = State; }));
  printRow("ownership", "shards=1", "encoded bytes of a claim",
           static_cast<double>(
               base::encode(claimFor(process(0), process(1), {centre(0), 0}))
                   .size()));
  for (const std::size_t Members : kMemberCounts)
    for (const std::size_t Owned : kOwnedShardCounts)
      measureOwner(Members, Owned);
}

} // namespace capacity
