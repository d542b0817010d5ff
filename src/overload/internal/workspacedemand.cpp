#include "overload/workspacedemand.h"

#include <algorithm>
#include <cmath>

namespace overload {

namespace {

constexpr std::chrono::milliseconds kDecayInterval{100};

/// Time after which the weight of an attempt has fallen to 1/e.
constexpr double kDecayTimeConstantSeconds = 2;

/// Workspaces with demand below this are removed.
constexpr double kNegligibleDemand = 0.01;

} // namespace

WorkspaceDemand::WorkspaceDemand(const base::Clock &Clock)
    : Clock(Clock), DecayedAt(Clock.now()) {}

void WorkspaceDemand::setWeight(const base::WorkspaceName &Workspace,
                                std::uint32_t Weight) {
  Weights[Workspace] = std::max<std::uint32_t>(Weight, 1);
}

std::uint8_t WorkspaceDemand::adjustedRank(const base::WorkspaceName &Workspace,
                                           base::PriorityClass Class,
                                           std::uint8_t Rank) {
  if (Clock.now() - DecayedAt >= kDecayInterval)
    decay();
  const auto Index = static_cast<std::size_t>(Class);
  double &Demand = Demands[Workspace][Index];
  Demand += 1 / weightOf(Workspace);
  LargestDemands[Index] = std::max(LargestDemands[Index], Demand);
  return static_cast<std::uint8_t>(Rank * Demand / LargestDemands[Index]);
}

void WorkspaceDemand::decay() {
  const base::BootTime Now = Clock.now();
  const double Elapsed = std::chrono::duration<double>(Now - DecayedAt).count();
  const double Factor = std::exp(-Elapsed / kDecayTimeConstantSeconds);
  DecayedAt = Now;
  LargestDemands = {};
  for (auto &[Workspace, Demand] : Demands) {
    for (std::size_t Class = 0; Class < Demand.size(); ++Class) {
      Demand[Class] *= Factor;
      LargestDemands[Class] = std::max(LargestDemands[Class], Demand[Class]);
    }
  }
  std::erase_if(Demands, [](const auto &Item) {
    return std::all_of(
        Item.second.begin(), Item.second.end(),
        [](double Demand) { return Demand < kNegligibleDemand; });
  });
}

double WorkspaceDemand::weightOf(const base::WorkspaceName &Workspace) const {
  const auto Found = Weights.find(Workspace);
  return Found == Weights.end() ? 1 : Found->second;
}

} // namespace overload
