#include "ownership/tests/simulation.h"

#include <algorithm>

namespace ownership {

using namespace std::chrono_literals;

namespace {

constexpr int kSlots = 6;
constexpr base::Duration kStep = 50ms;
const base::DataCentreId kHere("d");

} // namespace

ModelWorld::ModelWorld(std::uint64_t Seed) : Random(Seed), Began(Clock.now()) {
  for (int Slot = 0; Slot < kSlots; ++Slot)
    startProcess(Slot);
}

bool ModelWorld::chance(double Probability) {
  return std::bernoulli_distribution(Probability)(Random);
}

base::Duration ModelWorld::upTo(base::Duration Limit) {
  return base::Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random));
}

bool ModelWorld::runs(const ModelProcess &One) const {
  return One.Alive && One.FrozenUntil <= Clock.now();
}

void ModelWorld::later(base::Duration Delay, ModelProcess *On,
                       std::function<void()> Run) {
  Events.push_back({Clock.now() + Delay, On, std::move(Run)});
}

// Runs what is due in random order; events of frozen processes wait.
void ModelWorld::runEvents() {
  std::vector<PlannedEvent> Due;
  std::erase_if(Events, [&](PlannedEvent &One) {
    if (One.On && !One.On->Alive)
      return true;
    if (One.At > Clock.now() || (One.On && !runs(*One.On)))
      return false;
    Due.push_back(std::move(One));
    return true;
  });
  std::shuffle(Due.begin(), Due.end(), Random);
  for (PlannedEvent &One : Due) {
    One.Run();
    check();
  }
}

void ModelWorld::startProcess(int Slot) {
  auto Process = std::make_unique<ModelProcess>();
  Process->Slot = Slot;
  Process->Id = {base::InstanceId("i" + std::to_string(Slot)),
                 base::Incarnation(++LastEpoch)};
  Process->Shards = std::make_unique<ShardOwnership>(Clock, Process->State,
                                                     Process->Id, kHere);
  Processes.push_back(std::move(Process));
}

void ModelWorld::freeze(ModelProcess &One) {
  const base::Duration Length = chance(0.5) ? upTo(4s) : upTo(40s);
  One.FrozenUntil = Clock.now() + Length;
  if (Length < kOwnershipValidity + 1s || One.EndsAt || chance(0.5))
    return;
  // A newer process starts at the address while this one is suspended.
  One.EndsAt = One.FrozenUntil + upTo(60s);
  later(upTo(Length), nullptr, [this, Slot = One.Slot] { startProcess(Slot); });
}

// Cuts two processes off from the log and all others, but not from each other.
void ModelWorld::partition(int First, int Second) {
  const base::BootTime Until = Clock.now() + 10s + upTo(40s);
  for (int Inside : {First, Second}) {
    CutFromLogUntil[Inside] = Until;
    for (int Outside = 0; Outside < kSlots; ++Outside) {
      if (Outside == First || Outside == Second)
        continue;
      CutUntil[{Inside, Outside}] = Until;
      CutUntil[{Outside, Inside}] = Until;
    }
  }
}

// The owner and its old successor lose contact with all others just after the
// owner has appended a renewal, so that neither learns of the new successor.
void ModelWorld::partitionAroundRenewal(const ModelProcess &Owner,
                                        const OwnershipClaim &Claim) {
  for (const ClaimedShard &Claimed : Claim.Shards) {
    const ShardEntry *Entry = Owner.State.find(Claimed.Shard);
    if (Claimed.Basis != ClaimBasis::Renew || !Entry || !Entry->Successor)
      continue;
    for (const auto &Other : Processes) {
      if (Other->Id == *Entry->Successor)
        partition(Owner.Slot, Other->Slot);
    }
    return;
  }
}

void ModelWorld::startFaults() {
  if (chance(0.0003))
    OutageUntil = Clock.now() + upTo(60s);
  if (chance(0.002))
    CutFromLogUntil[static_cast<int>(Random() % kSlots)] =
        Clock.now() + upTo(40s);
  if (chance(0.003))
    CutUntil[{static_cast<int>(Random() % kSlots),
              static_cast<int>(Random() % kSlots)}] = Clock.now() + upTo(40s);
  if (chance(0.003))
    partition(static_cast<int>(Random() % kSlots),
              static_cast<int>(Random() % kSlots));
  for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
    ModelProcess &One = *Processes[Index];
    if (!runs(One))
      continue;
    if (chance(0.0005)) {
      freeze(One);
    } else if (!One.EndsAt && chance(0.0003)) {
      One.Alive = false;
      later(upTo(30s), nullptr,
            [this, Slot = One.Slot] { startProcess(Slot); });
    } else if (!One.EndsAt && chance(0.0003)) {
      One.Shards->stop();
      One.EndsAt = Clock.now() + 10s;
      later(12s, nullptr, [this, Slot = One.Slot] { startProcess(Slot); });
    }
  }
}

void ModelWorld::endFaults() {
  OutageUntil = Clock.now();
  CutFromLogUntil.clear();
  CutUntil.clear();
}

void ModelWorld::append(LogRecord Record) {
  if (FaultsOn && chance(0.15))
    return;
  const base::Duration Delay =
      FaultsOn && chance(0.3) ? upTo(20s) : upTo(500ms);
  later(Delay, nullptr, [this, Record = std::move(Record)] {
    if (Clock.now() >= OutageUntil)
      Log.push_back(Record);
  });
}

