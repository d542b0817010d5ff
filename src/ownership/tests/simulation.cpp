#include "ownership/tests/simulation.h"

#include <algorithm>

namespace ownership {

using namespace std::chrono_literals;

namespace {

constexpr int kInstances = 6;
constexpr base::Duration kStep = 50ms;
const base::DataCentreId kDataCentre("d");

} // namespace

Simulation::Simulation(std::uint64_t Seed)
    : Random(Seed), StartedAt(Clock.now()) {
  for (int InstanceIndex = 0; InstanceIndex < kInstances; ++InstanceIndex)
    startProcess(InstanceIndex);
}

bool Simulation::randomBool(double Probability) {
  return std::bernoulli_distribution(Probability)(Random);
}

base::Duration Simulation::randomDuration(base::Duration Limit) {
  return base::Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random));
}

bool Simulation::isRunning(const SimulatedProcess &Process) const {
  return Process.Alive && Process.PausedUntil <= Clock.now();
}

void Simulation::schedule(base::Duration Delay,
                          SimulatedProcess *RequiredProcess,
                          std::function<void()> Run) {
  Events.push_back({Clock.now() + Delay, RequiredProcess, std::move(Run)});
}

// Runs the events that are due, in random order. Events of paused processes are
// postponed.
void Simulation::runEvents() {
  std::vector<PlannedEvent> Due;
  std::erase_if(Events, [&](PlannedEvent &Event) {
    if (Event.RequiredProcess && !Event.RequiredProcess->Alive)
      return true;
    if (Event.At > Clock.now() ||
        (Event.RequiredProcess && !isRunning(*Event.RequiredProcess)))
      return false;
    Due.push_back(std::move(Event));
    return true;
  });
  std::shuffle(Due.begin(), Due.end(), Random);
  for (PlannedEvent &Event : Due) {
    Event.Run();
    checkSingleOwner();
  }
}

void Simulation::startProcess(int InstanceIndex) {
  auto Process = std::make_unique<SimulatedProcess>();
  Process->InstanceIndex = InstanceIndex;
  Process->Id = {base::InstanceId("i" + std::to_string(InstanceIndex)),
                 base::Incarnation(++LastIncarnation)};
  Process->Ownership = std::make_unique<ShardOwnership>(
      Clock, Process->State, Process->Id, kDataCentre);
  Processes.push_back(std::move(Process));
}

void Simulation::pause(SimulatedProcess &Process) {
  const base::Duration Length =
      randomBool(0.5) ? randomDuration(4s) : randomDuration(40s);
  Process.PausedUntil = Clock.now() + Length;
  if (Length < kOwnershipValidity + 1s || Process.EndsAt || randomBool(0.5))
    return;
  // A newer process starts at the same address while this one is paused.
  Process.EndsAt = Process.PausedUntil + randomDuration(60s);
  schedule(randomDuration(Length), nullptr,
           [this, InstanceIndex = Process.InstanceIndex] {
             startProcess(InstanceIndex);
           });
}

// Isolates two processes from the log and from all other processes, but not
// from each other.
void Simulation::isolatePair(int First, int Second) {
  const base::BootTime Until = Clock.now() + 10s + randomDuration(40s);
  for (int Isolated : {First, Second}) {
    LogUnreachableUntil[Isolated] = Until;
    for (int Other = 0; Other < kInstances; ++Other) {
      if (Other == First || Other == Second)
        continue;
      LinkDownUntil[{Isolated, Other}] = Until;
      LinkDownUntil[{Other, Isolated}] = Until;
    }
  }
}

void Simulation::isolateAfterRenewal(const SimulatedProcess &Owner,
                                     const OwnershipClaim &Claim) {
  for (const ClaimedShard &Claimed : Claim.Shards) {
    const ShardEntry *Entry = Owner.State.find(Claimed.Shard);
    if (Claimed.Basis != ClaimBasis::Renew || !Entry || !Entry->Successor)
      continue;
    for (const auto &Other : Processes) {
      if (Other->Id == *Entry->Successor)
        isolatePair(Owner.InstanceIndex, Other->InstanceIndex);
    }
    return;
  }
}

