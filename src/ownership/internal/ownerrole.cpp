#include "ownership/internal/ownerrole.h"

#include <algorithm>
#include <utility>

namespace ownership {

namespace {

constexpr base::Duration kPingInterval = std::chrono::seconds(1);

// A successor that is silent this long is replaced. Short enough that the
// renewal is read back before the last acknowledgement expires.
constexpr base::Duration kSuccessorSilence = std::chrono::milliseconds(2500);

// Time for a new successor to learn of its claim from the log.
constexpr base::Duration kSuccessorGrace = std::chrono::seconds(6);

// The read-back is later than the last acknowledgement to the old owner, as
// those end before the claim is appended; so the delay counts from it alone.
base::BootTime startOf(const ShardEntry &Entry, base::BootTime ReadBack) {
  if (Entry.TermBasis == ClaimBasis::Initial ||
      Entry.TermBasis == ClaimBasis::Released)
    return ReadBack;
  return ReadBack + kTakeoverDelay;
}

} // namespace

OwnerRole::OwnerRole(const base::Clock &Time, base::ProcessId Self)
    : Time(Time), Self(std::move(Self)) {}

void OwnerRole::update(const ShardId &Shard, const ShardEntry *Entry) {
  if (!Entry || Entry->Owner != Self) {
    Owned.erase(Shard);
    return;
  }
  const base::BootTime Now = Time.now();
  auto Found = Owned.find(Shard);
  if (Found != Owned.end() && Found->second.Version == Entry->Version)
    return;
  if (Found == Owned.end() || Found->second.Term != Entry->Term) {
    OwnedShard Fresh;
    Fresh.Term = Entry->Term;
    Fresh.Start = startOf(*Entry, Now);
    Fresh.WallStart =
        Time.wallNow() +
        std::chrono::ceil<base::WallTime::duration>(Fresh.Start - Now);
    Found = Owned.insert_or_assign(Shard, Fresh).first;
  }
  Found->second.Version = Entry->Version;
  Found->second.Successor = Entry->Successor;
  Found->second.VersionReadAt = Now;
  Found->second.Renewing = false;
  NextPing = Now;
}

void OwnerRole::noteLogRead(base::BootTime SentAt) {
  if (!LogReadSentAt || *LogReadSentAt < SentAt)
    LogReadSentAt = SentAt;
  if (PausedUntil && SentAt >= *PausedUntil)
    PausedUntil.reset();
}

// After a pause as long as the validity, another process may run at this
// address, and the successor may not have heard of it yet. Only a log read that
// began after the pause shows that this process is still the owner.
void OwnerRole::notePause(base::BootTime Now) { PausedUntil = Now; }

void OwnerRole::acknowledged(const SuccessorAck &Ack, base::BootTime Now) {
  if (Ack.To != Self || PausedUntil)
    return;
  auto Ping = std::find_if(Sent.begin(), Sent.end(), [&](const SentPing &One) {
    return One.Sequence == Ack.Sequence && One.To == Ack.From;
  });
  if (Ping == Sent.end() || Ping->SentAt + kOwnershipValidity <= Now)
    return;
  for (const ShardVersion &Acked : Ack.Shards) {
    auto Found = Owned.find(Acked.Shard);
    if (Found == Owned.end())
      continue;
    OwnedShard &Entry = Found->second;
    if (Entry.Version != Acked.Version || Entry.Successor != Ack.From ||
        Entry.Renewing)
      continue;
    if (!Entry.AckedPingSentAt || *Entry.AckedPingSentAt < Ping->SentAt)
      Entry.AckedPingSentAt = Ping->SentAt;
  }
}

std::optional<ValidOwnership> OwnerRole::valid(const ShardId &Shard,
                                               base::BootTime Now) const {
  auto Found = Owned.find(Shard);
  if (Found == Owned.end() || Now < Found->second.Start)
    return std::nullopt;
  const OwnedShard &Entry = Found->second;
  const bool ByLog = LogReadSentAt && Now < *LogReadSentAt + kOwnershipValidity;
  const bool BySuccessor = Entry.AckedPingSentAt &&
                           Now < *Entry.AckedPingSentAt + kOwnershipValidity;
  if (!ByLog && !BySuccessor)
    return std::nullopt;
  return ValidOwnership{Entry.Term, Entry.Start, Entry.WallStart};
}

std::vector<SuccessorPing> OwnerRole::pings(base::BootTime Now) {
  if (Now < NextPing)
    return {};
  NextPing = Now + kPingInterval;
  while (!Sent.empty() && Sent.front().SentAt + kOwnershipValidity <= Now)
    Sent.pop_front();
  std::map<base::ProcessId, SuccessorPing> BySuccessor;
  for (const auto &[Shard, Entry] : Owned) {
    if (!Entry.Successor)
      continue;
    BySuccessor[*Entry.Successor].Shards.push_back({Shard, Entry.Version});
  }
  std::vector<SuccessorPing> Result;
  for (auto &[To, Ping] : BySuccessor) {
    Ping.From = Self;
    Ping.To = To;
    Ping.Sequence = ++LastSequence;
    Sent.push_back({Ping.Sequence, Now, To});
    Result.push_back(std::move(Ping));
  }
  return Result;
}

bool OwnerRole::isSilent(const OwnedShard &Entry, base::BootTime Now) const {
  const base::BootTime Heard =
      Entry.AckedPingSentAt.value_or(Entry.VersionReadAt);
  return Now >= Heard + kSuccessorSilence &&
         Now >= Entry.VersionReadAt + kSuccessorGrace;
}

std::vector<ShardId>
OwnerRole::inNeedOfSuccessor(base::BootTime Now,
                             const Candidates &Members) const {
  std::vector<ShardId> Result;
  for (const auto &[Shard, Entry] : Owned) {
    if (!Entry.Successor || !Members.contains(*Entry.Successor) ||
        isSilent(Entry, Now))
      Result.push_back(Shard);
  }
  return Result;
}

ClaimedShard OwnerRole::beginRenewal(const ShardId &Shard) {
  OwnedShard &Entry = Owned.at(Shard);
  Entry.Renewing = true;
  return {Shard, ClaimBasis::Renew, Entry.Version};
}

bool OwnerRole::needsLogRead(base::BootTime Now,
                             const Candidates &Members) const {
  if (PausedUntil)
    return true;
  for (const auto &[Shard, Entry] : Owned) {
    if (!Entry.Successor || !Entry.AckedPingSentAt || Entry.Renewing ||
        Now >= *Entry.AckedPingSentAt + kPingInterval * 3 / 2 ||
        !Members.contains(*Entry.Successor))
      return true;
  }
  return false;
}

} // namespace ownership
