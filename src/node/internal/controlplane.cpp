#include "node/controlplane.h"

#include "platformlog/fleetrecord.h"

#include <algorithm>

namespace node {

namespace {

using namespace std::chrono_literals;
using platformlog::RecordKind;

/// Records are fetched again if no response arrives within this time.
constexpr base::Duration kFetchTimeout = 1s;
/// How often the daemon checks whether it is a log reader.
constexpr base::Duration kReaderCheckInterval = 500ms;

} // namespace

ControlPlane::ControlPlane(Runtime &Shared, FleetState &Fleet,
                           const membership::GossipSettings &Settings)
    : Shared(Shared), Fleet(Fleet), Gossip(Settings, Shared.Clock.now()),
      Ownership(Shared.Clock, Owners, Shared.Self, Shared.DataCentre) {}

void ControlPlane::onDatagram(const base::Endpoint &From,
                              const std::string &Body) {
  const auto Message = membership::decode(Body);
  if (!Message) {
    Shared.Metrics.counter("gossip_malformed_total").add();
    return;
  }
  std::lock_guard Lock(Mutex);
  send(Gossip.receive(*Message, From, Shared.Clock.now()));
}

void ControlPlane::onSuccessorPing(transport::ConnectionId Connection,
                                   const ownership::SuccessorPing &Ping) {
  std::lock_guard Lock(Mutex);
  if (const auto Ack = Ownership.onPing(Ping))
    Transport->send(Connection,
                    {static_cast<std::uint8_t>(MessageType::SuccessorAck),
                     base::encode(*Ack)});
}

void ControlPlane::onSuccessorAck(const ownership::SuccessorAck &Ack) {
  std::lock_guard Lock(Mutex);
  Ownership.onAck(Ack);
}

void ControlPlane::onFetchRecords(transport::ConnectionId Connection,
                                  const FetchRecords &Request) {
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::FetchedRecords),
                   base::encode(Fleet.recordsFrom(Request.From))});
}

void ControlPlane::onFetchedRecords(const FetchedRecords &Response) {
  if (!Response.Snapshot.empty())
    Fleet.installSnapshot(Response.Snapshot);
  std::vector<platformlog::LogRecord> Records;
  for (const FetchedRecord &Each : Response.Records)
    Records.push_back({Each.Offset, Each.Bytes});
  Fleet.apply(Records);
  std::lock_guard Lock(Mutex);
  FetchSentAt = base::BootTime();
  applyFleetState();
}

void ControlPlane::onLogEndReached(base::BootTime SentAt, base::LogOffset End) {
  std::lock_guard Lock(Mutex);
  applyFleetState();
  Ownership.onLogReadCompleted(SentAt, End);
}

void ControlPlane::tick() {
  std::lock_guard Lock(Mutex);
  applyFleetState();
  send(Gossip.tick(Shared.Clock.now()));
  publishMemberChanges();
  runOwnership();
  fetchIfBehind();
  updateLogFollowing();
}

void ControlPlane::announceStart() {
  std::lock_guard Lock(Mutex);
  Log->append(
      platformlog::encodeRecord(RecordKind::Announcement, Gossip.self()));
}

void ControlPlane::announceLeaving(membership::MemberState State) {
  std::lock_guard Lock(Mutex);
  send(Gossip.changeOwnState(State));
  Log->append(
      platformlog::encodeRecord(RecordKind::Announcement, Gossip.self()));
  Ownership.stop();
  runOwnership();
}

void ControlPlane::reportSilent(const base::ProcessId &Process) {
  std::lock_guard Lock(Mutex);
  Gossip.reportSilent(Process);
}

std::optional<ownership::ValidOwnership>
ControlPlane::validOwnership(const ownership::ShardId &Shard) const {
  std::lock_guard Lock(Mutex);
  return Ownership.validOwnership(Shard);
}

std::optional<PeerProcess>
ControlPlane::ownerOf(const ownership::ShardId &Shard) const {
  std::lock_guard Lock(Mutex);
  const ownership::ShardEntry *Entry = Owners.find(Shard);
  if (Entry == nullptr || !Entry->Owner)
    return std::nullopt;
  const auto Address = addressOf(*Entry->Owner);
  if (!Address)
    return std::nullopt;
  return PeerProcess{*Entry->Owner, *Address};
}

std::vector<ControlPlane::MemberView> ControlPlane::members() const {
  std::lock_guard Lock(Mutex);
  std::vector<MemberView> Result;
  for (const membership::MemberEntry &Entry : Gossip.members().entries())
    Result.push_back({Entry.Record, Gossip.isUsable(Entry.Record.process())});
  return Result;
}

