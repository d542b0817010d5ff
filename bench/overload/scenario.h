#ifndef JACKDAW_BENCH_OVERLOAD_SCENARIO_H
#define JACKDAW_BENCH_OVERLOAD_SCENARIO_H

#include "base/types.h"

#include <array>
#include <string>

namespace bench {

inline constexpr int kServices = 5;
inline constexpr int kInstancesPerService = 3;
/// Cores and slots of each backend server.
inline constexpr double kCores = 8;
inline constexpr int kSlots = 60;
/// Mean work of a call at one service, in milliseconds of one core.
inline constexpr double kMeanWorkMs = 10;

/// Requests per second that the chain can serve without a slowdown.
inline constexpr double kCapacity =
    kInstancesPerService * kCores * 1000 / kMeanWorkMs;

/// Demand without a trigger, as a fraction of the capacity.
inline constexpr double kNormalLoad = 0.75;

/// Fractions of the demand by workspace and by class, from the highest class to
/// the lowest.
inline constexpr std::array kWorkspaceShares{
    0.25, 0.25, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0, 1 / 12.0};
inline constexpr std::size_t kWorkspaces = kWorkspaceShares.size();
inline constexpr std::array<double, base::kPriorityClassCount> kClassShares{
    0.1, 0.7, 0.2};

/// The trigger lasts from `kTriggerStartMs` to `kTriggerEndMs`.
inline constexpr int kTriggerStartMs = 5000;
inline constexpr int kTriggerEndMs = 15000;
inline constexpr int kEndMs = 30000;

/// Time after which the caller abandons an attempt.
inline constexpr int kAttemptTimeoutMs = 1000;

/// Time after which a request, retries included, counts as lost.
inline constexpr int kRequestTimeoutMs = 2000;

/// The overload during the trigger. The retry policy of the callers applies at
/// all times.
struct Scenario {
  std::string Name;
  /// Factor applied to the work of the last service.
  double LastServiceSlowdown = 1;
  /// Factor applied to the demand of all workspaces.
  double DemandFactor = 1;
  /// Calls of each request to the last service; its work there is divided among
  /// them.
  int LastServiceCalls = 1;
  /// Fraction of the requests on a route that ends at the second service.
  double ShortRouteFraction = 0;
  /// Additional factor applied to the demand of the last workspace.
  double LastWorkspaceFactor = 1;
  int MaxRetries = 1;
  int RetryAfterMs = 200;
};

/// The overload mechanisms that are enabled.
struct Variant {
  std::string Name;
  /// Adaptive limit instead of a fixed one.
  bool Limit = true;
  /// Fair queue instead of an unbounded FIFO queue, and dropping of calls whose
  /// deadline has expired.
  bool Queue = true;
  /// Admission by levels.
  bool Admission = true;
  /// Adjustment of request ranks by workspace demand.
  bool RankAdjustment = true;
};

/// Requests per second of a workspace and class.
inline double demandOf(const Scenario &Case, bool Triggered,
                       std::size_t Workspace, std::size_t Class) {
  double Demand = kNormalLoad * kCapacity * kWorkspaceShares[Workspace] *
                  kClassShares[Class];
  if (!Triggered)
    return Demand;
  if (Workspace == kWorkspaces - 1)
    Demand *= Case.LastWorkspaceFactor;
  return Demand * Case.DemandFactor;
}

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_SCENARIO_H
