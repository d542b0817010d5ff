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

/// Which faults a schedule contains.
struct ModelFaults {
  bool Network = false;
  bool Freezes = false;
  bool Restarts = false;
  bool LimitChanges = false;
};

/// One daemon of the model: pool, grantor and its own view of the limits.
struct ModelDaemon {
  base::ProcessId Id;
  std::size_t DataCentre = 0;
  LimitTable Limits;
  std::unique_ptr<PermitPool> Pool;
  std::unique_ptr<PermitGrantor> Grantor;
  base::BootTime FrozenUntil;
  base::BootTime NextTick;
  /// Grows with each restart; events of the earlier process are dropped.
  std::uint64_t Life = 1;
};

/// Counts of one run.
struct ModelCounts {
  std::uint64_t Offered = 0;
  std::uint64_t Used = 0;
  std::uint64_t Refused = 0;
  /// Refused by one central bucket that sees the same arrivals at once.
  std::uint64_t IdealRefused = 0;
  std::uint64_t Messages = 0;
};

/// Daemons in several data centres with a fake network and fixed shard owners
/// that change only by restarts. One limit is under test, and all its uses go
/// through one reference bucket.
class ModelWorld {
public:
  ModelWorld(std::uint64_t Seed, Limit Whole, ModelFaults Faults);

  /// Advances by `Span` with Poisson arrivals of `Rates[i]` per second at
  /// daemon i.
  void run(base::Duration Span, const std::vector<double> &Rates);

  /// Empty, or when the uses exceeded rate and burst.
  const std::string &violation() const { return Violation; }
  /// Lets requests wait once for the next permit if it should come within
  /// `Longest`.
  void allowWait(base::Duration Longest) { LongestWait = Longest; }

  const ModelCounts &counts() const { return Counts; }
  void resetCounts() { Counts = {}; }

  static constexpr std::size_t kDataCentres = 3;
  static constexpr std::size_t kDaemons = 12;

private:
  struct Tenure {
    std::size_t Owner = 0;
    ownership::ValidOwnership Valid;
    base::BootTime Ends;
  };

  bool chance(double Probability);
  base::Duration upTo(base::Duration Limit);
  void later(base::Duration Delay, std::function<void()> Run);
  void on(std::size_t Daemon, base::Duration Delay, std::function<void()> Run);
  void step(const std::vector<double> &Rates);
  void startDaemon(std::size_t Index, base::Duration KnownAge);
  void restart(std::size_t Place, bool All);
  void startFaults();
  void changeLimits();
  void assignOwners();
  void arrive(std::size_t Daemon);
  void tryOnce(std::size_t Daemon, bool MayWait);
  void ask(std::size_t Daemon, const std::shared_ptr<PermitWait> &Wait,
           bool MayWait);
  void refuse(std::size_t Daemon, bool MayWait);
  void send(std::size_t From, const PermitRequest &Request,
            const std::function<void(const PermitGrant &)> &Reply);
  void transfer(std::size_t From, std::size_t To,
                const std::function<void()> &Deliver);
  void use();
  void refillReference();
  void countIdeal();

  base::ManualClock Clock;
  std::mt19937_64 Random;
  const ModelFaults Faults;
  FleetLimits Config;
  std::vector<ModelDaemon> Daemons;
  std::map<ownership::ShardId, Tenure> Tenures;
  std::multimap<base::BootTime, std::function<void()>> Events;
  Limit Reference;
  double ReferenceLevel;
  double IdealLevel;
  base::BootTime IdealAt;
  base::BootTime ReferenceAt;
  double Loss;
  base::Duration LongestWait{};
  base::BootTime NextChange;
  std::uint64_t LastTerm = 0;
  std::string Violation;
  ModelCounts Counts;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_TESTS_SIMULATION_H
