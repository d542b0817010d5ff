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

/// One process of the model with its own replica.
struct ModelProcess {
  base::ProcessId Id;
  int Slot = 0;
  OwnershipState State;
  std::unique_ptr<ShardOwnership> Shards;
  std::size_t Applied = 0;
  base::BootTime FrozenUntil;
  /// When a process that was replaced while frozen ends.
  std::optional<base::BootTime> EndsAt;
  bool Alive = true;
};

/// Several processes on fixed instances, a fake log and a lossy network, with
/// random faults. Time advances in steps.
class ModelWorld {
public:
  explicit ModelWorld(std::uint64_t Seed);

  /// Advances one step. `Faults` starts new faults; without it all faults end.
  void step(bool Faults);

  /// Ends the process that owns shard 0, for good.
  void killOwner();

  /// Empty, or a description of a shard with two valid owners.
  const std::string &violation() const { return Violation; }

  /// Number of shards with a valid owner.
  std::size_t validShards() const;

  std::size_t recordCount() const { return Log.size(); }
  base::Duration elapsed() const { return Clock.now() - Began; }

private:
  struct PlannedEvent {
    base::BootTime At;
    /// The process that must be running; null for the network and the log.
    ModelProcess *On;
    std::function<void()> Run;
  };

  bool chance(double Probability);
  base::Duration upTo(base::Duration Limit);
  bool runs(const ModelProcess &One) const;
  void later(base::Duration Delay, ModelProcess *On, std::function<void()> Run);
  void runEvents();
  void startProcess(int Slot);
  void startFaults();
  void freeze(ModelProcess &One);
  void partition(int First, int Second);
  void partitionAroundRenewal(const ModelProcess &Owner,
                              const OwnershipClaim &Claim);
  void endFaults();
  void ticks();
  void send(ModelProcess &From, const SuccessorPing &Ping);
  void deliver(int FromSlot, const base::InstanceId &To,
               const std::function<void(ModelProcess &)> &Run);
  void append(LogRecord Record);
  void readLog(ModelProcess &One);
  void pullFromPeer(ModelProcess &One);
  void applyUpTo(ModelProcess &One, std::size_t End);
  void updateMembers();
  void check();

  base::ManualClock Clock;
  std::mt19937_64 Random;
  base::BootTime Began;
  std::vector<std::unique_ptr<ModelProcess>> Processes;
  std::vector<PlannedEvent> Events;
  std::vector<LogRecord> Log;
  base::BootTime OutageUntil;
  std::map<int, base::BootTime> CutFromLogUntil;
  std::map<std::pair<int, int>, base::BootTime> CutUntil;
  bool FaultsOn = false;
  std::uint64_t LastEpoch = 0;
  std::string Violation;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_TESTS_SIMULATION_H
