#include "membership/internal/gossipstate.h"

#include <algorithm>
#include <utility>

namespace membership {

namespace {

// Maximum number of claims in one correction, which fit into `kMaxEncodedBytes`
// with names of any length.
constexpr std::size_t kMaxCorrections = 10;

} // namespace

// Between ticks, received datagrams advance the time as well, but by no more
// than `kMaxTickGap` after the last tick.
void GossipProtocol::State::updateClock(base::BootTime Now, bool Tick) {
  const base::Duration Gap = std::max(Now - LastTick, base::Duration::zero());
  Core.Now = ProtocolTimeAtTick + std::min<base::Duration>(Gap, kMaxTickGap);
  if (!Tick)
    return;
  LastTick = Now;
  ProtocolTimeAtTick = Core.Now;
  if (Gap <= kMaxTickGap)
    return;
  ++Core.Counters.Pauses;
  Core.Health.setWorst();
  Probes.abandonProbe();
  Sync.refresh();
}

std::vector<OutgoingDatagram> GossipProtocol::State::takeOutbox() {
  Urgent.flush();
  return std::exchange(Core.Outbox, {});
}

std::optional<MemberState>
GossipProtocol::State::stateOf(const base::InstanceId &Instance) const {
  const MemberEntry *Entry = Core.Table.find(Instance);
  if (!Entry)
    return std::nullopt;
  return Entry->Record.State;
}

bool GossipProtocol::State::isUnknown(const base::ProcessId &Process) const {
  const MemberEntry *Entry = Core.Table.find(Process.Instance);
  if (Entry)
    return Entry->Record.Incarnation < Process.Incarnation;
  const Tombstone *Last = Core.Table.tombstone(Process.Instance);
  return !Last || Last->Claim.Process.Incarnation < Process.Incarnation;
}

MergeResult GossipProtocol::State::merge(const Member &Record) {
  if (Record.Instance.empty() || !isEncodable(Record))
    return MergeResult::Ignored;
  if (Record.Instance == Core.Settings.Self.Instance) {
    refute(claimOf(Record));
    return MergeResult::Ignored;
  }
  const auto Before = stateOf(Record.Instance);
  const MergeResult Result = Core.Table.merge(Record, Core.Now);
  afterMerge(Result, Record.Instance, Before);
  return Result;
}

MergeResult GossipProtocol::State::merge(const StateClaim &Claim) {
  const base::InstanceId &Instance = Claim.Process.Instance;
  if (Instance == Core.Settings.Self.Instance) {
    refute(Claim);
    return MergeResult::Ignored;
  }
  const auto Before = stateOf(Instance);
  const MergeResult Result = Core.Table.merge(Claim, Core.Now);
  afterMerge(Result, Instance, Before);
  return Result;
}

// Queues an update about a member for piggybacking, and pushes it at once if
// routing must act on it or if it corrects a wrong suspicion.
void GossipProtocol::State::afterMerge(MergeResult Result,
                                       const base::InstanceId &Instance,
                                       std::optional<MemberState> Before) {
  if (Result != MergeResult::Added && Result != MergeResult::Changed)
    return;
  const Member &Record = Core.Table.find(Instance)->Record;
  // A member that came with a sync reply, as after a join, is new to this
  // daemon only.
  if (Before || !InSyncReply)
    Core.Broadcasts.add(Instance, Result == MergeResult::Added);
  if (Record.State == MemberState::Suspect)
    Suspicions.start(claimOf(Record));
  else
    Suspicions.stop(Instance);
  if (Result == MergeResult::Added)
    Probes.addTarget(Record);
  const bool Leaving = Record.State == MemberState::Draining ||
                       Record.State == MemberState::Stopped;
  const bool Corrected = Record.State == MemberState::Alive && Before &&
                         *Before != MemberState::Alive &&
                         Result == MergeResult::Changed;
  if (Before && (Leaving || Corrected))
    Urgent.add(Instance);
}

// Only the member itself raises its state version, so a claim that supersedes
// its own record is wrong.
void GossipProtocol::State::refute(const StateClaim &Claim) {
  const StateClaim Own = claimOf(Core.self());
  if (Claim.Process.Incarnation > Own.Process.Incarnation) {
    Core.Superseded = true;
    return;
  }
  if (!supersedes(Claim, Own))
    return;
  ++Core.Counters.Refutations;
  Core.Health.worsen();
  changeSelf(Own.State, Claim.StateVersion + 1);
}

void GossipProtocol::State::changeSelf(MemberState State,
                                       std::uint32_t Version) {
  StateClaim Claim = claimOf(Core.self());
  Claim.State = State;
  Claim.StateVersion = Version;
  Core.Table.merge(Claim, Core.Now);
  Core.Broadcasts.add(Core.Settings.Self.Instance, false);
  Urgent.add(Core.Settings.Self.Instance);
}

void GossipProtocol::State::mergeSender(const Datagram &Message,
                                        const base::Endpoint &From) {
  const base::ProcessId &Process = Message.Sender.Process;
  merge(Message.Sender);
  onHeardFrom(Process);
  Core.Table.raiseAppliedOffset(Process, Message.AppliedOffset);
  const bool RequestedByAck = Message.Kind == DatagramKind::Ping;
  if (!isUnknown(Process) || RequestedByAck)
    return;
  Datagram Request = Core.makeDatagram(DatagramKind::Push, 0);
  Request.WantRecord = true;
  Request.Records.push_back(Core.self());
  Core.sendWithoutUpdates(std::move(Request), From);
}

void GossipProtocol::State::onPing(const Datagram &Message,
                                   const base::Endpoint &From) {
  Datagram Reply = Core.makeDatagram(DatagramKind::Ack, Message.Sequence);
  Reply.WantRecord = isUnknown(Message.Sender.Process);
  if (Message.WantRecord || Reply.WantRecord)
    Reply.Records.push_back(Core.self());
  // Informs the process if a newer process of its instance has replaced it.
  const MemberEntry *Entry = Core.Table.find(Message.Sender.Process.Instance);
  if (Entry && Entry->Record.Incarnation > Message.Sender.Process.Incarnation)
    Reply.Claims.push_back(claimOf(Entry->Record));
  Core.send(std::move(Reply), From, Message.Sender.Process.Instance);
}

std::size_t GossipProtocol::State::mergeUpdates(const Datagram &Message) {
  std::size_t Merged = 0;
  const auto Count = [&Merged](MergeResult Result) {
    Merged += Result == MergeResult::Added || Result == MergeResult::Changed;
  };
  for (const Member &Record : Message.Records) {
    Count(merge(Record));
    queueCorrection(claimOf(Record));
  }
  for (const StateClaim &Claim : Message.Claims) {
    Count(merge(Claim));
    queueCorrection(Claim);
  }
  return Merged;
}

// Queues a claim to send back if the received one names a member as present
// that is draining or has stopped. A sender that was paused or cut off may have
// missed this and would spread the old state to daemons that started since.
void GossipProtocol::State::queueCorrection(const StateClaim &Claim) {
  if (Corrections.size() >= kMaxCorrections)
    return;
  const MemberEntry *Entry = Core.Table.find(Claim.Process.Instance);
  if (!Entry)
    return;
  const StateClaim Known = claimOf(Entry->Record);
  const bool Leaving = Known.State == MemberState::Draining ||
                       Known.State == MemberState::Stopped;
  if (Leaving && isPresent(Claim.State) && supersedes(Known, Claim))
    Corrections.push_back(Known);
}

void GossipProtocol::State::sendCorrections(const base::Endpoint &To) {
  if (Corrections.empty())
    return;
  Datagram Message = Core.makeDatagram(DatagramKind::Push, 0);
  Message.Claims = std::exchange(Corrections, {});
  Core.sendWithoutUpdates(std::move(Message), To);
}

void GossipProtocol::State::dispatch(const Datagram &Message,
                                     const base::Endpoint &From) {
  switch (Message.Kind) {
  case DatagramKind::Ping:
    onPing(Message, From);
    return;
  case DatagramKind::Ack:
  case DatagramKind::RelayedAck:
    if (Probes.onAck(Message))
      onHeardFrom(Message.Kind == DatagramKind::Ack ? Message.Sender.Process
                                                    : Message.TargetProcess);
    break;
  case DatagramKind::Nack:
    Probes.onNack(Message);
    break;
  case DatagramKind::PingRequest:
    Probes.onPingRequest(Message, From);
    break;
  case DatagramKind::SyncRequest:
    Sync.onRequest(Message, From);
    break;
  case DatagramKind::Push:
  case DatagramKind::SyncReply:
  case DatagramKind::LogConfirmation:
    break;
  }
  if (!Message.WantRecord)
    return;
  Datagram Reply = Core.makeDatagram(DatagramKind::Push, 0);
  Reply.Records.push_back(Core.self());
  Core.sendWithoutUpdates(std::move(Reply), From);
}

void GossipProtocol::State::onHeardFrom(const base::ProcessId &Process) {
  Core.Table.setSilent(Process, false);
  const MemberEntry *Entry = Core.Table.find(Process.Instance);
  if (Entry && Entry->Record.process() == Process &&
      Entry->Record.State == MemberState::Draining)
    Suspicions.stop(Process.Instance);
}

void GossipProtocol::State::onProbeFailed(const base::ProcessId &Process) {
  const MemberEntry *Entry = Core.Table.find(Process.Instance);
  if (!Entry || Entry->Record.process() != Process)
    return;
  StateClaim Claim = claimOf(Entry->Record);
  Core.Table.setSilent(Process, true);
  // Draining takes precedence over suspect, so a suspicion cannot spread and
  // only this daemon's own timer runs. The member cannot refute a suspicion
  // that it does not receive, so it is probed until the timer expires.
  if (Claim.State == MemberState::Draining) {
    Suspicions.start(Claim);
    Probes.probeNext(Process);
    return;
  }
  if (Claim.State != MemberState::Alive)
    return;
  ++Core.Counters.Suspicions;
  Claim.State = MemberState::Suspect;
  merge(Claim);
}

} // namespace membership
