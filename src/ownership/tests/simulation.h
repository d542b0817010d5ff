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

using OwnershipRecord = std::variant<OwnershipClaim, OwnershipRelease>;

/// A simulated process with its own copy of the ownership state.
struct SimulatedProcess {
  base::ProcessId Id;
  int InstanceIndex = 0;
  OwnershipState State;
  std::unique_ptr<ShardOwnership> Ownership;
  /// Number of log records applied to `State`.
  std::size_t AppliedRecords = 0;
  base::BootTime PausedUntil;
  /// Set if the process was replaced while paused or is stopping: the time at
  /// which it ends.
  std::optional<base::BootTime> EndsAt;
  bool Alive = true;
};

/// Simulation of several processes on fixed instances, with a simulated log, a
/// lossy network and random faults. Time advances in steps of 50 ms.
class Simulation {
public:
  explicit Simulation(std::uint64_t Seed);

  /// Advances by one step. With `InjectFaults`, new faults may start; without
  /// it, all faults end.
  void step(bool InjectFaults);

  /// Ends the process that validly owns shard 0, without a restart.
  void killOwner();

  /// Description of the first shard seen with two valid owners; empty if there
  /// was none. A valid owner is a running process whose `validOwnership`
  /// returns a value.
  const std::string &violation() const { return Violation; }

  /// Number of shards with a valid owner.
  std::size_t validShardCount() const;

  std::size_t recordCount() const { return Log.size(); }
  base::Duration elapsed() const { return Clock.now() - StartedAt; }

private:
  struct PlannedEvent {
    base::BootTime At;
    /// The event is dropped if this process has ended, and postponed while it
    /// is paused. Null for events that need no process, as those of the log.
    SimulatedProcess *RequiredProcess;
    std::function<void()> Run;
  };

  bool randomBool(double Probability);
  base::Duration randomDuration(base::Duration Limit);
  /// Whether the process has neither ended nor is paused.
  bool isRunning(const SimulatedProcess &Process) const;
  void schedule(base::Duration Delay, SimulatedProcess *RequiredProcess,
                std::function<void()> Run);
  void runEvents();
  void startProcess(int InstanceIndex);
  void startFaults();
  void pause(SimulatedProcess &Process);
  void isolatePair(int First, int Second);
  /// Isolates the owner and its old successor just after the owner has decided
  /// to append a renewal, so that neither learns of the new successor.
  void isolateAfterRenewal(const SimulatedProcess &Owner,
                           const OwnershipClaim &Claim);
  void endFaults();
  void tickProcesses();
  void send(SimulatedProcess &From, const SuccessorPing &Ping);
  void deliver(int FromIndex, const base::InstanceId &To,
               const std::function<void(SimulatedProcess &)> &Run);
  void append(OwnershipRecord Record);
  void readLog(SimulatedProcess &Process);
  /// Applies the records that a random process has applied, unless that process
  /// is unreachable.
  void copyStateFromPeer(SimulatedProcess &Process);
  /// Applies the log until `EndCount` records have been applied in total.
  void applyUpTo(SimulatedProcess &Process, std::size_t EndCount);
  void updateOwnerCandidates();
  void checkSingleOwner();

  base::ManualClock Clock;
  std::mt19937_64 Random;
  base::BootTime StartedAt;
  std::vector<std::unique_ptr<SimulatedProcess>> Processes;
  std::vector<PlannedEvent> Events;
  std::vector<OwnershipRecord> Log;
  base::BootTime LogOutageUntil;
  /// By instance index.
  std::map<int, base::BootTime> LogUnreachableUntil;
  /// By the instance indexes of sender and receiver.
  std::map<std::pair<int, int>, base::BootTime> LinkDownUntil;
  bool InjectingFaults = false;
  /// Incarnation of the process started last.
  std::uint64_t LastIncarnation = 0;
  std::string Violation;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_TESTS_SIMULATION_H
