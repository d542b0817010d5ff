#include "membership/membertable.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace membership {

namespace {

constexpr std::size_t kLogReadersPerDataCentre = 2;

// Estimated allocator and node overhead of one hash map entry.
constexpr std::size_t kMapNodeBytes = 64;

// Estimated size of the key and the strings of one tombstone.
constexpr std::size_t kTombstoneTextBytes = 64;

std::uint64_t entryHash(const MemberEntry &Entry) {
  const Member &Record = Entry.Record;
  const std::uint64_t Version =
      (std::uint64_t(Record.StateVersion) << 8) | std::uint8_t(Record.State);
  const std::uint64_t Process =
      base::combineHashes(Entry.NameHash, Record.Incarnation.value());
  return base::combineHashes(Process, Version);
}

// Short strings are stored inside the object and need no heap memory.
std::size_t heapBytes(const std::string &Text) {
  return Text.capacity() < sizeof(std::string) / 2 ? 0 : Text.capacity() + 1;
}

std::size_t heapBytes(const Member &Record) {
  return heapBytes(Record.Instance.str()) + heapBytes(Record.DataCentre.str()) +
         heapBytes(Record.Region.str()) + heapBytes(Record.Service.str()) +
         heapBytes(Record.Peer.Ip) + heapBytes(Record.Administration.Ip);
}

} // namespace

std::string_view memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Draining:
    return "draining";
  case MemberState::Dead:
    return "dead";
  case MemberState::Stopped:
    return "stopped";
  }
  return "unknown";
}

StateClaim claimOf(const Member &Record) {
  return {Record.process(), Record.StateVersion, Record.State};
}

bool supersedes(const StateClaim &Incoming, const StateClaim &Current) {
  return std::tie(Incoming.Process.Incarnation, Incoming.StateVersion,
                  Incoming.State) > std::tie(Current.Process.Incarnation,
                                             Current.StateVersion,
                                             Current.State);
}

MergeResult MemberTable::merge(const Member &Incoming, base::BootTime Now) {
  const auto Found = ByInstance.find(Incoming.Instance);
  if (Found == ByInstance.end())
    return add(Incoming, Now);
  const Member &Current = Entries[Found->second].Record;
  if (!supersedes(claimOf(Incoming), claimOf(Current)))
    return MergeResult::Ignored;
  return store(Found->second, Incoming, Now);
}

MergeResult MemberTable::merge(const StateClaim &Incoming, base::BootTime Now) {
  const auto Found = ByInstance.find(Incoming.Process.Instance);
  if (Found == ByInstance.end()) {
    const Tombstone *Last = tombstone(Incoming.Process.Instance);
    const bool Old = Last && !supersedes(Incoming, Last->Claim);
    return Old ? MergeResult::Ignored : MergeResult::Unknown;
  }
  Member Record = Entries[Found->second].Record;
  if (!supersedes(Incoming, claimOf(Record)))
    return MergeResult::Ignored;
  if (Incoming.Process.Incarnation != Record.Incarnation)
    return MergeResult::Unknown;
  Record.State = Incoming.State;
  Record.StateVersion = Incoming.StateVersion;
  return store(Found->second, Record, Now);
}

MergeResult MemberTable::add(const Member &Record, base::BootTime Now) {
  if (const Tombstone *Last = tombstone(Record.Instance)) {
    if (!supersedes(claimOf(Record), Last->Claim))
      return MergeResult::Ignored;
    Tombstones.erase(Record.Instance);
  }
  MemberEntry Entry;
  Entry.Record = resolveAddress(Record, Now);
  Entry.NameHash = base::stableHash(Record.Instance.str());
  Entry.StateSince = Now;
  ByInstance[Record.Instance] = Entries.size();
  Entries.push_back(std::move(Entry));
  HighestOffset = std::max(HighestOffset, Record.AppliedOffset);
  toggleDigest(Entries.back());
  Present += isPresent(Entries.back().Record.State);
  Changes.insert(Record.Instance);
  return MergeResult::Added;
}