void Simulation::startFaults() {
  if (randomBool(0.0003))
    LogOutageUntil = Clock.now() + randomDuration(60s);
  if (randomBool(0.002))
    LogUnreachableUntil[static_cast<int>(Random() % kInstances)] =
        Clock.now() + randomDuration(40s);
  if (randomBool(0.003))
    LinkDownUntil[{static_cast<int>(Random() % kInstances),
                   static_cast<int>(Random() % kInstances)}] =
        Clock.now() + randomDuration(40s);
  if (randomBool(0.003))
    isolatePair(static_cast<int>(Random() % kInstances),
                static_cast<int>(Random() % kInstances));
  for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
    SimulatedProcess &Process = *Processes[Index];
    if (!isRunning(Process))
      continue;
    if (randomBool(0.0005)) {
      pause(Process);
    } else if (!Process.EndsAt && randomBool(0.0003)) {
      Process.Alive = false;
      schedule(randomDuration(30s), nullptr,
               [this, InstanceIndex = Process.InstanceIndex] {
                 startProcess(InstanceIndex);
               });
    } else if (!Process.EndsAt && randomBool(0.0003)) {
      Process.Ownership->stop();
      Process.EndsAt = Clock.now() + 10s;
      schedule(12s, nullptr, [this, InstanceIndex = Process.InstanceIndex] {
        startProcess(InstanceIndex);
      });
    }
  }
}

void Simulation::endFaults() {
  LogOutageUntil = Clock.now();
  LogUnreachableUntil.clear();
  LinkDownUntil.clear();
}

void Simulation::append(OwnershipRecord Record) {
  if (InjectingFaults && randomBool(0.15))
    return;
  const base::Duration Delay = InjectingFaults && randomBool(0.3)
                                   ? randomDuration(20s)
                                   : randomDuration(500ms);
  schedule(Delay, nullptr, [this, Record = std::move(Record)] {
    if (Clock.now() >= LogOutageUntil)
      Log.push_back(Record);
  });
}

void Simulation::applyUpTo(SimulatedProcess &Process, std::size_t EndCount) {
  while (Process.AppliedRecords < EndCount) {
    const OwnershipRecord &Record = Log[Process.AppliedRecords];
    const base::LogOffset Offset(++Process.AppliedRecords);
    std::visit([&](const auto &Item) { Process.State.apply(Offset, Item); },
               Record);
  }
  Process.Ownership->onRecordsApplied(base::LogOffset(Process.AppliedRecords));
}

void Simulation::readLog(SimulatedProcess &Process) {
  const base::BootTime SentAt = Clock.now();
  schedule(randomDuration(400ms), nullptr, [this, SentAt, Reader = &Process] {
    if (Clock.now() < LogOutageUntil ||
        Clock.now() < LogUnreachableUntil[Reader->InstanceIndex] ||
        randomBool(0.1))
      return;
    const std::size_t End = Log.size();
    schedule(randomDuration(400ms), Reader, [this, SentAt, Reader, End] {
      applyUpTo(*Reader, End);
      Reader->Ownership->onLogReadCompleted(SentAt, base::LogOffset(End));
    });
  });
}

void Simulation::copyStateFromPeer(SimulatedProcess &Process) {
  const SimulatedProcess &Peer = *Processes[Random() % Processes.size()];
  if (!isRunning(Peer) ||
      Clock.now() < LinkDownUntil[{Peer.InstanceIndex, Process.InstanceIndex}])
    return;
  schedule(randomDuration(500ms), &Process,
           [this, Fetcher = &Process, End = Peer.AppliedRecords] {
             applyUpTo(*Fetcher, End);
           });
}

// Delivers to a process at the address; to a random one if there are two.
void Simulation::deliver(int FromIndex, const base::InstanceId &To,
                         const std::function<void(SimulatedProcess &)> &Run) {
  std::vector<SimulatedProcess *> Targets;
  for (auto &Process : Processes) {
    if (Process->Alive && Process->Id.Instance == To)
      Targets.push_back(Process.get());
  }
  if (Targets.empty() || randomBool(0.1))
    return;
  SimulatedProcess *Target = Targets[Random() % Targets.size()];
  if (Clock.now() < LinkDownUntil[{FromIndex, Target->InstanceIndex}])
    return;
  const base::Duration Delay =
      randomBool(0.05) ? randomDuration(8s) : randomDuration(100ms);
  for (int Copy = randomBool(0.05) ? 2 : 1; Copy > 0; --Copy)
    schedule(Delay, Target, [Run, Target] { Run(*Target); });
}

