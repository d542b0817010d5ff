#include "metrics.h"

#include <algorithm>
#include <numeric>

namespace bench {

namespace {

constexpr std::size_t kBinsPerSecond = 10;
constexpr double kRecoveredGoodputFraction = 0.9;

/// Max-min fairness: the highest cap for which the capped demands add up to no
/// more than `Capacity`.
double fairCap(std::vector<double> Demands, double Capacity) {
  std::sort(Demands.begin(), Demands.end());
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const double Cap = Capacity / double(Demands.size() - Index);
    if (Demands[Index] > Cap)
      return Cap;
    Capacity -= Demands[Index];
  }
  // All demands fit, so the highest one is a sufficient cap.
  return Demands.back();
}

double mean(const std::vector<double> &Bins, std::size_t From, std::size_t To) {
  return std::accumulate(Bins.begin() + From, Bins.begin() + To, 0.0) /
         double(To - From);
}

std::optional<double> recoverySeconds(const std::vector<double> &GoodputBins) {
  constexpr std::size_t TriggerStartBin = kTriggerStartMs / 100;
  constexpr std::size_t TriggerEndBin = kTriggerEndMs / 100;
  // Relative to the mean of the last 3 s before the trigger.
  const double RecoveredGoodput =
      kRecoveredGoodputFraction *
      mean(GoodputBins, TriggerStartBin - 3 * kBinsPerSecond, TriggerStartBin);
  // A recovery in the last 2 s isn't detected: the last second is left out, and
  // the first mean needs a whole second.
  for (std::size_t Bin = TriggerEndBin;
       Bin + 2 * kBinsPerSecond < GoodputBins.size(); ++Bin) {
    // The last second is left out because requests that start in it may not
    // complete before the run ends.
    const std::size_t CountedEnd = GoodputBins.size() - kBinsPerSecond;
    if (mean(GoodputBins, Bin, Bin + kBinsPerSecond) >= RecoveredGoodput &&
        mean(GoodputBins, Bin, CountedEnd) >= RecoveredGoodput)
      return double(Bin - TriggerEndBin) / kBinsPerSecond;
  }
  return std::nullopt;
}

} // namespace

PerWorkspaceAndClass fairShares(const Scenario &Case) {
  PerWorkspaceAndClass Shares{};
  double RemainingCapacity = kCapacity / Case.LastServiceSlowdown;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
    std::vector<double> Demands;
    for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace)
      Demands.push_back((1 - Case.ShortRouteFraction) *
                        demandOf(Case, true, Workspace, Class));
    const double Cap = fairCap(Demands, RemainingCapacity);
    for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace) {
      Shares[Workspace][Class] = std::min(Demands[Workspace], Cap);
      RemainingCapacity -= Shares[Workspace][Class];
      Shares[Workspace][Class] +=
          Case.ShortRouteFraction * demandOf(Case, true, Workspace, Class);
    }
    RemainingCapacity = std::max(RemainingCapacity, 0.0);
  }
  return Shares;
}

Figures evaluate(const Scenario &Case, const Observations &Observed) {
  const PerWorkspaceAndClass ShareRates = fairShares(Case);
  const double Seconds =
      (kTriggerEndMs - kRequestTimeoutMs - kTriggerStartMs) / 1000.0;
  Figures Result;
  // Starts above the lowest ratio: a workspace that gets its fair share has 1.
  Result.LowestWorkspaceGoodput = 2;
  double TotalAllowed = 0;
  double TotalCompleted = 0;
  double TotalLostWithinShare = 0;
  std::array<double, base::kPriorityClassCount> Offered{};
  for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace) {
    double WorkspaceAllowed = 0;
    double WorkspaceCompleted = 0;
    for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
      const double Completed = Observed.Completed[Workspace][Class];
      const double Lost = Observed.Lost[Workspace][Class];
      // Random arrivals may be fewer than the nominal demand.
      const double AllowedRequests =
          std::min(ShareRates[Workspace][Class] * Seconds, Completed + Lost);
      WorkspaceAllowed += AllowedRequests;
      WorkspaceCompleted += Completed;
      TotalLostWithinShare += std::max(0.0, AllowedRequests - Completed);
      Offered[Class] += Completed + Lost;
      // A number of requests here; divided by those offered below.
      Result.LostOfClass[Class] += Lost;
    }
    Result.LowestWorkspaceGoodput = std::min(
        Result.LowestWorkspaceGoodput, WorkspaceCompleted / WorkspaceAllowed);
    TotalAllowed += WorkspaceAllowed;
    TotalCompleted += WorkspaceCompleted;
  }
  Result.RelativeGoodput = TotalCompleted / TotalAllowed;
  Result.LostWithinShare = TotalLostWithinShare / TotalAllowed;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class)
    Result.LostOfClass[Class] /= Offered[Class];
  Result.RecoverySeconds = recoverySeconds(Observed.GoodputBins);
  return Result;
}

} // namespace bench
