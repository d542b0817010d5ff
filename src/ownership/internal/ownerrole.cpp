#include "ownership/internal/ownerrole.h"

#include <algorithm>
#include <utility>

namespace ownership {

namespace {

constexpr base::Duration kPingInterval = std::chrono::seconds(1);

// A successor that has not acknowledged for this long is replaced. Short enough
// that the renewal is read back from the log before the last acknowledgement
// expires.
constexpr base::Duration kSuccessorSilence = std::chrono::milliseconds(2500);

// Time that a new successor has to read the claim that names it from the log.
constexpr base::Duration kSuccessorGrace = std::chrono::seconds(6);

// The last acknowledgement to the old owner precedes the append of the claim,
// and so also its read-back. A delay counted from the read-back therefore
// covers both.
base::BootTime validFrom(const ShardEntry &Entry, base::BootTime ReadBack) {
  if (Entry.TermBasis == ClaimBasis::Initial ||
      Entry.TermBasis == ClaimBasis::Released)
    return ReadBack;
  return ReadBack + kTakeoverDelay;
}

} // namespace

OwnerRole::OwnerRole(const base::Clock &Clock, base::ProcessId Self)
    : Clock(Clock), Self(std::move(Self)) {}

void OwnerRole::update(const ShardId &Shard, const ShardEntry *Entry) {
  if (!Entry || Entry->Owner != Self) {
    Owned.erase(Shard);
    return;
  }
  const base::BootTime Now = Clock.now();
  auto Found = Owned.find(Shard);
  if (Found != Owned.end() && Found->second.Version == Entry->Version)
    return;
  if (Found == Owned.end() || Found->second.Term != Entry->Term) {
    OwnedShard Added;
    Added.Term = Entry->Term;
    Added.ValidFrom = validFrom(*Entry, Now);
    Added.WallValidFrom =
        Clock.wallNow() +
        std::chrono::ceil<base::WallTime::duration>(Added.ValidFrom - Now);
    Found = Owned.insert_or_assign(Shard, Added).first;
  }
  Found->second.Version = Entry->Version;
  Found->second.Successor = Entry->Successor;
  Found->second.VersionReadAt = Now;
  Found->second.RenewalPending = false;
  NextPing = Now;
}

void OwnerRole::onLogRead(base::BootTime SentAt) {
  if (!LogReadSentAt || *LogReadSentAt < SentAt)
    LogReadSentAt = SentAt;
  if (ResumedAt && SentAt >= *ResumedAt)
    ResumedAt.reset();
}

// After a pause as long as the validity, another process may be running at this
// address, and the successor may not know of it yet. Only a log read that began
// after the pause shows that this process is still the owner.
void OwnerRole::onPause(base::BootTime Now) { ResumedAt = Now; }

void OwnerRole::onAck(const SuccessorAck &Ack, base::BootTime Now) {
  if (Ack.To != Self || ResumedAt)
    return;
  auto Ping = std::find_if(
      SentPings.begin(), SentPings.end(), [&](const SentPing &Each) {
        return Each.Sequence == Ack.Sequence && Each.To == Ack.From;
      });
  if (Ping == SentPings.end() || Ping->SentAt + kOwnershipValidity <= Now)
    return;
  for (const ShardVersion &Acknowledged : Ack.Shards) {
    auto Found = Owned.find(Acknowledged.Shard);
    if (Found == Owned.end())
      continue;
    OwnedShard &Entry = Found->second;
    if (Entry.Version != Acknowledged.Version || Entry.Successor != Ack.From ||
        Entry.RenewalPending)
      continue;
    if (!Entry.AckedPingSentAt || *Entry.AckedPingSentAt < Ping->SentAt)
      Entry.AckedPingSentAt = Ping->SentAt;
  }
}

std::optional<ValidOwnership>
OwnerRole::validOwnership(const ShardId &Shard, base::BootTime Now) const {
  auto Found = Owned.find(Shard);
  if (Found == Owned.end() || Now < Found->second.ValidFrom)
    return std::nullopt;
  const OwnedShard &Entry = Found->second;
  const bool ByLog = LogReadSentAt && Now < *LogReadSentAt + kOwnershipValidity;
  const bool BySuccessor = Entry.AckedPingSentAt &&
                           Now < *Entry.AckedPingSentAt + kOwnershipValidity;
  if (!ByLog && !BySuccessor)
    return std::nullopt;
  return ValidOwnership{Entry.Term, Entry.ValidFrom, Entry.WallValidFrom};
}

std::vector<SuccessorPing> OwnerRole::duePings(base::BootTime Now) {
  if (Now < NextPing)
    return {};
  NextPing = Now + kPingInterval;
  while (!SentPings.empty() &&
         SentPings.front().SentAt + kOwnershipValidity <= Now)
    SentPings.pop_front();
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
    SentPings.push_back({Ping.Sequence, Now, To});
    Result.push_back(std::move(Ping));
  }
  return Result;
}

bool OwnerRole::isSuccessorSilent(const OwnedShard &Entry,
                                  base::BootTime Now) const {
  const base::BootTime LastContact =
      Entry.AckedPingSentAt.value_or(Entry.VersionReadAt);
  return Now >= LastContact + kSuccessorSilence &&
         Now >= Entry.VersionReadAt + kSuccessorGrace;
}

std::vector<ShardId>
OwnerRole::shardsNeedingSuccessor(base::BootTime Now,
                                  const CandidateList &Candidates) const {
  std::vector<ShardId> Result;
  for (const auto &[Shard, Entry] : Owned) {
    if (!Entry.Successor || !Candidates.contains(*Entry.Successor) ||
        isSuccessorSilent(Entry, Now))
      Result.push_back(Shard);
  }
  return Result;
}

ClaimedShard OwnerRole::beginRenewal(const ShardId &Shard) {
  OwnedShard &Entry = Owned.at(Shard);
  Entry.RenewalPending = true;
  return {Shard, ClaimBasis::Renew, Entry.Version};
}

bool OwnerRole::needsLogRead(base::BootTime Now,
                             const CandidateList &Candidates) const {
  if (ResumedAt)
    return true;
  for (const auto &[Shard, Entry] : Owned) {
    // After 1.5 intervals, the ping that followed the acknowledged one has been
    // unanswered for half an interval.
    if (!Entry.Successor || !Entry.AckedPingSentAt || Entry.RenewalPending ||
        Now >= *Entry.AckedPingSentAt + kPingInterval * 3 / 2 ||
        !Candidates.contains(*Entry.Successor))
      return true;
  }
  return false;
}

} // namespace ownership
