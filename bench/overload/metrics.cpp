#include "metrics.h"

#include <algorithm>
#include <numeric>

namespace bench {

namespace {

constexpr std::size_t kBinsPerSecond = 10;
constexpr double kRecoveredShare = 0.9;

/// Highest rate that, applied to each demand as a cap, uses no more than
/// `Capacity`.
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

std::optional<double> recovery(const std::vector<double> &Goodput) {
  constexpr std::size_t Start = kTriggerStartMs / 100;
  constexpr std::size_t End = kTriggerEndMs / 100;
  const double Wanted =
      kRecoveredShare * mean(Goodput, Start - 3 * kBinsPerSecond, Start);
  for (std::size_t At = End; At + 2 * kBinsPerSecond < Goodput.size(); ++At) {
    // The last second of the run holds requests that have no time to finish.
    const std::size_t Last = Goodput.size() - kBinsPerSecond;
    if (mean(Goodput, At, At + kBinsPerSecond) >= Wanted &&
        mean(Goodput, At, Last) >= Wanted)
      return double(At - End) / kBinsPerSecond;
  }
  return std::nullopt;
}

} // namespace

Counts fairShares(const Scenario &Case) {
  Counts Shares{};
  double Left = kCapacity / Case.DeepSlowdown;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
    std::vector<double> Demands;
    for (std::size_t Owner = 0; Owner < kWorkspaces; ++Owner)
      Demands.push_back((1 - Case.ShortShare) *
                        demandOf(Case, true, Owner, Class));
    const double Cap = fairCap(Demands, Left);
    for (std::size_t Owner = 0; Owner < kWorkspaces; ++Owner) {
      Shares[Owner][Class] = std::min(Demands[Owner], Cap);
      Left -= Shares[Owner][Class];
      Shares[Owner][Class] +=
          Case.ShortShare * demandOf(Case, true, Owner, Class);
    }
    Left = std::max(Left, 0.0);
  }
  return Shares;
}

Figures evaluate(const Scenario &Case, const Observations &Seen) {
  const Counts Shares = fairShares(Case);
  const double Seconds =
      (kTriggerEndMs - kPatienceMs - kTriggerStartMs) / 1000.0;
  Figures Result;
  Result.WorstWorkspace = 2;
  double Allowed = 0;
  double Done = 0;
  double Missing = 0;
  std::array<double, base::kPriorityClassCount> Offered{};
  for (std::size_t Owner = 0; Owner < kWorkspaces; ++Owner) {
    double OwnerAllowed = 0;
    double OwnerDone = 0;
    for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
      const double Completed = Seen.Completed[Owner][Class];
      const double Lost = Seen.Lost[Owner][Class];
      // Random arrivals may stay below the nominal demand.
      const double Share =
          std::min(Shares[Owner][Class] * Seconds, Completed + Lost);
      OwnerAllowed += Share;
      OwnerDone += Completed;
      Missing += std::max(0.0, Share - Completed);
      Offered[Class] += Completed + Lost;
      Result.LostOfClass[Class] += Lost;
    }
    Result.WorstWorkspace =
        std::min(Result.WorstWorkspace, OwnerDone / OwnerAllowed);
    Allowed += OwnerAllowed;
    Done += OwnerDone;
  }
  Result.Goodput = Done / Allowed;
  Result.LostWithinShare = Missing / Allowed;
  for (std::size_t Class = 0; Class < kClassShares.size(); ++Class)
    Result.LostOfClass[Class] /= Offered[Class];
  Result.RecoverySeconds = recovery(Seen.Goodput);
  return Result;
}

} // namespace bench
