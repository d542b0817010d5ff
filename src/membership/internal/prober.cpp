#include "membership/internal/prober.h"

#include <algorithm>

namespace membership {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kProbePeriod = 1s;

// A round trip between regions takes 60 ms; the rest allows for queueing.
constexpr base::Duration kDirectTimeout = 300ms;

// Maximum number of pings on behalf of others that are in flight.
constexpr std::size_t kMaxRelays = 64;

// Number of members asked to ping a process that has not acknowledged the
// direct ping.
constexpr std::size_t kIndirectHelpers = 3;

// One in this many probes goes to another data centre.
constexpr unsigned kProbesPerRemoteProbe = 4;

// Maximum number of probes queued by `probeNext`.
constexpr std::size_t kMaxPriorityTargets = 16;

} // namespace

std::optional<base::ProcessId> Prober::tick() {
  expireRelays();
  std::optional<base::ProcessId> Failed;
  if (Current && Current->Acked)
    Current.reset();
  if (Current && !Current->Indirect && Core.Now >= Current->IndirectAt)
    startIndirectProbe();
  if (Current && Core.Now >= Current->Deadline)
    Failed = failProbe();
  if (!Current && Core.Now >= NextProbe)
    startProbe();
  return Failed;
}

bool Prober::isProbeTarget(const Member &Record) const {
  return isPresent(Record.State) &&
         Record.Instance != Core.Settings.Self.Instance;
}

void Prober::addTarget(const Member &Record) {
  if (!isProbeTarget(Record))
    return;
  const bool Local = Record.DataCentre == Core.Settings.Self.DataCentre;
  ProbeOrder &Targets = Local ? LocalTargets : RemoteTargets;
  const std::size_t Rest = Targets.Instances.size() - Targets.Next;
  const std::size_t Position = Targets.Next + Core.randomBelow(Rest + 1);
  Targets.Instances.insert(Targets.Instances.begin() + std::ptrdiff_t(Position),
                           Record.Instance);
}

void Prober::probeNext(const base::ProcessId &Process) {
  const bool Known = std::find(PriorityTargets.begin(), PriorityTargets.end(),
                               Process) != PriorityTargets.end();
  if (!Known && PriorityTargets.size() < kMaxPriorityTargets)
    PriorityTargets.push_back(Process);
}

void Prober::refill(ProbeOrder &Targets, bool Local) {
  Targets.Instances.clear();
  Targets.Next = 0;
  for (const MemberEntry &Entry : Core.Table.entries()) {
    const Member &Record = Entry.Record;
    const bool IsLocal = Record.DataCentre == Core.Settings.Self.DataCentre;
    if (IsLocal == Local && isProbeTarget(Record))
      Targets.Instances.push_back(Record.Instance);
  }
  std::shuffle(Targets.Instances.begin(), Targets.Instances.end(), Core.Random);
}

const MemberEntry *Prober::nextFrom(ProbeOrder &Targets, bool Local) {
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (Targets.Next < Targets.Instances.size()) {
      const base::InstanceId &Instance = Targets.Instances[Targets.Next++];
      const MemberEntry *Entry = Core.Table.find(Instance);
      if (Entry && isProbeTarget(Entry->Record))
        return Entry;
    }
    refill(Targets, Local);
  }
  return nullptr;
}

const MemberEntry *Prober::nextTarget() {
  while (!PriorityTargets.empty()) {
    const base::ProcessId Process = PriorityTargets.front();
    PriorityTargets.pop_front();
    const MemberEntry *Entry = Core.Table.find(Process.Instance);
    if (Entry && Entry->Record.process() == Process &&
        isProbeTarget(Entry->Record))
      return Entry;
  }
  const bool Remote = ++ProbeCount % kProbesPerRemoteProbe == 0;
  const MemberEntry *Entry =
      Remote ? nextFrom(RemoteTargets, false) : nextFrom(LocalTargets, true);
  if (Entry)
    return Entry;
  return Remote ? nextFrom(LocalTargets, true) : nextFrom(RemoteTargets, false);
}

void Prober::ping(const Member &Record, std::uint32_t Sequence) {
  Core.send(Core.makeDatagram(DatagramKind::Ping, Sequence), Record.Peer,
            Record.Instance);
}

