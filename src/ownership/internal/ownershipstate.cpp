#include "ownership/ownershipstate.h"

namespace ownership {

namespace {

bool isBasisValid(const ShardEntry &Entry, const base::ProcessId &Claimant,
                  ClaimBasis Basis) {
  switch (Basis) {
  case ClaimBasis::Initial:
    return false;
  case ClaimBasis::Released:
    return !Entry.Owner;
  case ClaimBasis::Replacement:
    return Entry.Owner && Entry.Owner->Instance == Claimant.Instance &&
           Entry.Owner->Incarnation < Claimant.Incarnation;
  case ClaimBasis::Takeover:
    return Entry.Owner && Entry.Successor == Claimant;
  case ClaimBasis::Renew:
    return Entry.Owner == Claimant;
  }
  return false;
}

} // namespace

bool OwnershipState::accepts(const OwnershipClaim &Claim,
                             const ClaimedShard &Claimed) const {
  if (Claimed.Shard.Index >= kShardsPerDataCentre)
    return false;
  if (Claim.Successor && Claim.Successor->Instance == Claim.Claimant.Instance)
    return false;
  const ShardEntry *Entry = find(Claimed.Shard);
  if (!Entry)
    return Claimed.Basis == ClaimBasis::Initial &&
           Claimed.BaseVersion == base::LogOffset();
  return Claimed.BaseVersion == Entry->Version &&
         isBasisValid(*Entry, Claim.Claimant, Claimed.Basis);
}

std::size_t OwnershipState::apply(base::LogOffset Offset,
                                  const OwnershipClaim &Claim) {
  std::size_t Accepted = 0;
  for (const ClaimedShard &Claimed : Claim.Shards) {
    if (!accepts(Claim, Claimed))
      continue;
    ShardEntry &Entry = Entries[Claimed.Shard];
    if (Claimed.Basis != ClaimBasis::Renew) {
      Entry.Owner = Claim.Claimant;
      Entry.Term = Offset;
      Entry.TermBasis = Claimed.Basis;
    }
    Entry.Successor = Claim.Successor;
    Entry.Version = Offset;
    ++Accepted;
  }
  return Accepted;
}

std::size_t OwnershipState::apply(base::LogOffset Offset,
                                  const OwnershipRelease &Release) {
  std::size_t Accepted = 0;
  for (const ShardId &Shard : Release.Shards) {
    auto Found = Entries.find(Shard);
    if (Found == Entries.end() || Found->second.Owner != Release.Holder)
      continue;
    Found->second.Owner.reset();
    Found->second.Successor.reset();
    Found->second.Version = Offset;
    ++Accepted;
  }
  return Accepted;
}

const ShardEntry *OwnershipState::find(const ShardId &Shard) const {
  auto Found = Entries.find(Shard);
  return Found == Entries.end() ? nullptr : &Found->second;
}

} // namespace ownership
