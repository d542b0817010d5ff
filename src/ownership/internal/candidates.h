#ifndef JACKDAW_OWNERSHIP_INTERNAL_CANDIDATES_H
#define JACKDAW_OWNERSHIP_INTERNAL_CANDIDATES_H

#include "ownership/types.h"

#include <map>
#include <optional>
#include <vector>

namespace ownership {

/// The other processes of the data centre that may own shards.
class Candidates {
public:
  explicit Candidates(base::ProcessId Self);

  void set(std::vector<base::ProcessId> Members);

  bool contains(const base::ProcessId &Process) const;

  /// Records that a process of this incarnation exists.
  void noteSeen(const base::ProcessId &Process);

  /// Whether a process with a newer incarnation on the same instance was seen.
  bool isReplaced(const base::ProcessId &Process) const;

  /// Keeps a process from being chosen as successor until `Until`.
  void avoid(const base::ProcessId &Process, base::BootTime Until);

  /// Number of candidates that are preferred to this process as owner of
  /// `Shard` (rendezvous hash).
  std::size_t rank(const ShardId &Shard) const;

  /// The process that this one names as successor; the same for all its
  /// shards, so that one record and one ping cover them.
  std::optional<base::ProcessId> successor(base::BootTime Now) const;

private:
  const base::ProcessId Self;
  std::vector<base::ProcessId> Others;
  std::map<base::InstanceId, base::Incarnation> Newest;
  std::map<base::ProcessId, base::BootTime> Avoided;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_CANDIDATES_H
