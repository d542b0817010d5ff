#include "ownership/internal/candidatelist.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace ownership {

namespace {

// Avoidance entries whose end lies this far before a newly set one are removed.
constexpr base::Duration kAvoidanceRetention = std::chrono::minutes(2);

std::uint64_t score(std::uint64_t Hash, const base::InstanceId &Name) {
  return base::combineHashes(Hash, base::stableHash(Name.str()));
}

std::uint64_t hashOf(const ShardId &Shard) {
  return base::combineHashes(base::stableHash(Shard.DataCentre.str()),
                             Shard.Index);
}

} // namespace

CandidateList::CandidateList(base::ProcessId Self) : Self(std::move(Self)) {}

void CandidateList::assign(std::vector<base::ProcessId> Candidates) {
  std::erase_if(Candidates, [this](const base::ProcessId &Candidate) {
    return Candidate.Instance == Self.Instance;
  });
  Others = std::move(Candidates);
  for (const base::ProcessId &Other : Others)
    recordIncarnation(Other);
}

bool CandidateList::contains(const base::ProcessId &Process) const {
  return std::find(Others.begin(), Others.end(), Process) != Others.end();
}

void CandidateList::recordIncarnation(const base::ProcessId &Process) {
  base::Incarnation &Latest = NewestIncarnation[Process.Instance];
  Latest = std::max(Latest, Process.Incarnation);
}

bool CandidateList::isReplaced(const base::ProcessId &Process) const {
  auto Found = NewestIncarnation.find(Process.Instance);
  return Found != NewestIncarnation.end() &&
         Found->second > Process.Incarnation;
}

void CandidateList::avoid(const base::ProcessId &Process,
                          base::BootTime Until) {
  std::erase_if(AvoidedUntil, [&](const auto &Entry) {
    return Entry.second + kAvoidanceRetention < Until;
  });
  AvoidedUntil[Process] = Until;
}

std::size_t CandidateList::rank(const ShardId &Shard) const {
  const std::uint64_t Hash = hashOf(Shard);
  const std::uint64_t OwnScore = score(Hash, Self.Instance);
  return std::count_if(Others.begin(), Others.end(),
                       [&](const base::ProcessId &Other) {
                         return score(Hash, Other.Instance) < OwnScore;
                       });
}

std::optional<base::ProcessId>
CandidateList::successor(base::BootTime Now) const {
  const std::uint64_t Hash = base::stableHash(Self.Instance.str());
  std::optional<base::ProcessId> Best;
  std::uint64_t BestScore = 0;
  for (const base::ProcessId &Other : Others) {
    auto Found = AvoidedUntil.find(Other);
    if (isReplaced(Other) ||
        (Found != AvoidedUntil.end() && Now < Found->second))
      continue;
    const std::uint64_t Score = score(Hash, Other.Instance);
    if (Best && BestScore <= Score)
      continue;
    Best = Other;
    BestScore = Score;
  }
  return Best;
}

} // namespace ownership
