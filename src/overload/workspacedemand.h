#ifndef JACKDAW_OVERLOAD_WORKSPACEDEMAND_H
#define JACKDAW_OVERLOAD_WORKSPACEDEMAND_H

#include "base/clock.h"
#include "base/types.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace overload {

/// Adjusts request ranks at the entry by the recent demand of workspaces.
///
/// The rank of a request is multiplied by the demand of its workspace relative
/// to the largest demand in its class. A threshold then limits all workspaces
/// to the same admitted rate and does not affect those with less demand
/// (max-min fairness). The adjusted rank is carried by the call, so that all
/// hops admit the same requests. Every attempt counts, so a workspace gains
/// nothing from repeating refused requests.
class WorkspaceDemand {
public:
  explicit WorkspaceDemand(const base::Clock &Clock);

  /// Sets the share of a workspace relative to others; 1 if not set.
  void setWeight(const base::WorkspaceName &Workspace, std::uint32_t Weight);

  /// Counts an attempt at the entry and returns its adjusted rank.
  std::uint8_t adjustedRank(const base::WorkspaceName &Workspace,
                            base::PriorityClass Class, std::uint8_t Rank);

private:
  using ByClass = std::array<double, base::kPriorityClassCount>;

  void decay();
  double weightOf(const base::WorkspaceName &Workspace) const;

  const base::Clock &Clock;
  /// Decaying number of attempts divided by weight.
  std::unordered_map<base::WorkspaceName, ByClass> Demands;
  std::unordered_map<base::WorkspaceName, std::uint32_t> Weights;
  ByClass LargestDemands{};
  base::BootTime DecayedAt;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_WORKSPACEDEMAND_H
