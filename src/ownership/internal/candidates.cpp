#include "ownership/internal/candidates.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace ownership {

namespace {

// Entries that ended this long before the newest one are dropped.
constexpr base::Duration kForget = std::chrono::minutes(2);

std::uint64_t preference(std::uint64_t Subject, const base::InstanceId &Name) {
  return base::combineHashes(Subject, base::stableHash(Name.str()));
}

std::uint64_t subjectOf(const ShardId &Shard) {
  return base::combineHashes(base::stableHash(Shard.DataCentre.str()),
                             Shard.Index);
}

} // namespace

Candidates::Candidates(base::ProcessId Self) : Self(std::move(Self)) {}

void Candidates::set(std::vector<base::ProcessId> Members) {
  std::erase_if(Members, [this](const base::ProcessId &Member) {
    return Member.Instance == Self.Instance;
  });
  Others = std::move(Members);
  for (const base::ProcessId &Other : Others)
    noteSeen(Other);
}

bool Candidates::contains(const base::ProcessId &Process) const {
  return std::find(Others.begin(), Others.end(), Process) != Others.end();
}

void Candidates::noteSeen(const base::ProcessId &Process) {
  base::Incarnation &Latest = Newest[Process.Instance];
  Latest = std::max(Latest, Process.Epoch);
}

bool Candidates::isReplaced(const base::ProcessId &Process) const {
  auto Found = Newest.find(Process.Instance);
  return Found != Newest.end() && Found->second > Process.Epoch;
}

void Candidates::avoid(const base::ProcessId &Process, base::BootTime Until) {
  std::erase_if(Avoided,
                [&](const auto &One) { return One.second + kForget < Until; });
  Avoided[Process] = Until;
}

std::size_t Candidates::rank(const ShardId &Shard) const {
  const std::uint64_t Subject = subjectOf(Shard);
  const std::uint64_t Own = preference(Subject, Self.Instance);
  return std::count_if(Others.begin(), Others.end(),
                       [&](const base::ProcessId &Other) {
                         return preference(Subject, Other.Instance) < Own;
                       });
}

std::optional<base::ProcessId> Candidates::successor(base::BootTime Now) const {
  const std::uint64_t Subject = base::stableHash(Self.Instance.str());
  std::optional<base::ProcessId> Best;
  std::uint64_t BestPreference = 0;
  for (const base::ProcessId &Other : Others) {
    auto Found = Avoided.find(Other);
    if (isReplaced(Other) || (Found != Avoided.end() && Now < Found->second))
      continue;
    const std::uint64_t Value = preference(Subject, Other.Instance);
    if (Best && BestPreference <= Value)
      continue;
    Best = Other;
    BestPreference = Value;
  }
  return Best;
}

} // namespace ownership
