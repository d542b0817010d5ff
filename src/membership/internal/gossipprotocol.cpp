#include "membership/internal/gossipstate.h"

#include <utility>

namespace membership {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kExpiryCheckPeriod = 1s;

} // namespace

GossipProtocol::GossipProtocol(GossipSettings Settings, base::BootTime Now)
    : Impl(std::make_unique<State>(std::move(Settings))) {
  Impl->LastTick = Now;
  Impl->ProtocolTimeAtTick = Now;
  Impl->Core.Now = Now;
  Impl->Core.Table.merge(Impl->Core.Settings.Self, Now);
  Impl->Core.Broadcasts.add(Impl->Core.Settings.Self.Instance, true);
  Impl->Sync.refresh();
}

GossipProtocol::~GossipProtocol() = default;

std::vector<OutgoingDatagram> GossipProtocol::tick(base::BootTime Now) {
  State &S = *Impl;
  S.updateClock(Now, true);
  if (const auto Failed = S.Probes.tick())
    S.onProbeFailed(*Failed);
  for (const StateClaim &Claim : S.Suspicions.takeExpired()) {
    ++S.Core.Counters.Deaths;
    S.merge(Claim);
  }
  S.Contacts.tick();
  S.Sync.tick();
  if (S.Core.Now >= S.NextExpiryCheck) {
    S.NextExpiryCheck = S.Core.Now + kExpiryCheckPeriod;
    S.Core.Table.removeExpired(S.Core.Now);
  }
  return S.takeOutbox();
}

std::vector<OutgoingDatagram>
GossipProtocol::receive(const Datagram &Message, const base::Endpoint &From,
                        base::BootTime Now) {
  State &S = *Impl;
  S.updateClock(Now, false);
  ++S.Core.Counters.DatagramsReceived;
  if (Message.Sender.Process.Instance.empty() ||
      Message.Sender.Process == S.Core.self().process())
    return S.takeOutbox();
  S.InSyncReply = Message.Kind == DatagramKind::SyncReply;
  const std::size_t Merged = S.mergeUpdates(Message);
  S.InSyncReply = false;
  S.mergeSender(Message, From);
  S.dispatch(Message, From);
  if (Message.Kind == DatagramKind::SyncReply)
    S.Sync.onReply(Merged);
  S.Sync.onDigest(Message, From);
  S.sendCorrections(From);
  return S.takeOutbox();
}

std::vector<OutgoingDatagram>
GossipProtocol::changeOwnState(MemberState State) {
  const Member &Own = Impl->Core.self();
  const bool Leaving =
      State == MemberState::Draining || State == MemberState::Stopped;
  if (Leaving && State > Own.State)
    Impl->changeSelf(State, Own.StateVersion + 1);
  return Impl->takeOutbox();
}

std::vector<OutgoingDatagram>
GossipProtocol::setAppliedOffset(base::LogOffset Offset) {
  GossipCore &Core = Impl->Core;
  if (Offset > Core.OwnAppliedOffset) {
    Core.OwnAppliedOffset = Offset;
    Core.Table.raiseAppliedOffset(Core.self().process(), Offset);
    Impl->Urgent.addOffset();
  }
  return Impl->takeOutbox();
}

std::vector<OutgoingDatagram> GossipProtocol::confirmOffset() {
  GossipCore &Core = Impl->Core;
  const Datagram Message = Core.makeDatagram(DatagramKind::LogConfirmation, 0);
  for (const MemberEntry &Each : Core.Table.entries())
    if (Each.Record.DataCentre == Core.self().DataCentre &&
        Each.Record.Instance != Core.self().Instance &&
        isUsable(Each.Record.process()))
      Core.sendWithoutUpdates(Message, Each.Record.Peer);
  return Impl->takeOutbox();
}

void GossipProtocol::mergeAnnouncement(const Member &Announced) {
  if (Announced.Instance == self().Instance)
    Impl->refute(claimOf(Announced));
  else if (members().find(Announced.Instance))
    Impl->merge(Announced);
  else if (Impl->isUnknown(Announced.process()))
    Impl->Contacts.addAnnounced(Announced);
}

void GossipProtocol::reportSilent(const base::ProcessId &Process) {
  Impl->Core.Table.setSilent(Process, true);
  Impl->Probes.probeNext(Process);
}

const MemberTable &GossipProtocol::members() const { return Impl->Core.Table; }

const Member &GossipProtocol::self() const { return Impl->Core.self(); }

bool GossipProtocol::isUsable(const base::ProcessId &Process) const {
  return members().isUsable(Process);
}

std::vector<Member>
GossipProtocol::logReaders(const base::DataCentreId &DataCentre) const {
  return members().logReaders(DataCentre);
}

std::size_t
GossipProtocol::logReaderRank(const base::InstanceId &Instance) const {
  return members().logReaderRank(Instance);
}

std::optional<LogSource> GossipProtocol::newestLogSource() const {
  std::optional<LogSource> Best;
  base::LogOffset Highest = Impl->Core.OwnAppliedOffset;
  if (members().highestOffset() <= Highest)
    return Best;
  for (const MemberEntry &Entry : members().entries()) {
    const Member &Record = Entry.Record;
    if (Record.AppliedOffset <= Highest || !isUsable(Record.process()))
      continue;
    Highest = Record.AppliedOffset;
    Best = LogSource{Highest, Record.process(), Record.Peer};
  }
  return Best;
}

std::vector<base::InstanceId> GossipProtocol::takeChanges() {
  return Impl->Core.Table.takeChanges();
}

bool GossipProtocol::isSuperseded() const { return Impl->Core.Superseded; }

unsigned GossipProtocol::localHealth() const {
  return Impl->Core.Health.score();
}

const GossipCounters &GossipProtocol::counters() const {
  return Impl->Core.Counters;
}

} // namespace membership
