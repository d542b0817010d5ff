#ifndef JACKDAW_RATELIMIT_TESTS_SIMULATION_H
#define JACKDAW_RATELIMIT_TESTS_SIMULATION_H

#include "ratelimit/permitgrantor.h"
#include "ratelimit/permitpool.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ratelimit {

/// Kinds of faults in a run.
struct SimulatedFaults {
  bool Network = false;
  bool Pauses = false;
  bool Restarts = false;
  bool LimitChanges = false;
};

/// A simulated daemon: pool, grantor and its own view of the limits.
struct SimulatedDaemon {
  base::ProcessId Id;
  std::size_t DataCentre = 0;
  LimitTable Limits;
  std::unique_ptr<PermitPool> Pool;
  std::unique_ptr<PermitGrantor> Grantor;
  base::BootTime PausedUntil;
  base::BootTime NextTick;
  /// Increases with each restart; events of earlier processes are dropped.
  std::uint64_t ProcessNumber = 1;
};

/// Counts of one run.
struct SimulationCounts {
  std::uint64_t Offered = 0;
  std::uint64_t Used = 0;
  std::uint64_t Refused = 0;
  /// Requests that a single central bucket would refuse if it saw the same
  /// arrivals without delay.
  std::uint64_t CentralRefused = 0;
  std::uint64_t Messages = 0;
};

/// Simulation of daemons in several data centres with a simulated network and
/// shard owners that change only by restarts. One limit is under test, and all
/// its uses are checked against one reference bucket.
class Simulation {
public:
  Simulation(std::uint64_t Seed, Limit Total, SimulatedFaults Faults);

  /// Advances by `Span` with Poisson arrivals of `Rates[i]` per second at
  /// daemon `i`.
  void run(base::Duration Span, const std::vector<double> &Rates);

  /// Description of the first time at which the uses exceeded rate and burst;
  /// empty if they never did.
  const std::string &violation() const { return Violation; }
  /// Lets requests wait once for the next permit if it is expected within
  /// `Longest`.
  void setMaxWait(base::Duration Longest) { MaxWait = Longest; }

  const SimulationCounts &counts() const { return Counts; }
  void resetCounts() { Counts = {}; }

  static constexpr std::size_t kDataCentres = 3;
  static constexpr std::size_t kDaemons = 12;

private:
  struct Tenure {
    std::size_t Owner = 0;
    ownership::ValidOwnership Valid;
    base::BootTime EndsAt;
  };

  bool randomBool(double Probability);
  base::Duration randomDuration(base::Duration Limit);
  void schedule(base::Duration Delay, std::function<void()> Run);
  void runAt(std::size_t Daemon, base::Duration Delay,
             std::function<void()> Run);
  void step(const std::vector<double> &Rates);
  void startDaemon(std::size_t Index, base::Duration MinTimeInForce);
  void restart(std::size_t DataCentre, bool All);
  void startFaults();
  void changeLimits();
  void assignOwners();
  void onArrival(std::size_t Daemon);
  void tryRequest(std::size_t Daemon, bool MayWait);
  void requestPermit(std::size_t Daemon,
                     const std::shared_ptr<PermitWait> &Wait, bool MayWait);
  void refuse(std::size_t Daemon, bool MayWait);
  void send(std::size_t From, const PermitRequest &Request,
            const std::function<void(const PermitGrant &)> &Reply);
  void transmit(std::size_t From, std::size_t To,
                const std::function<void()> &Deliver);
  void recordUse();
  void refillReference();
  void applyToCentralBucket();

  base::ManualClock Clock;
  std::mt19937_64 Random;
  const SimulatedFaults Faults;
  FleetLimits Config;
  std::vector<SimulatedDaemon> Daemons;
  std::map<ownership::ShardId, Tenure> Tenures;
  std::multimap<base::BootTime, std::function<void()>> Events;
  Limit Reference;
  double ReferenceLevel;
  double CentralLevel;
  base::BootTime CentralRefilledAt;
  base::BootTime ReferenceRefilledAt;
  double Loss;
  base::Duration MaxWait{};
  base::BootTime NextChange;
  std::uint64_t LastTerm = 0;
  std::string Violation;
  SimulationCounts Counts;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_TESTS_SIMULATION_H