void ModelWorld::applyUpTo(ModelProcess &One, std::size_t End) {
  while (One.Applied < End) {
    const LogRecord &Record = Log[One.Applied];
    const base::LogOffset At(++One.Applied);
    std::visit([&](const auto &Item) { One.State.apply(At, Item); }, Record);
  }
  One.Shards->onRecordsApplied(base::LogOffset(One.Applied));
}

void ModelWorld::readLog(ModelProcess &One) {
  const base::BootTime SentAt = Clock.now();
  later(upTo(400ms), nullptr, [this, SentAt, Reader = &One] {
    if (Clock.now() < OutageUntil ||
        Clock.now() < CutFromLogUntil[Reader->Slot] || chance(0.1))
      return;
    const std::size_t End = Log.size();
    later(upTo(400ms), Reader, [this, SentAt, Reader, End] {
      applyUpTo(*Reader, End);
      Reader->Shards->onLogReadCompleted(SentAt, base::LogOffset(End));
    });
  });
}

void ModelWorld::pullFromPeer(ModelProcess &One) {
  const ModelProcess &Peer = *Processes[Random() % Processes.size()];
  if (!runs(Peer) || Clock.now() < CutUntil[{Peer.Slot, One.Slot}])
    return;
  later(upTo(500ms), &One,
        [this, Puller = &One, End = Peer.Applied] { applyUpTo(*Puller, End); });
}

// Delivers to a process at the address, at random if there are two.
void ModelWorld::deliver(int FromSlot, const base::InstanceId &To,
                         const std::function<void(ModelProcess &)> &Run) {
  std::vector<ModelProcess *> At;
  for (auto &One : Processes) {
    if (One->Alive && One->Id.Instance == To)
      At.push_back(One.get());
  }
  if (At.empty() || chance(0.1))
    return;
  ModelProcess *Target = At[Random() % At.size()];
  if (Clock.now() < CutUntil[{FromSlot, Target->Slot}])
    return;
  const base::Duration Delay = chance(0.05) ? upTo(8s) : upTo(100ms);
  for (int Copy = chance(0.05) ? 2 : 1; Copy > 0; --Copy)
    later(Delay, Target, [Run, Target] { Run(*Target); });
}

void ModelWorld::send(ModelProcess &From, const SuccessorPing &Ping) {
  deliver(From.Slot, Ping.To.Instance, [this, Ping](ModelProcess &Receiver) {
    const auto Ack = Receiver.Shards->onPing(Ping);
    if (!Ack)
      return;
    deliver(Receiver.Slot, Ack->To.Instance,
            [Ack](ModelProcess &Owner) { Owner.Shards->onAck(*Ack); });
  });
}

void ModelWorld::updateMembers() {
  for (auto &One : Processes) {
    if (!runs(*One) || chance(0.2))
      continue;
    // Suspicion may be wrong.
    std::vector<base::ProcessId> Members;
    for (const auto &Other : Processes) {
      if (runs(*Other) && Clock.now() >= CutUntil[{Other->Slot, One->Slot}] &&
          !chance(0.01))
        Members.push_back(Other->Id);
    }
    One->Shards->setCandidates(std::move(Members));
  }
}

void ModelWorld::ticks() {
  for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
    ModelProcess &One = *Processes[Index];
    if (One.EndsAt && Clock.now() >= *One.EndsAt)
      One.Alive = false;
    if (!runs(One))
      continue;
    OwnershipActions Actions = One.Shards->tick();
    // A process may be frozen between a decision and its sending.
    for (OwnershipClaim &Claim : Actions.Claims) {
      if (FaultsOn && chance(0.2))
        partitionAroundRenewal(One, Claim);
      later(upTo(60ms), &One, [this, Claim] { append(Claim); });
    }
    for (OwnershipRelease &Release : Actions.Releases)
      later(upTo(60ms), &One, [this, Release] { append(Release); });
    for (const SuccessorPing &Ping : Actions.Pings)
      later(upTo(60ms), &One, [this, &One, Ping] { send(One, Ping); });
    if (Actions.NeedsLogRead || (One.Slot < 2 && chance(0.05)))
      readLog(One);
    if (chance(0.05))
      pullFromPeer(One);
  }
}

void ModelWorld::check() {
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index) {
    const ModelProcess *Owner = nullptr;
    for (const auto &One : Processes) {
      if (!runs(*One) || !One->Shards->validOwnership({kHere, Index}))
        continue;
      if (Owner && Violation.empty())
        Violation = "shard " + std::to_string(Index) + " at " +
                    std::to_string(elapsed() / 1ms) +
                    " ms: " + Owner->Id.Instance.str() + " and " +
                    One->Id.Instance.str();
      Owner = One.get();
    }
  }
}

std::size_t ModelWorld::validShards() const {
  std::size_t Count = 0;
  for (std::uint16_t Index = 0; Index < kShardsPerDataCentre; ++Index)
    Count += std::any_of(Processes.begin(), Processes.end(), [&](auto &One) {
      return runs(*One) && One->Shards->validOwnership({kHere, Index});
    });
  return Count;
}

void ModelWorld::killOwner() {
  for (auto &One : Processes) {
    if (One->Shards->validOwnership({kHere, 0}))
      One->Alive = false;
  }
}

void ModelWorld::step(bool Faults) {
  Clock.advance(kStep);
  FaultsOn = Faults;
  // Requests may reach a process before its first tick after a freeze.
  check();
  if (Faults)
    startFaults();
  else
    endFaults();
  if (chance(0.1))
    updateMembers();
  runEvents();
  ticks();
  check();
}

} // namespace ownership
