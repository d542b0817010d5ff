#ifndef JACKDAW_OWNERSHIP_TESTS_SIMULATION_H
#define JACKDAW_OWNERSHIP_TESTS_SIMULATION_H

#include "ownership/shardownership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>

namespace ownership {

using LogRecord = std::variant<OwnershipClaim, OwnershipRelease>;

/// A simulated process with its own replica.
struct SimulatedProcess {
  base::ProcessId Id;
  int InstanceIndex = 0;
  OwnershipState State;
  std::unique_ptr<ShardOwnership> Shards;
  std::size_t Applied = 0;
  base::BootTime FrozenUntil;
  /// Time at which a process ends that was replaced while frozen, or that is
  /// stopping.
  std::optional<base::BootTime> EndsAt;
  bool Alive = true;
};

/// Simulation of several processes on fixed instances, with a simulated log, a
/// lossy network and random faults. Time advances in steps.
class Simulation {
public:
  explicit Simulation(std::uint64_t Seed);

  /// Advances by one step. With `Faults`, new faults may start; without it, all
  /// faults end.
  void step(bool Faults);

  /// Ends the process that owns shard 0, without a restart.
  void killOwner();

  /// Description of the first shard seen with two valid owners; empty if there
  /// was none.
  const std::string &violation() const { return Violation; }

  /// Number of shards with a valid owner.
  std::size_t validShards() const;

  std::size_t recordCount() const { return Log.size(); }
  base::Duration elapsed() const { return Clock.now() - StartedAt; }

private:
  struct PlannedEvent {
    base::BootTime At;
    /// The process that must be running; null for events of the network and the
    /// log.
    SimulatedProcess *Host;
    std::function<void()> Run;
  };

  bool chance(double Probability);
  base::Duration randomDuration(base::Duration Limit);
  bool isRunning(const SimulatedProcess &Process) const;
  void schedule(base::Duration Delay, SimulatedProcess *Host,
                std::function<void()> Run);
  void runEvents();
  void startProcess(int InstanceIndex);
  void startFaults();
  void freeze(SimulatedProcess &Process);
  void partition(int First, int Second);
  void partitionAroundRenewal(const SimulatedProcess &Owner,
                              const OwnershipClaim &Claim);
  void endFaults();
  void tickProcesses();
  void send(SimulatedProcess &From, const SuccessorPing &Ping);
  void deliver(int FromIndex, const base::InstanceId &To,
               const std::function<void(SimulatedProcess &)> &Run);
  void append(LogRecord Record);
  void readLog(SimulatedProcess &Process);
  void fetchFromPeer(SimulatedProcess &Process);
  void applyUpTo(SimulatedProcess &Process, std::size_t End);
  void updateCandidates();
  void checkSingleOwner();

  base::ManualClock Clock;
  std::mt19937_64 Random;
  base::BootTime StartedAt;
  std::vector<std::unique_ptr<SimulatedProcess>> Processes;
  std::vector<PlannedEvent> Events;
  std::vector<LogRecord> Log;
  base::BootTime LogOutageUntil;
  std::map<int, base::BootTime> LogUnreachableUntil;
  std::map<std::pair<int, int>, base::BootTime> LinkDownUntil;
  bool FaultsOn = false;
  std::uint64_t LastEpoch = 0;
  std::string Violation;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_TESTS_SIMULATION_H
