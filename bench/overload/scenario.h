#ifndef JACKDAW_BENCH_OVERLOAD_SCENARIO_H
#define JACKDAW_BENCH_OVERLOAD_SCENARIO_H

#include "base/types.h"

#include <array>
#include <string>

namespace bench {

inline constexpr int kServices = 5;
inline constexpr int kNodesPerService = 3;
inline constexpr double kCores = 8;
inline constexpr int kSlots = 60;
inline constexpr double kMeanWorkMs = 10;

/// Requests per second that the chain can serve while nothing is slow.
inline constexpr double kCapacity =
    kNodesPerService * kCores * 1000 / kMeanWorkMs;

/// Demand without a trigger, as a share of the capacity.
inline constexpr double kOrdinaryLoad = 0.75;

inline constexpr std::array kWorkspaceShares{
    0.25, 0.25, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0};
inline constexpr std::size_t kWorkspaces = kWorkspaceShares.size();
inline constexpr std::array<double, base::kPriorityClassCount> kClassShares{
    0.1, 0.7, 0.2};

/// The trigger lasts from `kTriggerStartMs` to `kTriggerEndMs`.
inline constexpr int kTriggerStartMs = 5000;
inline constexpr int kTriggerEndMs = 15000;
inline constexpr int kEndMs = 30000;

/// Time after which the caller gives up an attempt.
inline constexpr int kDeadlineMs = 1000;

/// Time after which the whole request is lost for the caller, retries included.
inline constexpr int kPatienceMs = 2000;

/// What happens during the trigger; the callers' retry policy holds at all
/// times.
struct Scenario {
  std::string Name;
  /// Factor on the work of the last service.
  double DeepSlowdown = 1;
  double DemandFactor = 1;
  /// Calls of each request to the last service, which share its work there.
  int DeepCalls = 1;
  /// Share of the requests that take a route which ends at the second service.
  double ShortShare = 0;
  /// Additional factor on the demand of the last workspace.
  double HogFactor = 1;
  int MaxRetries = 1;
  int RetryAfterMs = 200;
};

/// Which mechanisms are on.
struct Variant {
  std::string Name;
  /// Adaptive limit instead of a fixed one.
  bool Limit = true;
  /// Fair queue instead of an unbounded one in arrival order, and dropping of
  /// work whose deadline has passed.
  bool Queue = true;
  /// Admission levels.
  bool Admission = true;
  /// Correction of request values by workspace demand.
  bool Correction = true;
};

/// Requests per second of a workspace and class.
inline double demandOf(const Scenario &Case, bool Triggered, std::size_t Owner,
                       std::size_t Class) {
  double Demand =
      kOrdinaryLoad * kCapacity * kWorkspaceShares[Owner] * kClassShares[Class];
  if (!Triggered)
    return Demand;
  if (Owner == kWorkspaces - 1)
    Demand *= Case.HogFactor;
  return Demand * Case.DemandFactor;
}

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_SCENARIO_H
