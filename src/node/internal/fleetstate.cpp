#include "node/fleetstate.h"

#include "platformlog/fleetsnapshot.h"

#include <cereal/types/map.hpp>

namespace node {

namespace {

/// Bounds of the records retained for peers.
constexpr std::size_t kMaxRecentBytes = 8 << 20;
constexpr std::size_t kMaxRecentRecords = 4096;
/// Maximum size of the records in one response to a peer.
constexpr std::size_t kMaxFetchBytes = 4 << 20;

using platformlog::RecordKind;

/// Replaces a snapshot record among the records retained for peers.
const std::string kSnapshotPlaceholder =
    platformlog::encode(platformlog::FleetRecord{RecordKind::Snapshot, ""});

template <typename Record, typename Apply>
void applyPayload(const std::string &Payload, Apply &&OnDecoded) {
  if (const auto Decoded = platformlog::decode<Record>(Payload))
    OnDecoded(*Decoded);
}

} // namespace

FleetState::FleetState(Runtime &Shared) : Shared(Shared) {}

base::LogOffset FleetState::appliedOffset() const {
  std::lock_guard Lock(Mutex);
  return AppliedOffset;
}

base::LogOffset FleetState::lastSnapshotOffset() const {
  std::lock_guard Lock(Mutex);
  return LastSnapshotOffset;
}

bool FleetState::apply(const std::vector<platformlog::LogRecord> &Records) {
  std::lock_guard Lock(Mutex);
  bool Advanced = false;
  for (const platformlog::LogRecord &Record : Records)
    Advanced = applyOne(Record) || Advanced;
  return Advanced;
}

bool FleetState::applyOne(const platformlog::LogRecord &Record) {
  const auto Envelope = platformlog::decodeRecord(Record.Bytes);
  const base::LogOffset Next(AppliedOffset.value() + 1);
  if (Record.Offset < Next)
    return false;
  // After a gap, only a snapshot can be applied.
  if (Record.Offset > Next)
    return Envelope && Envelope->Kind == RecordKind::Snapshot &&
           installSnapshotLocked(Envelope->Payload);
  AppliedOffset = Record.Offset;
  // Peers that apply record by record already have the state of a snapshot,
  // which is far larger than other records.
  const bool IsSnapshot = Envelope && Envelope->Kind == RecordKind::Snapshot;
  retainRecord(IsSnapshot
                   ? platformlog::LogRecord{Record.Offset, kSnapshotPlaceholder}
                   : Record);
  if (Envelope)
    applyEnvelope(Envelope->Kind, Envelope->Payload);
  else
    Shared.Metrics.counter("log_records_malformed_total").add();
  Config.advanceTo(AppliedOffset);
  return true;
}

void FleetState::applyEnvelope(RecordKind Kind, const std::string &Payload) {
  switch (Kind) {
  case RecordKind::ConfigChange:
    applyPayload<config::ConfigChange>(Payload, [this](const auto &Change) {
      const auto Result = Config.apply(AppliedOffset, Change);
      if (Result && Result->Kind == config::ChangeOutcomeKind::Accepted)
        Shared.recordEvent("config_adopted",
                           Change.File + " version " +
                               std::to_string(AppliedOffset.value()));
    });
    break;
  case RecordKind::OwnershipClaim:
    applyPayload<ownership::OwnershipClaim>(Payload, [this](const auto &Claim) {
      Owners.apply(AppliedOffset, Claim);
    });
    break;
  case RecordKind::OwnershipRelease:
    applyPayload<ownership::OwnershipRelease>(
        Payload,
        [this](const auto &Release) { Owners.apply(AppliedOffset, Release); });
    break;
  case RecordKind::Announcement:
    applyPayload<membership::Member>(Payload, [this](const auto &Announced) {
      applyAnnouncement(Announced);
    });
    break;
  case RecordKind::Snapshot:
    LastSnapshotOffset = AppliedOffset;
    break;
  }
}

void FleetState::applyAnnouncement(const membership::Member &Announced) {
  membership::Member &Known = Members[Announced.Instance];
  const bool IsNew = Known.Instance.empty();
  if (!IsNew && !membership::supersedes(membership::claimOf(Announced),
                                        membership::claimOf(Known)))
    return;
  Known = Announced;
  if (Announced.State == membership::MemberState::Stopped)
    Members.erase(Announced.Instance);
}

void FleetState::retainRecord(const platformlog::LogRecord &Record) {
  RecentRecords.push_back(Record);
  RecentBytes += Record.Bytes.size();
  while (RecentBytes > kMaxRecentBytes ||
         RecentRecords.size() > kMaxRecentRecords) {
    RecentBytes -= RecentRecords.front().Bytes.size();
    RecentRecords.pop_front();
  }
}

bool FleetState::installSnapshot(const std::string &Record) {
  const auto Envelope = platformlog::decodeRecord(Record);
  if (!Envelope || Envelope->Kind != RecordKind::Snapshot)
    return false;
  std::lock_guard Lock(Mutex);
  return installSnapshotLocked(Envelope->Payload);
}

bool FleetState::installSnapshotLocked(const std::string &Payload) {
  const auto Snapshot =
      platformlog::decode<platformlog::FleetSnapshot>(Payload);
  if (!Snapshot || Snapshot->LastOffset <= AppliedOffset)
    return false;
  const auto NewOwners =
      base::decode<ownership::OwnershipState>(Snapshot->Ownership);
  const auto NewMembers =
      base::decode<std::vector<membership::Member>>(Snapshot->Members);
  if (!NewOwners || !NewMembers)
    return false;
  AppliedOffset = Snapshot->LastOffset;
  Config.adopt(Snapshot->Config);
  Config.advanceTo(AppliedOffset);
  Owners = *NewOwners;
  Members.clear();
  for (const membership::Member &Each : *NewMembers)
    Members[Each.Instance] = Each;
  RecentRecords.clear();
  RecentBytes = 0;
  Shared.recordEvent("snapshot_adopted",
                     "offset " + std::to_string(AppliedOffset.value()));
  return true;
}

std::string FleetState::snapshotRecord() const {
  std::lock_guard Lock(Mutex);
  platformlog::FleetSnapshot Snapshot;
  Snapshot.LastOffset = AppliedOffset;
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
    if (From > AppliedOffset)
      return Result;
    if (!RecentRecords.empty() && RecentRecords.front().Offset <= From) {
      std::size_t Bytes = 0;
      for (const platformlog::LogRecord &Record : RecentRecords) {
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
