#include "membership/internal/prober.h"

#include <algorithm>

namespace membership {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kProbePeriod = 1s;

// A round trip between regions takes 60 ms; the rest allows for queueing.
constexpr base::Duration kDirectTimeout = 300ms;

// Bound on pings on behalf of others that are in flight.
constexpr std::size_t kMaxRelays = 64;

constexpr std::size_t kIndirectHelpers = 3;

// One probe of this many goes to another data centre.
constexpr unsigned kProbesPerRemoteProbe = 4;

// Bound on probes asked for by `probeNext`.
constexpr std::size_t kMaxRequested = 16;

} // namespace

std::optional<base::ProcessId> Prober::tick() {
  expireRelays();
  std::optional<base::ProcessId> Failed;
  if (Current && Current->Answered)
    Current.reset();
  if (Current && !Current->Indirect && Core.Now >= Current->IndirectAt)
    startIndirect();
  if (Current && Core.Now >= Current->Deadline)
    Failed = finishProbe();
  if (!Current && Core.Now >= NextProbe)
    startProbe();
  return Failed;
}

bool Prober::isProbed(const Member &Record) const {
  return isPresent(Record.State) &&
         Record.Instance != Core.Settings.Self.Instance;
}

void Prober::addTarget(const Member &Record) {
  if (!isProbed(Record))
    return;
  const bool Own = Record.DataCentre == Core.Settings.Self.DataCentre;
  Ring &Targets = Own ? OwnCentre : OtherCentres;
  const std::size_t Rest = Targets.Order.size() - Targets.Next;
  const std::size_t Position = Targets.Next + Core.randomBelow(Rest + 1);
  Targets.Order.insert(Targets.Order.begin() + std::ptrdiff_t(Position),
                       Record.Instance);
}

void Prober::probeNext(const base::ProcessId &Process) {
  const bool Known =
      std::find(Requested.begin(), Requested.end(), Process) != Requested.end();
  if (!Known && Requested.size() < kMaxRequested)
    Requested.push_back(Process);
}

void Prober::refill(Ring &Targets, bool Own) {
  Targets.Order.clear();
  Targets.Next = 0;
  for (const MemberEntry &Entry : Core.Table.entries()) {
    const Member &Record = Entry.Record;
    const bool Local = Record.DataCentre == Core.Settings.Self.DataCentre;
    if (Local == Own && isProbed(Record))
      Targets.Order.push_back(Record.Instance);
  }
  std::shuffle(Targets.Order.begin(), Targets.Order.end(), Core.Random);
}

const MemberEntry *Prober::nextOf(Ring &Targets, bool Own) {
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (Targets.Next < Targets.Order.size()) {
      const base::InstanceId &Instance = Targets.Order[Targets.Next++];
      const MemberEntry *Entry = Core.Table.find(Instance);
      if (Entry && isProbed(Entry->Record))
        return Entry;
    }
    refill(Targets, Own);
  }
  return nullptr;
}

const MemberEntry *Prober::nextTarget() {
  while (!Requested.empty()) {
    const base::ProcessId Process = Requested.front();
    Requested.pop_front();
    const MemberEntry *Entry = Core.Table.find(Process.Instance);
    if (Entry && Entry->Record.process() == Process && isProbed(Entry->Record))
      return Entry;
  }
  const bool Remote = ++ProbeCount % kProbesPerRemoteProbe == 0;
  const MemberEntry *Entry =
      Remote ? nextOf(OtherCentres, false) : nextOf(OwnCentre, true);
  if (Entry)
    return Entry;
  return Remote ? nextOf(OwnCentre, true) : nextOf(OtherCentres, false);
}

void Prober::ping(const Member &Record, std::uint32_t Sequence) {
  Core.send(Core.make(DatagramKind::Ping, Sequence), Record.Peer,
            Record.Instance);
}

