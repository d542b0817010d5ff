#include "membership/internal/gossipstate.h"

#include <algorithm>
#include <utility>

namespace membership {

namespace {

// Claims in one datagram of corrections; it must respect `kMaxEncodedBytes`
// with names of any length.
constexpr std::size_t kMaxCorrections = 10;

} // namespace

// Between ticks, time advances with received datagrams as well, but by no more
// than the gap that a tick may count.
void GossipProtocol::State::updateClock(base::BootTime Now, bool Tick) {
  const base::Duration Gap = std::max(Now - LastTick, base::Duration::zero());
  Core.Now = RunningAtTick + std::min<base::Duration>(Gap, kMaxTickGap);
  if (!Tick)
    return;
  LastTick = Now;
  RunningAtTick = Core.Now;
  if (Gap <= kMaxTickGap)
    return;
  ++Core.Counters.Freezes;
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
    return Entry->Record.Epoch < Process.Epoch;
  const Tombstone *Last = Core.Table.tombstone(Process.Instance);
  return !Last || Last->Claim.Process.Epoch < Process.Epoch;
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

// News about a member: it is piggybacked, and pushed at once if routing must
// act on it or if it corrects a wrong suspicion.
void GossipProtocol::State::afterMerge(MergeResult Result,
                                       const base::InstanceId &Instance,
                                       std::optional<MemberState> Before) {
  if (Result != MergeResult::Added && Result != MergeResult::Changed)
    return;
  const Member &Record = Core.Table.find(Instance)->Record;
  // A member that came with a reply is news to this daemon only, as after a
  // join.
  if (Before || !InReply)
    Core.Broadcasts.add(Instance, Result == MergeResult::Added);
  if (Record.State == MemberState::Suspect)
    Suspected.start(claimOf(Record));
  else
    Suspected.stop(Instance);
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

// Only the member itself raises its state version, so a claim that would win
// against its own record is wrong.
void GossipProtocol::State::refute(const StateClaim &Claim) {
  const StateClaim Own = claimOf(Core.self());
  if (Claim.Process.Epoch > Own.Process.Epoch) {
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
                                        const base::PeerAddress &From) {
  const base::ProcessId &Process = Message.Sender.Process;
  merge(Message.Sender);
  heardFrom(Process);
  Core.Table.noteOffset(Process, Message.AppliedOffset);
  const bool Answered = Message.Kind == DatagramKind::Ping;
  if (!isUnknown(Process) || Answered)
    return;
  Datagram Question = Core.make(DatagramKind::Push, 0);
  Question.WantRecord = true;
  Question.Records.push_back(Core.self());
  Core.sendPlain(std::move(Question), From);
}

void GossipProtocol::State::answerPing(const Datagram &Message,
                                       const base::PeerAddress &From) {
  Datagram Answer = Core.make(DatagramKind::Ack, Message.Sequence);
  Answer.WantRecord = isUnknown(Message.Sender.Process);
  if (Message.WantRecord || Answer.WantRecord)
    Answer.Records.push_back(Core.self());
  // Tells a process that has been replaced so.
  const MemberEntry *Entry = Core.Table.find(Message.Sender.Process.Instance);
  if (Entry && Entry->Record.Epoch > Message.Sender.Process.Epoch)
    Answer.Claims.push_back(claimOf(Entry->Record));
  Core.send(std::move(Answer), From, Message.Sender.Process.Instance);
}

std::size_t GossipProtocol::State::mergeNews(const Datagram &Message) {
  std::size_t News = 0;
  const auto Count = [&News](MergeResult Result) {
    News += Result == MergeResult::Added || Result == MergeResult::Changed;
  };
  for (const Member &Record : Message.Records) {
    Count(merge(Record));
    noteOutdated(claimOf(Record));
  }
  for (const StateClaim &Claim : Message.Claims) {
    Count(merge(Claim));
    noteOutdated(Claim);
  }
  return News;
}

// A daemon that was paused or cut off may still hold a member alive that has
// left, and would bring it back in daemons that started since.
void GossipProtocol::State::noteOutdated(const StateClaim &Claim) {
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

void GossipProtocol::State::sendCorrections(const base::PeerAddress &To) {
  if (Corrections.empty())
    return;
  Datagram Message = Core.make(DatagramKind::Push, 0);
  Message.Claims = std::exchange(Corrections, {});
  Core.sendPlain(std::move(Message), To);
}

void GossipProtocol::State::dispatch(const Datagram &Message,
                                     const base::PeerAddress &From) {
  switch (Message.Kind) {
  case DatagramKind::Ping:
    answerPing(Message, From);
    return;
  case DatagramKind::Ack:
  case DatagramKind::RelayedAck:
    if (Probes.onAck(Message))
      heardFrom(Message.Kind == DatagramKind::Ack ? Message.Sender.Process
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
    break;
  }
  if (!Message.WantRecord)
    return;
  Datagram Answer = Core.make(DatagramKind::Push, 0);
  Answer.Records.push_back(Core.self());
  Core.sendPlain(std::move(Answer), From);
}

void GossipProtocol::State::heardFrom(const base::ProcessId &Process) {
  Core.Table.setSilent(Process, false);
  const MemberEntry *Entry = Core.Table.find(Process.Instance);
  if (Entry && Entry->Record.process() == Process &&
      Entry->Record.State == MemberState::Draining)
    Suspected.stop(Process.Instance);
}

void GossipProtocol::State::onProbeFailed(const base::ProcessId &Process) {
  const MemberEntry *Entry = Core.Table.find(Process.Instance);
  if (!Entry || Entry->Record.process() != Process)
    return;
  StateClaim Claim = claimOf(Entry->Record);
  Core.Table.setSilent(Process, true);
  // Draining outranks suspect, so only this daemon's own timer runs, and since
  // the member cannot refute what it is not told, it is probed until then.
  if (Claim.State == MemberState::Draining) {
    Suspected.start(Claim);
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