void Simulation::send(SimulatedProcess &From, const SuccessorPing &Ping) {
  deliver(From.InstanceIndex, Ping.To.Instance,
          [this, Ping](SimulatedProcess &Receiver) {
            const auto Ack = Receiver.Ownership->onPing(Ping);
            if (!Ack)
              return;
            deliver(Receiver.InstanceIndex, Ack->To.Instance,
                    [Ack](SimulatedProcess &Owner) {
                      Owner.Ownership->onAck(*Ack);
                    });
          });
}

void Simulation::updateOwnerCandidates() {
  for (auto &Process : Processes) {
    if (!isRunning(*Process) || randomBool(0.2))
      continue;
    // The list may wrongly omit a running process.
    std::vector<base::ProcessId> Candidates;
    for (const auto &Other : Processes) {
      if (isRunning(*Other) &&
          Clock.now() >=
              LinkDownUntil[{Other->InstanceIndex, Process->InstanceIndex}] &&
          !randomBool(0.01))
        Candidates.push_back(Other->Id);
    }
    Process->Ownership->setCandidates(std::move(Candidates));
  }
}

void Simulation::tickProcesses() {
  for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
    SimulatedProcess &Process = *Processes[Index];
    if (Process.EndsAt && Clock.now() >= *Process.EndsAt)
      Process.Alive = false;
    if (!isRunning(Process))
      continue;
    OwnershipActions Actions = Process.Ownership->tick();
    // A process may be paused between a decision and the sending of its
    // message.
    for (OwnershipClaim &Claim : Actions.Claims) {
      if (InjectingFaults && randomBool(0.2))
        isolateAfterRenewal(Process, Claim);
      schedule(randomDuration(60ms), &Process,
               [this, Claim] { append(Claim); });
    }
    for (OwnershipRelease &Release : Actions.Releases)
      schedule(randomDuration(60ms), &Process,
               [this, Release] { append(Release); });
    for (const SuccessorPing &Ping : Actions.Pings)
      schedule(randomDuration(60ms), &Process,
               [this, &Process, Ping] { send(Process, Ping); });
    if (Actions.NeedsLogRead || (Process.InstanceIndex < 2 && randomBool(0.05)))
      readLog(Process);
    if (randomBool(0.05))
      copyStateFromPeer(Process);
  }
}

void Simulation::checkSingleOwner() {
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
    const SimulatedProcess *Owner = nullptr;
    for (const auto &Process : Processes) {
      if (!isRunning(*Process) ||
          !Process->Ownership->validOwnership({kDataCentre, Index}))
        continue;
      if (Owner && Violation.empty())
        Violation = "shard " + std::to_string(Index) + " at " +
                    std::to_string(elapsed() / 1ms) +
                    " ms: " + Owner->Id.Instance.str() + " and " +
                    Process->Id.Instance.str();
      Owner = Process.get();
    }
  }
}

std::size_t Simulation::validShardCount() const {
  std::size_t Count = 0;
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index)
    Count +=
        std::any_of(Processes.begin(), Processes.end(), [&](auto &Process) {
          return isRunning(*Process) &&
                 Process->Ownership->validOwnership({kDataCentre, Index});
        });
  return Count;
}

void Simulation::killOwner() {
  for (auto &Process : Processes) {
    if (Process->Ownership->validOwnership({kDataCentre, 0}))
      Process->Alive = false;
  }
}

void Simulation::step(bool InjectFaults) {
  Clock.advance(kStep);
  InjectingFaults = InjectFaults;
  // Requests may reach a process before its first tick after a pause.
  checkSingleOwner();
  if (InjectFaults)
    startFaults();
  else
    endFaults();
  if (randomBool(0.1))
    updateOwnerCandidates();
  runEvents();
  tickProcesses();
  checkSingleOwner();
}

} // namespace ownership
