#ifndef JACKDAW_OWNERSHIP_INTERNAL_CANDIDATELIST_H
#define JACKDAW_OWNERSHIP_INTERNAL_CANDIDATELIST_H

#include "ownership/types.h"

#include <map>
#include <optional>
#include <vector>

namespace ownership {

/// The other processes of the data centre that may own shards.
class CandidateList {
public:
  explicit CandidateList(base::ProcessId Self);

  void assign(std::vector<base::ProcessId> Candidates);

  bool contains(const base::ProcessId &Process) const;

  /// Records that a process with this incarnation exists.
  void recordIncarnation(const base::ProcessId &Process);

  /// Whether a process with a newer incarnation on the same instance was seen.
  bool isReplaced(const base::ProcessId &Process) const;

  /// Excludes a process from being chosen as successor until `Until`.
  void avoid(const base::ProcessId &Process, base::BootTime Until);

  /// Number of candidates that the rendezvous hash prefers to this process as
  /// owner of `Shard`.
  std::size_t rank(const ShardId &Shard) const;

  /// The process to name as successor, or an empty optional if there is none.
  /// It is the same for all shards of this process, so that one record and one
  /// ping cover all of them.
  std::optional<base::ProcessId> successor(base::BootTime Now) const;

private:
  const base::ProcessId Self;
  std::vector<base::ProcessId> Others;
  std::map<base::InstanceId, base::Incarnation> NewestIncarnation;
  std::map<base::ProcessId, base::BootTime> AvoidedUntil;
};

} // namespace ownership

#endif // JACKDAW_OWNERSHIP_INTERNAL_CANDIDATELIST_H