void Prober::startProbe() {
  NextProbe = Core.Now + kProbePeriod;
  const MemberEntry *Entry = nextTarget();
  if (!Entry)
    return;
  Probe Started;
  Started.Process = Entry->Record.process();
  Started.Sequence = ++Core.LastSequence;
  Started.Started = Core.Now;
  Started.IndirectAt = Core.Now + Core.Health.scale(kDirectTimeout);
  Started.Deadline = Core.Now + Core.Health.scale(kProbePeriod);
  Current = Started;
  ++Core.Counters.ProbesSent;
  ping(Entry->Record, Started.Sequence);
}

// The direct ping is repeated as well, since loss of one datagram is the most
// frequent reason for a missing answer.
void Prober::startIndirect() {
  Current->Indirect = true;
  const MemberEntry *Target = Core.Table.find(Current->Process.Instance);
  if (!Target || Target->Record.process() != Current->Process)
    return;
  const Member Record = Target->Record;
  const auto Helpers = Core.randomPeers(kIndirectHelpers, Record.Instance);
  Current->Helpers = Helpers.size();
  for (const MemberEntry *Helper : Helpers) {
    Datagram Request = Core.make(DatagramKind::PingRequest, Current->Sequence);
    Request.TargetProcess = Record.process();
    Request.TargetPeer = Record.Peer;
    Core.send(Request, Helper->Record.Peer, Helper->Record.Instance);
  }
  ping(Record, Current->Sequence);
  Core.Table.setSilent(Record.process(), true);
}

std::optional<base::ProcessId> Prober::finishProbe() {
  const Probe Ended = *Current;
  Current.reset();
  ++Core.Counters.ProbesFailed;
  // If not even the helpers answered, the fault may be on this side.
  if (Ended.Helpers > 0 && Ended.Nacks == 0)
    Core.Health.worsen();
  return Ended.Process;
}

bool Prober::onAck(const Datagram &Message) {
  const auto Found = Relays.find(Message.Sequence);
  if (Found != Relays.end() &&
      Found->second.Process == Message.Sender.Process) {
    const Relay Done = Found->second;
    Relays.erase(Found);
    Datagram Answer = Core.make(DatagramKind::RelayedAck, Done.Sequence);
    Answer.TargetProcess = Done.Process;
    Core.send(Answer, Done.RequesterPeer, Done.Requester.Instance);
    return true;
  }
  const bool Relayed = Message.Kind == DatagramKind::RelayedAck;
  const base::ProcessId &Process =
      Relayed ? Message.TargetProcess : Message.Sender.Process;
  if (!Current || Current->Sequence != Message.Sequence ||
      Current->Process != Process)
    return false;
  if (!Current->Answered)
    Core.Health.improve();
  Current->Answered = true;
  return true;
}

void Prober::onNack(const Datagram &Message) {
  if (Current && Current->Sequence == Message.Sequence)
    ++Current->Nacks;
}

void Prober::onPingRequest(const Datagram &Message,
                           const base::PeerAddress &From) {
  if (Relays.size() >= kMaxRelays || Message.TargetProcess.Instance.empty())
    return;
  Relay Started;
  Started.Sequence = Message.Sequence;
  Started.Process = Message.TargetProcess;
  Started.Requester = Message.Sender.Process;
  Started.RequesterPeer = From;
  Started.Deadline = Core.Now + kDirectTimeout;
  const std::uint32_t Sequence = ++Core.LastSequence;
  Relays[Sequence] = Started;
  Core.send(Core.make(DatagramKind::Ping, Sequence), Message.TargetPeer,
            Message.TargetProcess.Instance);
}

void Prober::expireRelays() {
  for (auto Position = Relays.begin(); Position != Relays.end();) {
    const Relay &Item = Position->second;
    if (Core.Now < Item.Deadline) {
      ++Position;
      continue;
    }
    Datagram Answer = Core.make(DatagramKind::Nack, Item.Sequence);
    Answer.TargetProcess = Item.Process;
    Core.send(Answer, Item.RequesterPeer, Item.Requester.Instance);
    Position = Relays.erase(Position);
  }
}

} // namespace membership