MergeResult MemberTable::store(std::size_t Index, const Member &Record,
                               base::BootTime Now) {
  const Member Resolved = resolveAddress(Record, Now);
  MemberEntry &Entry = Entries[Index];
  const bool SameProcess = Entry.Record.Incarnation == Record.Incarnation;
  // The resolution of an address conflict can turn the incoming record into the
  // current one.
  if (SameProcess && claimOf(Resolved) == claimOf(Entry.Record))
    return MergeResult::Ignored;
  const auto Holder = ByAddress.find(Entry.Record.Peer);
  if (Entry.Record.Peer != Record.Peer && Holder != ByAddress.end() &&
      Holder->second == Record.Instance)
    ByAddress.erase(Holder);
  const base::LogOffset Offset =
      SameProcess ? std::max(Entry.Record.AppliedOffset, Record.AppliedOffset)
                  : Record.AppliedOffset;
  // Only the member itself raises its state version, so a raised version shows
  // that it is not silent.
  const bool SameVersion = Entry.Record.StateVersion == Record.StateVersion;
  toggleDigest(Entry);
  Present -= isPresent(Entry.Record.State);
  Entry.Record = Resolved;
  Entry.Record.AppliedOffset = Offset;
  HighestOffset = std::max(HighestOffset, Offset);
  Entry.StateSince = Now;
  Entry.Silent = Entry.Silent && SameProcess && SameVersion;
  Present += isPresent(Entry.Record.State);
  toggleDigest(Entry);
  Changes.insert(Record.Instance);
  return SameProcess ? MergeResult::Changed : MergeResult::Added;
}

void MemberTable::setState(MemberEntry &Entry, const StateClaim &Claim,
                           base::BootTime Now) {
  toggleDigest(Entry);
  Present -= isPresent(Entry.Record.State);
  Entry.Record.State = Claim.State;
  Entry.Record.StateVersion = Claim.StateVersion;
  Entry.StateSince = Now;
  Present += isPresent(Entry.Record.State);
  toggleDigest(Entry);
  Changes.insert(Entry.Record.Instance);
}

// Only one process can hold an address, so of two instances with the same
// address the one that started later is present and the other is dead. The rule
// depends only on the two records, so all daemons reach the same result.
Member MemberTable::resolveAddress(const Member &Record, base::BootTime Now) {
  if (!isPresent(Record.State))
    return Record;
  const auto [Holder, New] =
      ByAddress.try_emplace(Record.Peer, Record.Instance);
  if (New || Holder->second == Record.Instance)
    return Record;
  MemberEntry &Other = Entries[ByInstance.at(Holder->second)];
  const bool Later = std::tie(Record.Incarnation, Record.Instance) >
                     std::tie(Other.Record.Incarnation, Other.Record.Instance);
  if (!Later) {
    Member Result = Record;
    Result.State = MemberState::Dead;
    return Result;
  }
  if (isPresent(Other.Record.State))
    setState(
        Other,
        {Other.Record.process(), Other.Record.StateVersion, MemberState::Dead},
        Now);
  Holder->second = Record.Instance;
  return Record;
}

const MemberEntry *MemberTable::find(const base::InstanceId &Instance) const {
  const auto Found = ByInstance.find(Instance);
  return Found == ByInstance.end() ? nullptr : &Entries[Found->second];
}

bool MemberTable::isUsable(const base::ProcessId &Process) const {
  const MemberEntry *Entry = find(Process.Instance);
  return Entry && Entry->Record.Incarnation == Process.Incarnation &&
         !Entry->Silent && Entry->Record.State == MemberState::Alive;
}

void MemberTable::setSilent(const base::ProcessId &Process, bool Silent) {
  const auto Found = ByInstance.find(Process.Instance);
  if (Found == ByInstance.end())
    return;
  MemberEntry &Entry = Entries[Found->second];
  if (Entry.Record.Incarnation != Process.Incarnation || Entry.Silent == Silent)
    return;
  Entry.Silent = Silent;
  Changes.insert(Process.Instance);
}

void MemberTable::raiseAppliedOffset(const base::ProcessId &Process,
                                     base::LogOffset Offset) {
  const auto Found = ByInstance.find(Process.Instance);
  if (Found == ByInstance.end())
    return;
  Member &Record = Entries[Found->second].Record;
  if (Record.Incarnation != Process.Incarnation)
    return;
  Record.AppliedOffset = std::max(Record.AppliedOffset, Offset);
  HighestOffset = std::max(HighestOffset, Offset);
}

// Adds the entry to the digests or, since they combine hashes by XOR, removes
// it again. Dead and stopped members are left out, because daemons remove them
// at different times.
void MemberTable::toggleDigest(const MemberEntry &Entry) {
  if (!isPresent(Entry.Record.State))
    return;
  const std::uint64_t Hash = entryHash(Entry);
  Digest ^= Hash;
  Buckets[bucketOf(Entry)] ^= std::uint32_t(Hash);
}

