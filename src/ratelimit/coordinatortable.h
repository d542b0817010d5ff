#ifndef JACKDAW_RATELIMIT_COORDINATORTABLE_H
#define JACKDAW_RATELIMIT_COORDINATORTABLE_H

#include "base/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ratelimit {

/// Number of groups into which workspaces are divided. The workspaces of a
/// group have the same limit coordinator, so the cost of selecting coordinators
/// doesn't grow with the number of workspaces.
inline constexpr std::size_t kLimitGroups = 64;

/// A daemon that may be selected as limit coordinator.
struct CoordinatorCandidate {
  base::ProcessId Process;
  base::Endpoint Peer;

  friend bool operator==(const CoordinatorCandidate &,
                         const CoordinatorCandidate &) = default;
};

/// Selects one limit coordinator for each group of workspaces, by a rendezvous
/// hash over the reachable daemons. All daemons that know the same reachable
/// daemons select the same coordinators. Only the groups of a daemon that
/// appears or disappears get another coordinator.
class CoordinatorTable {
public:
  /// Adds a reachable daemon, or replaces its earlier process. Costs one
  /// comparison for each group.
  void add(const CoordinatorCandidate &Candidate);

  /// Removes a daemon that is not reachable; does nothing if it isn't in the
  /// table. Costs one pass over all candidates for each group that it
  /// coordinated.
  void remove(const base::InstanceId &Instance);

  /// Number of reachable daemons.
  std::size_t size() const { return Candidates.size(); }

  /// The group of a workspace, below `kLimitGroups`; the same in every process
  /// and version.
  static std::size_t groupOf(const base::WorkspaceName &Workspace);

  /// The coordinator of a group; null if no daemon is reachable. Valid until
  /// the next change.
  const CoordinatorCandidate *coordinatorOf(std::size_t Group) const;

  /// Groups whose coordinator, or its process, has changed since the last call,
  /// in ascending order.
  std::vector<std::size_t> takeChanges();

private:
  struct Entry {
    CoordinatorCandidate Candidate;
    std::uint64_t NameHash = 0;
  };
  struct Group {
    /// Empty if there is no coordinator.
    base::InstanceId Coordinator;
    std::uint64_t Score = 0;
    bool Changed = false;
  };

  void select(std::size_t Index);
  /// Whether a candidate with this score precedes the group's coordinator.
  static bool precedes(std::uint64_t Score, const base::InstanceId &Instance,
                       const Group &Current);

  std::unordered_map<base::InstanceId, Entry> Candidates;
  std::array<Group, kLimitGroups> Groups;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_COORDINATORTABLE_H
