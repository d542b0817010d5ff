#include "ownership/internal/successorrole.h"

#include <utility>

namespace ownership {

namespace {

// Time without a ping of the owner after which its successor takes over. Longer
// than the validity, so that the ownership of an owner whose pings are lost has
// usually expired by then.
constexpr base::Duration kTakeoverSilence = std::chrono::seconds(6);

// Time without a ping of the owner after which a log read is requested, since a
// takeover needs a recent one.
constexpr base::Duration kSilenceBeforeLogRead = std::chrono::seconds(4);

} // namespace

SuccessorRole::SuccessorRole(base::ProcessId Self) : Self(std::move(Self)) {}

void SuccessorRole::update(const ShardId &Shard, const ShardEntry *Entry,
                           base::BootTime Now) {
  if (!Entry || !Entry->Owner || Entry->Successor != Self) {
    Entries.erase(Shard);
    return;
  }
  auto Found = Entries.find(Shard);
  if (Found != Entries.end() && Found->second.Version == Entry->Version)
    return;
  Entries.insert_or_assign(
      Shard, WatchedShard{*Entry->Owner, Entry->Version, Now, false});
}

void SuccessorRole::onPause(base::BootTime Now) {
  for (auto &[Shard, Entry] : Entries)
    Entry.LastContactAt = Now;
}

std::optional<SuccessorAck>
SuccessorRole::onPing(const SuccessorPing &Ping,
                      const CandidateList &Candidates, base::BootTime Now) {
  if (Ping.To != Self || Candidates.isReplaced(Ping.From))
    return std::nullopt;
  SuccessorAck Ack{Self, Ping.From, Ping.Sequence, {}};
  for (const ShardVersion &Pinged : Ping.Shards) {
    auto Found = Entries.find(Pinged.Shard);
    if (Found == Entries.end() || Found->second.Owner != Ping.From)
      continue;
    Found->second.LastContactAt = Now;
    if (Found->second.TakingOver || Found->second.Version != Pinged.Version)
      continue;
    Ack.Shards.push_back(Pinged);
  }
  if (Ack.Shards.empty())
    return std::nullopt;
  return Ack;
}

std::vector<ShardId>
SuccessorRole::shardsWithSilentOwner(base::BootTime Now) const {
  std::vector<ShardId> Result;
  for (const auto &[Shard, Entry] : Entries) {
    if (Entry.TakingOver || Now >= Entry.LastContactAt + kTakeoverSilence)
      Result.push_back(Shard);
  }
  return Result;
}

ClaimedShard SuccessorRole::beginTakeover(const ShardId &Shard) {
  WatchedShard &Entry = Entries.at(Shard);
  Entry.TakingOver = true;
  return {Shard, ClaimBasis::Takeover, Entry.Version};
}

bool SuccessorRole::needsLogRead(base::BootTime Now) const {
  for (const auto &[Shard, Entry] : Entries) {
    if (Now >= Entry.LastContactAt + kSilenceBeforeLogRead)
      return true;
  }
  return false;
}

} // namespace ownership
