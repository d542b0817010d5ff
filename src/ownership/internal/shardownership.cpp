#include "ownership/shardownership.h"

#include "ownership/internal/candidatelist.h"
#include "ownership/internal/ownerrole.h"
#include "ownership/internal/successorrole.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ownership {

namespace {

// Delay before the first claim, so that the list of candidates is complete and
// the first process of a data centre doesn't claim every shard.
constexpr base::Duration kFirstClaimDelay = std::chrono::seconds(3);

// Additional delay for each preferred candidate that has not claimed an unowned
// shard.
constexpr base::Duration kClaimDelayPerRank = std::chrono::seconds(10);

// A record whose outcome was not read back from the log is appended again after
// this time.
constexpr base::Duration kAppendRetryInterval = std::chrono::seconds(3);

// Claims are made only while the log can be read: acknowledgements stop when a
// claim is made, which is of no use if the claim can't be appended.
constexpr base::Duration kMaxLogReadAge = std::chrono::seconds(3);

constexpr base::Duration kLogReadInterval = std::chrono::seconds(1);

// How long a process that didn't respond is not chosen as successor again.
constexpr base::Duration kAvoidanceTime = std::chrono::seconds(30);

} // namespace

struct ShardOwnership::Implementation {
  Implementation(const base::Clock &Clock, const base::ProcessId &Self)
      : Candidates(Self), Owner(Clock, Self), Successor(Self) {}

  struct PendingRead {
    base::BootTime SentAt;
    base::LogOffset End;
  };

  CandidateList Candidates;
  OwnerRole Owner;
  SuccessorRole Successor;
  std::array<std::optional<base::BootTime>, kShardsPerDataCentre> UnownedSince;
  std::array<std::optional<base::BootTime>, kShardsPerDataCentre> AppendedAt;
  std::array<base::LogOffset, kShardsPerDataCentre> Versions;
  std::optional<PendingRead> Pending;
  base::LogOffset Applied;
  base::BootTime StartedAt;
  base::BootTime LastTick;
  base::BootTime NextLogRead;
  bool Stopping = false;

  bool mayAppend(std::uint16_t Index, base::BootTime Now) const {
    return !AppendedAt[Index] ||
           Now >= *AppendedAt[Index] + kAppendRetryInterval;
  }
};

ShardOwnership::ShardOwnership(const base::Clock &Clock,
                               const OwnershipState &State,
                               base::ProcessId Self,
                               base::DataCentreId DataCentre)
    : Clock(Clock), State(State), Self(std::move(Self)),
      DataCentre(std::move(DataCentre)),
      Impl(std::make_unique<Implementation>(Clock, this->Self)) {
  Impl->StartedAt = Clock.now();
  Impl->LastTick = Impl->StartedAt;
  onRecordsApplied(base::LogOffset());
}

ShardOwnership::~ShardOwnership() = default;

void ShardOwnership::setCandidates(std::vector<base::ProcessId> Candidates) {
  Impl->Candidates.assign(std::move(Candidates));
}

void ShardOwnership::onRecordsApplied(base::LogOffset Applied) {
  const base::BootTime Now = Clock.now();
  Impl->Applied = std::max(Impl->Applied, Applied);
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
    const ShardId Shard{DataCentre, Index};
    const ShardEntry *Entry = State.find(Shard);
    const base::LogOffset Version = Entry ? Entry->Version : base::LogOffset();
    if (Version != Impl->Versions[Index]) {
      Impl->Versions[Index] = Version;
      Impl->AppendedAt[Index].reset();
    }
    if (Entry && Entry->Owner) {
      Impl->Candidates.recordIncarnation(*Entry->Owner);
      Impl->UnownedSince[Index].reset();
    } else if (!Impl->UnownedSince[Index]) {
      Impl->UnownedSince[Index] = Now;
    }
    Impl->Successor.update(Shard, Entry, Now);
    Impl->Owner.update(Shard, Entry);
  }
  applyPendingRead();
}

void ShardOwnership::onLogReadCompleted(base::BootTime SentAt,
                                        base::LogOffset End) {
  if (!Impl->Pending || Impl->Pending->SentAt <= SentAt)
    Impl->Pending = Implementation::PendingRead{SentAt, End};
  applyPendingRead();
}

void ShardOwnership::applyPendingRead() {
  if (!Impl->Pending || Impl->Applied < Impl->Pending->End)
    return;
  Impl->Owner.onLogRead(Impl->Pending->SentAt);
  Impl->Pending.reset();
}

void ShardOwnership::detectPause(base::BootTime Now) {
  if (Now - Impl->LastTick >= kOwnershipValidity) {
    Impl->Owner.onPause(Now);
    Impl->Successor.onPause(Now);
  }
  Impl->LastTick = Now;
}

bool ShardOwnership::isLogReadRecent(base::BootTime Now) const {
  const std::optional<base::BootTime> Last = Impl->Owner.lastLogReadAt();
  return Last && Now < *Last + kMaxLogReadAge;
}