std::vector<base::InstanceId> MemberTable::removeExpired(base::BootTime Now) {
  std::vector<base::InstanceId> Result;
  for (std::size_t Index = Entries.size(); Index-- > 0;) {
    const MemberEntry &Entry = Entries[Index];
    if (isPresent(Entry.Record.State) ||
        Now - Entry.StateSince < kMemberRetention)
      continue;
    Result.push_back(Entry.Record.Instance);
    remove(Index, Now);
  }
  dropExpiredTombstones(Now);
  return Result;
}

void MemberTable::remove(std::size_t Index, base::BootTime Now) {
  const Member Record = Entries[Index].Record;
  const auto Holder = ByAddress.find(Record.Peer);
  if (Holder != ByAddress.end() && Holder->second == Record.Instance)
    ByAddress.erase(Holder);
  Tombstones[Record.Instance] = {claimOf(Record), Record.Peer, Now};
  Changes.insert(Record.Instance);
  ByInstance.erase(Record.Instance);
  if (Index + 1 != Entries.size()) {
    Entries[Index] = std::move(Entries.back());
    ByInstance[Entries[Index].Record.Instance] = Index;
  }
  Entries.pop_back();
}

void MemberTable::dropExpiredTombstones(base::BootTime Now) {
  std::erase_if(Tombstones, [Now](const auto &Item) {
    return Now - Item.second.CreatedAt >= kTombstoneRetention;
  });
  while (Tombstones.size() > kMaxTombstones) {
    const auto Oldest = std::min_element(
        Tombstones.begin(), Tombstones.end(), [](const auto &A, const auto &B) {
          return A.second.CreatedAt < B.second.CreatedAt;
        });
    Tombstones.erase(Oldest);
  }
}

const Tombstone *
MemberTable::tombstone(const base::InstanceId &Instance) const {
  const auto Found = Tombstones.find(Instance);
  return Found == Tombstones.end() ? nullptr : &Found->second;
}

std::vector<Member>
MemberTable::logReaders(const base::DataCentreId &DataCentre) const {
  const std::uint64_t DataCentreHash = base::stableHash(DataCentre.str());
  std::vector<std::pair<std::uint64_t, const MemberEntry *>> ByHash;
  for (const MemberEntry &Entry : Entries) {
    const bool Usable =
        Entry.Record.State == MemberState::Alive && !Entry.Silent;
    if (Usable && Entry.Record.DataCentre == DataCentre)
      ByHash.emplace_back(base::combineHashes(DataCentreHash, Entry.NameHash),
                          &Entry);
  }
  const std::size_t Count = std::min(ByHash.size(), kLogReadersPerDataCentre);
  std::partial_sort(ByHash.begin(), ByHash.begin() + std::ptrdiff_t(Count),
                    ByHash.end());
  std::vector<Member> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back(ByHash[Index].second->Record);
  return Result;
}

std::size_t MemberTable::logReaderRank(const base::InstanceId &Instance) const {
  const MemberEntry *Ranked = find(Instance);
  if (Ranked == nullptr)
    return 0;
  const base::DataCentreId &DataCentre = Ranked->Record.DataCentre;
  const std::uint64_t DataCentreHash = base::stableHash(DataCentre.str());
  const auto Order = [&](const MemberEntry &Entry) {
    return std::pair(base::combineHashes(DataCentreHash, Entry.NameHash),
                     &Entry);
  };
  const bool IsUsable = isUsable(Ranked->Record.process());
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return Each.Record.DataCentre == DataCentre &&
               isUsable(Each.Record.process()) &&
               (!IsUsable || Order(Each) < Order(*Ranked));
      }));
}

std::vector<base::InstanceId> MemberTable::takeChanges() {
  std::vector<base::InstanceId> Result(Changes.begin(), Changes.end());
  Changes.clear();
  return Result;
}

std::size_t MemberTable::memoryBytes() const {
  std::size_t Total = Entries.capacity() * sizeof(MemberEntry);
  for (const MemberEntry &Entry : Entries) {
    const Member &Record = Entry.Record;
    Total += heapBytes(Record);
    Total += 2 * (kMapNodeBytes + sizeof(base::InstanceId) +
                  heapBytes(Record.Instance.str()));
    Total += sizeof(base::Endpoint) + heapBytes(Record.Peer.Ip);
  }
  Total += Tombstones.size() *
           (kMapNodeBytes + sizeof(Tombstone) + kTombstoneTextBytes);
  return Total;
}

} // namespace membership
