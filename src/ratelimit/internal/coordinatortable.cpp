#include "ratelimit/coordinatortable.h"

#include "base/hash.h"

namespace ratelimit {

namespace {

std::uint64_t rendezvousScore(std::size_t Group, std::uint64_t NameHash) {
  return base::combineHashes(Group, NameHash);
}

} // namespace

std::size_t CoordinatorTable::groupOf(const base::WorkspaceName &Workspace) {
  return base::stableHash(Workspace.str()) % kLimitGroups;
}

bool CoordinatorTable::precedes(std::uint64_t Score,
                                const base::InstanceId &Instance,
                                const Group &Current) {
  if (Current.Coordinator.empty() || Score != Current.Score)
    return Current.Coordinator.empty() || Score > Current.Score;
  return Instance < Current.Coordinator;
}

void CoordinatorTable::add(const CoordinatorCandidate &Candidate) {
  const base::InstanceId &Instance = Candidate.Process.Instance;
  const auto [Found, IsNew] = Candidates.try_emplace(Instance);
  Entry &Added = Found->second;
  if (!IsNew && Added.Candidate == Candidate)
    return;
  Added.Candidate = Candidate;
  Added.NameHash = base::stableHash(Instance.str());
  for (std::size_t Index = 0; Index < kLimitGroups; ++Index) {
    Group &Current = Groups[Index];
    if (Current.Coordinator == Instance) {
      Current.Changed = true;
      continue;
    }
    const std::uint64_t Score = rendezvousScore(Index, Added.NameHash);
    if (precedes(Score, Instance, Current))
      Current = {Instance, Score, true};
  }
}

void CoordinatorTable::remove(const base::InstanceId &Instance) {
  if (Candidates.erase(Instance) == 0)
    return;
  for (std::size_t Index = 0; Index < kLimitGroups; ++Index)
    if (Groups[Index].Coordinator == Instance)
      select(Index);
}

void CoordinatorTable::select(std::size_t Index) {
  Group Best;
  Best.Changed = true;
  for (const auto &[Instance, Each] : Candidates) {
    const std::uint64_t Score = rendezvousScore(Index, Each.NameHash);
    if (precedes(Score, Instance, Best))
      Best = {Instance, Score, true};
  }
  Groups[Index] = Best;
}

const CoordinatorCandidate *
CoordinatorTable::coordinatorOf(std::size_t Group) const {
  const auto Found = Candidates.find(Groups[Group].Coordinator);
  return Found == Candidates.end() ? nullptr : &Found->second.Candidate;
}

std::vector<std::size_t> CoordinatorTable::takeChanges() {
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < kLimitGroups; ++Index) {
    if (!Groups[Index].Changed)
      continue;
    Groups[Index].Changed = false;
    Result.push_back(Index);
  }
  return Result;
}

} // namespace ratelimit