void Prober::startProbe() {
  NextProbe = Core.Now + kProbePeriod;
  const MemberEntry *Entry = nextTarget();
  if (!Entry)
    return;
  Probe NewProbe;
  NewProbe.Process = Entry->Record.process();
  NewProbe.Sequence = ++Core.LastSequence;
  NewProbe.StartTime = Core.Now;
  NewProbe.IndirectAt = Core.Now + Core.Health.scale(kDirectTimeout);
  NewProbe.Deadline = Core.Now + Core.Health.scale(kProbePeriod);
  Current = NewProbe;
  ++Core.Counters.ProbesSent;
  ping(Entry->Record, NewProbe.Sequence);
}

// The direct ping is repeated as well, since the loss of one datagram is the
// most frequent cause of a missing ack.
void Prober::startIndirectProbe() {
  Current->Indirect = true;
  const MemberEntry *Target = Core.Table.find(Current->Process.Instance);
  if (!Target || Target->Record.process() != Current->Process)
    return;
  const Member Record = Target->Record;
  const auto Helpers = Core.randomPeers(kIndirectHelpers, Record.Instance);
  Current->Helpers = Helpers.size();
  for (const MemberEntry *Helper : Helpers) {
    Datagram Request =
        Core.makeDatagram(DatagramKind::PingRequest, Current->Sequence);
    Request.TargetProcess = Record.process();
    Request.TargetPeer = Record.Peer;
    Core.send(Request, Helper->Record.Peer, Helper->Record.Instance);
  }
  ping(Record, Current->Sequence);
  Core.Table.setSilent(Record.process(), true);
}

std::optional<base::ProcessId> Prober::failProbe() {
  const Probe Failed = *Current;
  Current.reset();
  ++Core.Counters.ProbesFailed;
  // If no helper replied either, the fault may be on this side.
  if (Failed.Helpers > 0 && Failed.Nacks == 0)
    Core.Health.worsen();
  return Failed.Process;
}

bool Prober::onAck(const Datagram &Message) {
  const auto Found = Relays.find(Message.Sequence);
  if (Found != Relays.end() &&
      Found->second.Process == Message.Sender.Process) {
    const Relay Finished = Found->second;
    Relays.erase(Found);
    Datagram Reply =
        Core.makeDatagram(DatagramKind::RelayedAck, Finished.Sequence);
    Reply.TargetProcess = Finished.Process;
    Core.send(Reply, Finished.RequesterPeer, Finished.Requester.Instance);
    return true;
  }
  const bool Relayed = Message.Kind == DatagramKind::RelayedAck;
  const base::ProcessId &Process =
      Relayed ? Message.TargetProcess : Message.Sender.Process;
  if (!Current || Current->Sequence != Message.Sequence ||
      Current->Process != Process)
    return false;
  if (!Current->Acked)
    Core.Health.improve();
  Current->Acked = true;
  return true;
}

void Prober::onNack(const Datagram &Message) {
  if (Current && Current->Sequence == Message.Sequence)
    ++Current->Nacks;
}

void Prober::onPingRequest(const Datagram &Message,
                           const base::Endpoint &From) {
  if (Relays.size() >= kMaxRelays || Message.TargetProcess.Instance.empty())
    return;
  Relay NewRelay;
  NewRelay.Sequence = Message.Sequence;
  NewRelay.Process = Message.TargetProcess;
  NewRelay.Requester = Message.Sender.Process;
  NewRelay.RequesterPeer = From;
  NewRelay.Deadline = Core.Now + kDirectTimeout;
  const std::uint32_t Sequence = ++Core.LastSequence;
  Relays[Sequence] = NewRelay;
  Core.send(Core.makeDatagram(DatagramKind::Ping, Sequence), Message.TargetPeer,
            Message.TargetProcess.Instance);
}

void Prober::expireRelays() {
  for (auto Position = Relays.begin(); Position != Relays.end();) {
    const Relay &Item = Position->second;
    if (Core.Now < Item.Deadline) {
      ++Position;
      continue;
    }
    Datagram Reply = Core.makeDatagram(DatagramKind::Nack, Item.Sequence);
    Reply.TargetProcess = Item.Process;
    Core.send(Reply, Item.RequesterPeer, Item.Requester.Instance);
    Position = Relays.erase(Position);
  }
}

} // namespace membership