OwnershipActions ShardOwnership::tick() {
  const base::BootTime Now = Clock.now();
  detectPause(Now);
  OwnershipActions Actions;
  if (Impl->Stopping)
    planReleases(Now, Actions);
  else if (isLogReadRecent(Now) && Now >= Impl->StartedAt + kFirstClaimDelay)
    planClaims(Now, Actions);
  if (!Impl->Stopping)
    Actions.Pings = Impl->Owner.duePings(Now);
  if (Now >= Impl->NextLogRead && needsLogRead(Now)) {
    Actions.NeedsLogRead = true;
    Impl->NextLogRead = Now + kLogReadInterval;
  }
  return Actions;
}

std::vector<ClaimedShard>
ShardOwnership::claimableShards(base::BootTime Now) const {
  std::vector<ClaimedShard> Result;
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
    const ShardId Shard{DataCentre, Index};
    const ShardEntry *Entry = State.find(Shard);
    if (Entry && Entry->Owner) {
      if (Entry->Owner->Instance == Self.Instance &&
          Entry->Owner->Incarnation < Self.Incarnation)
        Result.push_back({Shard, ClaimBasis::Replacement, Entry->Version});
      continue;
    }
    const auto Delay = kClaimDelayPerRank * Impl->Candidates.rank(Shard);
    const auto &Since = Impl->UnownedSince[Index];
    if (!Since || Now < *Since + Delay)
      continue;
    Result.push_back({Shard, Entry ? ClaimBasis::Released : ClaimBasis::Initial,
                      Entry ? Entry->Version : base::LogOffset()});
  }
  return Result;
}

void ShardOwnership::planClaims(base::BootTime Now, OwnershipActions &Actions) {
  const auto AppendedRecently = [&](const ShardId &Shard) {
    return !Impl->mayAppend(Shard.Index, Now);
  };
  std::vector<ClaimedShard> Claimed = claimableShards(Now);
  std::erase_if(Claimed, [&](const ClaimedShard &Each) {
    return AppendedRecently(Each.Shard);
  });
  std::vector<ShardId> SilentOwnerShards =
      Impl->Successor.shardsWithSilentOwner(Now);
  std::erase_if(SilentOwnerShards, AppendedRecently);
  for (const ShardId &Shard : SilentOwnerShards) {
    const WatchedShard &Entry = Impl->Successor.entries().at(Shard);
    Impl->Candidates.avoid(Entry.Owner, Now + kAvoidanceTime);
    Claimed.push_back(Impl->Successor.beginTakeover(Shard));
  }
  std::vector<ShardId> NeedSuccessor =
      Impl->Owner.shardsNeedingSuccessor(Now, Impl->Candidates);
  std::erase_if(NeedSuccessor, AppendedRecently);
  for (const ShardId &Shard : NeedSuccessor) {
    const auto &Previous = Impl->Owner.owned().at(Shard).Successor;
    if (Previous)
      Impl->Candidates.avoid(*Previous, Now + kAvoidanceTime);
  }
  const std::optional<base::ProcessId> Successor =
      Impl->Candidates.successor(Now);
  if (Successor) {
    for (const ShardId &Shard : NeedSuccessor)
      Claimed.push_back(Impl->Owner.beginRenewal(Shard));
  }
  if (Claimed.empty())
    return;
  for (const ClaimedShard &Each : Claimed)
    Impl->AppendedAt[Each.Shard.Index] = Now;
  Actions.Claims.push_back({Self, Successor, std::move(Claimed)});
}

void ShardOwnership::planReleases(base::BootTime Now,
                                  OwnershipActions &Actions) {
  OwnershipRelease Release{Self, {}};
  for (const auto &[Shard, Entry] : Impl->Owner.owned()) {
    if (!Impl->mayAppend(Shard.Index, Now))
      continue;
    Impl->AppendedAt[Shard.Index] = Now;
    Release.Shards.push_back(Shard);
  }
  if (!Release.Shards.empty())
    Actions.Releases.push_back(std::move(Release));
}

bool ShardOwnership::needsLogRead(base::BootTime Now) const {
  if (Impl->Stopping)
    return !ownsNoShards();
  return !claimableShards(Now).empty() ||
         Impl->Owner.needsLogRead(Now, Impl->Candidates) ||
         Impl->Successor.needsLogRead(Now);
}

std::optional<SuccessorAck> ShardOwnership::onPing(const SuccessorPing &Ping) {
  Impl->Candidates.recordIncarnation(Ping.From);
  return Impl->Successor.onPing(Ping, Impl->Candidates, Clock.now());
}

void ShardOwnership::onAck(const SuccessorAck &Ack) {
  Impl->Owner.onAck(Ack, Clock.now());
}

std::optional<ValidOwnership>
ShardOwnership::validOwnership(const ShardId &Shard) const {
  if (Impl->Stopping)
    return std::nullopt;
  return Impl->Owner.validOwnership(Shard, Clock.now());
}

void ShardOwnership::stop() {
  Impl->Stopping = true;
  Impl->AppendedAt.fill(std::nullopt);
}

bool ShardOwnership::ownsNoShards() const {
  return Impl->Owner.owned().empty();
}

} // namespace ownership
