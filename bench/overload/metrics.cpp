#include "metrics.h"

#include <algorithm>
#include <numeric>

namespace bench {

namespace {

constexpr std::size_t kBinsPerSecond = 10;
constexpr double kRecoveredGoodputShare = 0.9;

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
  return Demands.back();
}

double mean(const std::vector<double> &Bins, std::size_t From, std::size_t To) {
  return std::accumulate(Bins.begin() + From, Bins.begin() + To, 0.0) /
         double(To - From);
}

std::optional<double> recoverySeconds(const std::vector<double> &Goodput) {
  constexpr std::size_t Start = kTriggerStartMs / 100;
  constexpr std::size_t End = kTriggerEndMs / 100;
  const double RecoveredGoodput =
      kRecoveredGoodputShare * mean(Goodput, Start - 3 * kBinsPerSecond, Start);
  for (std::size_t Bin = End; Bin + 2 * kBinsPerSecond < Goodput.size();
       ++Bin) {
    // The last second is left out because requests that start in it may not
    // complete before the run ends.
    const std::size_t Last = Goodput.size() - kBinsPerSecond;
    if (mean(Goodput, Bin, Bin + kBinsPerSecond) >= RecoveredGoodput &&
        mean(Goodput, Bin, Last) >= RecoveredGoodput)
      return double(Bin - End) / kBinsPerSecond;
  }
  return std::nullopt;
}

} // namespace

Counts fairShares(const Scenario &Case) {
  Counts Shares{};
  double RemainingCapacity = kCapacity / Case.DeepSlowdown;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
    std::vector<double> Demands;
    for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace)
      Demands.push_back((1 - Case.ShortShare) *
                        demandOf(Case, true, Workspace, Class));
    const double Cap = fairCap(Demands, RemainingCapacity);
    for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace) {
      Shares[Workspace][Class] = std::min(Demands[Workspace], Cap);
      RemainingCapacity -= Shares[Workspace][Class];
      Shares[Workspace][Class] +=
          Case.ShortShare * demandOf(Case, true, Workspace, Class);
    }
    RemainingCapacity = std::max(RemainingCapacity, 0.0);
  }
  return Shares;
}

Figures evaluate(const Scenario &Case, const Observations &Observed) {
  const Counts Shares = fairShares(Case);
  const double Seconds =
      (kTriggerEndMs - kRequestTimeoutMs - kTriggerStartMs) / 1000.0;
  Figures Result;
  Result.WorstWorkspace = 2;
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
      const double Share =
          std::min(Shares[Workspace][Class] * Seconds, Completed + Lost);
      WorkspaceAllowed += Share;
      WorkspaceCompleted += Completed;
      TotalLostWithinShare += std::max(0.0, Share - Completed);
      Offered[Class] += Completed + Lost;
      Result.LostOfClass[Class] += Lost;
    }
    Result.WorstWorkspace =
        std::min(Result.WorstWorkspace, WorkspaceCompleted / WorkspaceAllowed);
    TotalAllowed += WorkspaceAllowed;
    TotalCompleted += WorkspaceCompleted;
  }
  Result.Goodput = TotalCompleted / TotalAllowed;
  Result.LostWithinShare = TotalLostWithinShare / TotalAllowed;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class)
    Result.LostOfClass[Class] /= Offered[Class];
  Result.RecoverySeconds = recoverySeconds(Observed.Goodput);
  return Result;
}

} // namespace bench
