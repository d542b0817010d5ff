#include "ownership/shardownership.h"

#include "ownership/internal/candidates.h"
#include "ownership/internal/ownerrole.h"
#include "ownership/internal/successorrole.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ownership {

namespace {

// Wait before the first claim, so that the member list is filled and the first
// process of a data centre doesn't claim every shard.
constexpr base::Duration kClaimSettle = std::chrono::seconds(3);

// Further wait per preferred candidate that has not claimed an unowned shard.
constexpr base::Duration kClaimStagger = std::chrono::seconds(10);

// A record whose verdict was not read back is appended again after this.
constexpr base::Duration kAppendRetry = std::chrono::seconds(3);

// Claims are made only while the log can be read, since a claim that can't be
// appended stops acknowledgements for nothing.
constexpr base::Duration kRecentLogRead = std::chrono::seconds(3);

constexpr base::Duration kLogReadInterval = std::chrono::seconds(1);

// How long a silent process isn't chosen as successor again.
constexpr base::Duration kAvoidSilent = std::chrono::seconds(30);

} // namespace

struct ShardOwnership::Parts {
  Parts(const base::Clock &Time, const base::ProcessId &Self)
      : Members(Self), Owner(Time, Self), Successor(Self) {}

  struct PendingRead {
    base::BootTime SentAt;
    base::LogOffset End;
  };

  Candidates Members;
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
    return !AppendedAt[Index] || Now >= *AppendedAt[Index] + kAppendRetry;
  }
};

ShardOwnership::ShardOwnership(const base::Clock &Time,
                               const OwnershipState &State,
                               base::ProcessId Self,
                               base::DataCentreId DataCentre)
    : Time(Time), State(State), Self(std::move(Self)),
      DataCentre(std::move(DataCentre)),
      Impl(std::make_unique<Parts>(Time, this->Self)) {
  Impl->StartedAt = Time.now();
  Impl->LastTick = Impl->StartedAt;
  onRecordsApplied(base::LogOffset());
}

ShardOwnership::~ShardOwnership() = default;

void ShardOwnership::setCandidates(std::vector<base::ProcessId> Members) {
  Impl->Members.set(std::move(Members));
}

void ShardOwnership::onRecordsApplied(base::LogOffset Applied) {
  const base::BootTime Now = Time.now();
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
      Impl->Members.noteSeen(*Entry->Owner);
      Impl->UnownedSince[Index].reset();
    } else if (!Impl->UnownedSince[Index]) {
      Impl->UnownedSince[Index] = Now;
    }
    Impl->Successor.update(Shard, Entry, Now);
    Impl->Owner.update(Shard, Entry);
  }
  adoptPendingRead();
}

void ShardOwnership::onLogReadCompleted(base::BootTime SentAt,
                                        base::LogOffset End) {
  if (!Impl->Pending || Impl->Pending->SentAt <= SentAt)
    Impl->Pending = Parts::PendingRead{SentAt, End};
  adoptPendingRead();
}

void ShardOwnership::adoptPendingRead() {
  if (!Impl->Pending || Impl->Applied < Impl->Pending->End)
    return;
  Impl->Owner.noteLogRead(Impl->Pending->SentAt);
  Impl->Pending.reset();
}

void ShardOwnership::notePause(base::BootTime Now) {
  if (Now - Impl->LastTick >= kOwnershipValidity) {
    Impl->Owner.notePause(Now);
    Impl->Successor.notePause(Now);
  }
  Impl->LastTick = Now;
}

bool ShardOwnership::logReadIsRecent(base::BootTime Now) const {
  const std::optional<base::BootTime> Last = Impl->Owner.lastLogRead();
  return Last && Now < *Last + kRecentLogRead;
}

