#include "node/fleetstate.h"

#include "platformlog/fleetsnapshot.h"

#include <cereal/types/map.hpp>

namespace node {

namespace {

constexpr std::size_t kMaxKeptBytes = 8 << 20;
constexpr std::size_t kMaxKeptRecords = 4096;
/// Bytes of records in one response to a peer.
constexpr std::size_t kMaxFetchBytes = 4 << 20;

using platformlog::RecordKind;

/// Stands for a snapshot among the records kept for peers.
const std::string kSnapshotMark =
    platformlog::encode(platformlog::FleetRecord{RecordKind::Snapshot, ""});

template <typename Record, typename Apply>
void applyPayload(const std::string &Payload, Apply &&OnDecoded) {
  if (const auto Decoded = platformlog::decode<Record>(Payload))
    OnDecoded(*Decoded);
}

} // namespace

FleetState::FleetState(Runtime &Shared) : Shared(Shared) {}

base::LogOffset FleetState::applied() const {
  std::lock_guard Lock(Mutex);
  return Applied;
}

base::LogOffset FleetState::lastSnapshot() const {
  std::lock_guard Lock(Mutex);
  return LastSnapshot;
}

bool FleetState::apply(const std::vector<platformlog::LogRecord> &Records) {
  std::lock_guard Lock(Mutex);
  bool Moved = false;
  for (const platformlog::LogRecord &Record : Records)
    Moved = applyOne(Record) || Moved;
  return Moved;
}

bool FleetState::applyOne(const platformlog::LogRecord &Record) {
  const auto Envelope = platformlog::decodeRecord(Record.Bytes);
  const base::LogOffset Next(Applied.value() + 1);
  if (Record.Offset < Next)
    return false;
  // After a gap only a snapshot leads on.
  if (Record.Offset > Next)
    return Envelope && Envelope->Kind == RecordKind::Snapshot &&
           adoptLocked(Envelope->Payload);
  Applied = Record.Offset;
  // Peers that follow record by record have the state already, and a snapshot
  // is far larger than other records.
  const bool Large = Envelope && Envelope->Kind == RecordKind::Snapshot;
  keep(Large ? platformlog::LogRecord{Record.Offset, kSnapshotMark} : Record);
  if (Envelope)
    applyEnvelope(Envelope->Kind, Envelope->Payload);
  else
    Shared.Metrics.counter("log_records_malformed_total").add();
  Config.advanceTo(Applied);
  return true;
}

void FleetState::applyEnvelope(RecordKind Kind, const std::string &Payload) {
  switch (Kind) {
  case RecordKind::ConfigChange:
    applyPayload<config::ConfigChange>(Payload, [this](const auto &Change) {
      const auto Verdict = Config.apply(Applied, Change);
      if (Verdict && Verdict->Kind == config::VerdictKind::Accepted)
        Shared.noteChange("config_adopted",
                          Change.File + " version " +
                              std::to_string(Applied.value()));
    });
    break;
  case RecordKind::OwnershipClaim:
    applyPayload<ownership::OwnershipClaim>(
        Payload, [this](const auto &Claim) { Owners.apply(Applied, Claim); });
    break;
  case RecordKind::OwnershipRelease:
    applyPayload<ownership::OwnershipRelease>(
        Payload,
        [this](const auto &Release) { Owners.apply(Applied, Release); });
    break;
  case RecordKind::Announce:
    applyPayload<membership::Member>(
        Payload, [this](const auto &Announced) { announce(Announced); });
    break;
  case RecordKind::Snapshot:
    LastSnapshot = Applied;
    break;
  }
}

void FleetState::announce(const membership::Member &Announced) {
  membership::Member &Known = Members[Announced.Instance];
  const bool First = Known.Instance.empty();
  if (!First && !membership::supersedes(membership::claimOf(Announced),
                                        membership::claimOf(Known)))
    return;
  Known = Announced;
  if (Announced.State == membership::MemberState::Stopped)
    Members.erase(Announced.Instance);
}

void FleetState::keep(const platformlog::LogRecord &Record) {
  Kept.push_back(Record);
  KeptBytes += Record.Bytes.size();
  while (KeptBytes > kMaxKeptBytes || Kept.size() > kMaxKeptRecords) {
    KeptBytes -= Kept.front().Bytes.size();
    Kept.pop_front();
  }
}

bool FleetState::adoptSnapshot(const std::string &Record) {
  const auto Envelope = platformlog::decodeRecord(Record);
  if (!Envelope || Envelope->Kind != RecordKind::Snapshot)
    return false;
  std::lock_guard Lock(Mutex);
  return adoptLocked(Envelope->Payload);
}

bool FleetState::adoptLocked(const std::string &Payload) {
  const auto Snapshot =
      platformlog::decode<platformlog::FleetSnapshot>(Payload);
  if (!Snapshot || Snapshot->UpTo <= Applied)
    return false;
  const auto NewOwners =
      base::decode<ownership::OwnershipState>(Snapshot->Ownership);
  const auto NewMembers =
      base::decode<std::vector<membership::Member>>(Snapshot->Members);
  if (!NewOwners || !NewMembers)
    return false;
  Applied = Snapshot->UpTo;
  Config.adopt(Snapshot->Config);
  Config.advanceTo(Applied);
  Owners = *NewOwners;
  Members.clear();
  for (const membership::Member &Each : *NewMembers)
    Members[Each.Instance] = Each;
  Kept.clear();
  KeptBytes = 0;
  Shared.noteChange("snapshot_adopted",
                    "offset " + std::to_string(Applied.value()));
  return true;
}

std::string FleetState::snapshotRecord() const {
  std::lock_guard Lock(Mutex);
  platformlog::FleetSnapshot Snapshot;
  Snapshot.UpTo = Applied;
  Snapshot.Config = Config;
  Snapshot.Ownership = base::encode(Owners);
  std::vector<membership::Member> All;
  for (const auto &[Instance, Each] : Members)
    All.push_back(Each);
  Snapshot.Members = base::encode(All);
  return platformlog::encodeRecord(RecordKind::Snapshot, Snapshot);
}

FetchedRecords FleetState::recordsFrom(base::LogOffset From) const {
  FetchedRecords Result;
  {
    std::lock_guard Lock(Mutex);
    if (From > Applied)
      return Result;
    if (!Kept.empty() && Kept.front().Offset <= From) {
      std::size_t Bytes = 0;
      for (const platformlog::LogRecord &Record : Kept) {
        if (Record.Offset < From)
          continue;
        Bytes += Record.Bytes.size();
        if (Bytes > kMaxFetchBytes && !Result.Records.empty())
          break;
        Result.Records.push_back({Record.Offset, Record.Bytes});
      }
      return Result;
    }
  }
  Result.Snapshot = snapshotRecord();
  return Result;
}

std::shared_ptr<const config::Configuration> FleetState::configuration() const {
  std::lock_guard Lock(Mutex);
  return Config.current();
}

std::vector<membership::Member> FleetState::announcedMembers() const {
  std::lock_guard Lock(Mutex);
  std::vector<membership::Member> Result;
  for (const auto &[Instance, Each] : Members)
    Result.push_back(Each);
  return Result;
}

ownership::OwnershipState FleetState::owners() const {
  std::lock_guard Lock(Mutex);
  return Owners;
}

} // namespace node