bool ControlPlane::isSuperseded() const {
  std::lock_guard Lock(Mutex);
  return Gossip.isSuperseded();
}

std::string ControlPlane::ownershipStatus() const {
  std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Shard, Entry] : Owners.entries()) {
    Text += "shard " + Shard.DataCentre.str() + "/" +
            std::to_string(Shard.Index) + " owner " +
            (Entry.Owner ? Entry.Owner->Instance.str() : "none") +
            " successor " +
            (Entry.Successor ? Entry.Successor->Instance.str() : "none");
    if (Ownership.validOwnership(Shard))
      Text += " valid here";
    Text += "\n";
  }
  return Text;
}

void ControlPlane::applyFleetState() {
  const base::LogOffset Applied = Fleet.appliedOffset();
  if (Applied == AppliedOffset)
    return;
  AppliedOffset = Applied;
  Owners = Fleet.owners();
  Ownership.onRecordsApplied(Applied);
  for (const membership::Member &Each : Fleet.announcedMembers())
    if (Each.Instance != Shared.Self.Instance)
      Gossip.mergeAnnouncement(Each);
  send(Gossip.setAppliedOffset(Applied));
}

void ControlPlane::runOwnership() {
  const ownership::OwnershipActions Actions = Ownership.tick();
  for (const ownership::OwnershipClaim &Claim : Actions.Claims)
    Log->append(platformlog::encodeRecord(RecordKind::OwnershipClaim, Claim));
  for (const ownership::OwnershipRelease &Release : Actions.Releases)
    Log->append(
        platformlog::encodeRecord(RecordKind::OwnershipRelease, Release));
  for (const ownership::SuccessorPing &Ping : Actions.Pings)
    if (const auto Address = addressOf(Ping.To))
      sendFrame(*Address, MessageType::SuccessorPing, base::encode(Ping));
  if (Actions.NeedsLogRead)
    Log->requestRead();
}

void ControlPlane::fetchIfBehind() {
  const base::BootTime Now = Shared.Clock.now();
  const auto Source = Gossip.newestLogSource();
  if (!Source || Now - FetchSentAt < kFetchTimeout)
    return;
  FetchSentAt = Now;
  const FetchRecords Request{base::LogOffset(AppliedOffset.value() + 1)};
  sendFrame(Source->Peer, MessageType::FetchRecords, base::encode(Request));
}

void ControlPlane::updateLogFollowing() {
  const base::BootTime Now = Shared.Clock.now();
  if (Now < NextReaderCheck)
    return;
  NextReaderCheck = Now + kReaderCheckInterval;
  const auto Readers = Gossip.logReaders(Shared.DataCentre);
  const bool IsLogReader = std::any_of(
      Readers.begin(), Readers.end(), [this](const membership::Member &Each) {
        return Each.Instance == Shared.Self.Instance;
      });
  Log->setFollowing(IsLogReader || Readers.empty());
}

void ControlPlane::publishMemberChanges() {
  const auto Changes = Gossip.takeChanges();
  if (Changes.empty())
    return;
  if (OnMembersChanged)
    OnMembersChanged(Gossip.members(), Changes);
  for (const base::InstanceId &Instance : Changes) {
    const membership::MemberEntry *Entry = Gossip.members().find(Instance);
    Shared.Events.record(
        "member_changed",
        Instance.str() + " " +
            (Entry != nullptr
                 ? std::string(membership::memberStateName(Entry->Record.State))
                 : "forgotten"));
  }
  Ownership.setCandidates(ownerCandidates());
}

void ControlPlane::send(
    const std::vector<membership::OutgoingDatagram> &Datagrams) {
  for (const membership::OutgoingDatagram &Each : Datagrams)
    Transport->sendDatagram(Each.To, membership::encode(Each.Message));
}

void ControlPlane::sendFrame(const base::Endpoint &To, MessageType Type,
                             std::string Body) {
  Transport->send(Transport->connectionTo(To),
                  {static_cast<std::uint8_t>(Type), std::move(Body)});
}

std::vector<base::ProcessId> ControlPlane::ownerCandidates() const {
  std::vector<base::ProcessId> Result;
  for (const membership::MemberEntry &Entry : Gossip.members().entries())
    if (Entry.Record.DataCentre == Shared.DataCentre &&
        Entry.Record.State == membership::MemberState::Alive)
      Result.push_back(Entry.Record.process());
  return Result;
}

std::optional<base::Endpoint>
ControlPlane::addressOf(const base::ProcessId &Process) const {
  const membership::MemberEntry *Entry =
      Gossip.members().find(Process.Instance);
  if (Entry == nullptr || Entry->Record.Incarnation != Process.Incarnation)
    return std::nullopt;
  return Entry->Record.Peer;
}

} // namespace node