OwnershipActions ShardOwnership::tick() {
  const base::BootTime Now = Time.now();
  notePause(Now);
  OwnershipActions Actions;
  if (Impl->Stopping)
    planReleases(Now, Actions);
  else if (logReadIsRecent(Now) && Now >= Impl->StartedAt + kClaimSettle)
    planClaims(Now, Actions);
  if (!Impl->Stopping)
    Actions.Pings = Impl->Owner.pings(Now);
  if (Now >= Impl->NextLogRead && needsLogRead(Now)) {
    Actions.NeedsLogRead = true;
    Impl->NextLogRead = Now + kLogReadInterval;
  }
  return Actions;
}

std::vector<ClaimedShard>
ShardOwnership::unownedToClaim(base::BootTime Now) const {
  std::vector<ClaimedShard> Result;
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
    const ShardId Shard{DataCentre, Index};
    const ShardEntry *Entry = State.find(Shard);
    if (Entry && Entry->Owner) {
      if (Entry->Owner->Instance == Self.Instance &&
          Entry->Owner->Epoch < Self.Epoch)
        Result.push_back({Shard, ClaimBasis::Replacement, Entry->Version});
      continue;
    }
    const auto Wait = kClaimStagger * Impl->Members.rank(Shard);
    const auto &Since = Impl->UnownedSince[Index];
    if (!Since || Now < *Since + Wait)
      continue;
    Result.push_back({Shard, Entry ? ClaimBasis::Released : ClaimBasis::Initial,
                      Entry ? Entry->Version : base::LogOffset()});
  }
  return Result;
}

void ShardOwnership::planClaims(base::BootTime Now, OwnershipActions &Actions) {
  const auto MayNotAppend = [&](const ShardId &Shard) {
    return !Impl->mayAppend(Shard.Index, Now);
  };
  std::vector<ClaimedShard> Claimed = unownedToClaim(Now);
  std::erase_if(Claimed, [&](const ClaimedShard &One) {
    return MayNotAppend(One.Shard);
  });
  std::vector<ShardId> Silent = Impl->Successor.silent(Now);
  std::erase_if(Silent, MayNotAppend);
  for (const ShardId &Shard : Silent) {
    const SucceededShard &Entry = Impl->Successor.entries().at(Shard);
    Impl->Members.avoid(Entry.Owner, Now + kAvoidSilent);
    Claimed.push_back(Impl->Successor.beginTakeover(Shard));
  }
  std::vector<ShardId> Alone =
      Impl->Owner.inNeedOfSuccessor(Now, Impl->Members);
  std::erase_if(Alone, MayNotAppend);
  for (const ShardId &Shard : Alone) {
    const auto &Old = Impl->Owner.owned().at(Shard).Successor;
    if (Old)
      Impl->Members.avoid(*Old, Now + kAvoidSilent);
  }
  const std::optional<base::ProcessId> Successor = Impl->Members.successor(Now);
  if (Successor) {
    for (const ShardId &Shard : Alone)
      Claimed.push_back(Impl->Owner.beginRenewal(Shard));
  }
  if (Claimed.empty())
    return;
  for (const ClaimedShard &One : Claimed)
    Impl->AppendedAt[One.Shard.Index] = Now;
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
    return !ownsNothing();
  return !unownedToClaim(Now).empty() ||
         Impl->Owner.needsLogRead(Now, Impl->Members) ||
         Impl->Successor.needsLogRead(Now);
}

std::optional<SuccessorAck> ShardOwnership::onPing(const SuccessorPing &Ping) {
  Impl->Members.noteSeen(Ping.From);
  return Impl->Successor.answer(Ping, Impl->Members, Time.now());
}

void ShardOwnership::onAck(const SuccessorAck &Ack) {
  Impl->Owner.acknowledged(Ack, Time.now());
}

std::optional<ValidOwnership>
ShardOwnership::validOwnership(const ShardId &Shard) const {
  if (Impl->Stopping)
    return std::nullopt;
  return Impl->Owner.valid(Shard, Time.now());
}

void ShardOwnership::stop() {
  Impl->Stopping = true;
  Impl->AppendedAt.fill(std::nullopt);
}

bool ShardOwnership::ownsNothing() const { return Impl->Owner.owned().empty(); }

} // namespace ownership
