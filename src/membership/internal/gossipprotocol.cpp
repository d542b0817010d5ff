#include "membership/gossipprotocol.h"

#include "membership/internal/contactlist.h"
#include "membership/internal/gossipcore.h"
#include "membership/internal/prober.h"
#include "membership/internal/suspicions.h"
#include "membership/internal/urgentpush.h"
#include "membership/internal/viewsync.h"

#include <algorithm>
#include <utility>

namespace membership {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kForgetPeriod = 1s;

// Claims in one datagram of corrections; it must respect `kMaxEncodedBytes`
// with names of any length.
constexpr std::size_t kMaxCorrections = 10;

} // namespace

struct GossipProtocol::State {
  explicit State(GossipSettings Settings) : Core(std::move(Settings)) {}

  void updateClock(base::BootTime Now, bool Tick);
  void mergeSender(const Datagram &Message, const base::PeerAddress &From);
  void dispatch(const Datagram &Message, const base::PeerAddress &From);
  void answerPing(const Datagram &Message, const base::PeerAddress &From);
  std::size_t mergeNews(const Datagram &Message);
  void noteOutdated(const StateClaim &Claim);
  void sendCorrections(const base::PeerAddress &To);
  bool isUnknown(const base::ProcessId &Process) const;
  MergeResult merge(const Member &Record);
  MergeResult merge(const StateClaim &Claim);
  void refute(const StateClaim &Claim);
  void changeSelf(MemberState State, std::uint32_t Version);
  void afterMerge(MergeResult Result, const base::InstanceId &Instance,
                  std::optional<MemberState> Before);
  std::optional<MemberState> stateOf(const base::InstanceId &Instance) const;
  void onProbeFailed(const base::ProcessId &Process);
  void heardFrom(const base::ProcessId &Process);
  std::vector<Outgoing> takeOutbox();

  GossipCore Core;
  Prober Probes{Core};
  Suspicions Suspected{Core};
  UrgentPush Urgent{Core};
  ContactList Contacts{Core};
  ViewSync Sync{Core};
  base::BootTime LastTick;
  base::BootTime RunningAtTick;
  base::BootTime NextForget;
  /// The current datagram is a reply to a request for members.
  bool InReply = false;
  /// What the sender of the current datagram does not know yet.
  std::vector<StateClaim> Corrections;
};

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

std::vector<Outgoing> GossipProtocol::State::takeOutbox() {
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

GossipProtocol::GossipProtocol(GossipSettings Settings, base::BootTime Now)
    : Impl(std::make_unique<State>(std::move(Settings))) {
  Impl->LastTick = Now;
  Impl->RunningAtTick = Now;
  Impl->Core.Now = Now;
  Impl->Core.Table.merge(Impl->Core.Settings.Self, Now);
  Impl->Core.Broadcasts.add(Impl->Core.Settings.Self.Instance, true);
  Impl->Sync.refresh();
}

GossipProtocol::~GossipProtocol() = default;

std::vector<Outgoing> GossipProtocol::tick(base::BootTime Now) {
  State &S = *Impl;
  S.updateClock(Now, true);
  if (const auto Failed = S.Probes.tick())
    S.onProbeFailed(*Failed);
  for (const StateClaim &Claim : S.Suspected.takeExpired()) {
    ++S.Core.Counters.Deaths;
    S.merge(Claim);
  }
  S.Contacts.tick();
  S.Sync.tick();
  if (S.Core.Now >= S.NextForget) {
    S.NextForget = S.Core.Now + kForgetPeriod;
    S.Core.Table.forgetOld(S.Core.Now);
  }
  return S.takeOutbox();
}

std::vector<Outgoing> GossipProtocol::receive(const Datagram &Message,
                                              const base::PeerAddress &From,
                                              base::BootTime Now) {
  State &S = *Impl;
  S.updateClock(Now, false);
  ++S.Core.Counters.DatagramsReceived;
  if (Message.Sender.Process.Instance.empty() ||
      Message.Sender.Process == S.Core.self().process())
    return S.takeOutbox();
  S.InReply = Message.Kind == DatagramKind::SyncReply;
  const std::size_t News = S.mergeNews(Message);
  S.InReply = false;
  S.mergeSender(Message, From);
  S.dispatch(Message, From);
  if (Message.Kind == DatagramKind::SyncReply)
    S.Sync.onReply(News);
  S.Sync.onDigest(Message, From);
  S.sendCorrections(From);
  return S.takeOutbox();
}

std::vector<Outgoing> GossipProtocol::changeOwnState(MemberState State) {
  const Member &Own = Impl->Core.self();
  const bool Leaving =
      State == MemberState::Draining || State == MemberState::Stopped;
  if (Leaving && State > Own.State)
    Impl->changeSelf(State, Own.StateVersion + 1);
  return Impl->takeOutbox();
}

std::vector<Outgoing> GossipProtocol::setAppliedOffset(base::LogOffset Offset) {
  GossipCore &Core = Impl->Core;
  if (Offset > Core.Applied) {
    Core.Applied = Offset;
    Core.Table.noteOffset(Core.self().process(), Offset);
    Impl->Urgent.addOffset();
  }
  return Impl->takeOutbox();
}

void GossipProtocol::mergeAnnounced(const Member &Announced) {
  if (Announced.Instance == self().Instance)
    return;
  if (members().find(Announced.Instance))
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

std::optional<OffsetSource> GossipProtocol::newerOffset() const {
  std::optional<OffsetSource> Best;
  base::LogOffset Highest = Impl->Core.Applied;
  if (members().highestOffset() <= Highest)
    return Best;
  for (const MemberEntry &Entry : members().entries()) {
    const Member &Record = Entry.Record;
    if (Record.AppliedOffset <= Highest || !isUsable(Record.process()))
      continue;
    Highest = Record.AppliedOffset;
    Best = OffsetSource{Highest, Record.process(), Record.Peer};
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
