#include "ratelimit/tests/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ratelimit {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 2ms;
constexpr base::Duration kRequestTimeout = 200ms;
const base::ServiceName kService("s");
const base::WorkspaceName kWorkspace("w");

base::DataCentreId dataCentre(std::size_t Index) {
  return base::DataCentreId("d" + std::to_string(Index));
}

} // namespace

Simulation::Simulation(std::uint64_t Seed, Limit Total, SimulatedFaults Faults)
    : Random(Seed), Faults(Faults), Reference(Total),
      ReferenceLevel(Total.Burst), CentralLevel(Total.Burst),
      CentralRefilledAt(Clock.now()), ReferenceRefilledAt(Clock.now()),
      Loss(randomBool(0.5) ? 0.05 : 0.3) {
  for (std::size_t Index = 0; Index < kDataCentres; ++Index)
    Config.Placement.DataCentres.push_back(dataCentre(Index));
  Config.Placement.SlicesPerDataCentre = 2;
  Config.Limits.push_back({kService, kWorkspace, Total});
  Daemons = std::vector<SimulatedDaemon>(kDaemons);
  for (std::size_t Index = 0; Index < kDaemons; ++Index)
    startDaemon(Index, kLimitOverlap);
  assignOwners();
  NextChange = Clock.now() + 20s;
}

bool Simulation::randomBool(double Probability) {
  return std::bernoulli_distribution(Probability)(Random);
}

base::Duration Simulation::randomDuration(base::Duration Limit) {
  return base::Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random));
}

void Simulation::schedule(base::Duration Delay, std::function<void()> Run) {
  Events.emplace(Clock.now() + Delay, std::move(Run));
}

// Runs an event at a daemon. The event is postponed while the daemon is paused,
// and dropped if it has restarted.
void Simulation::runAt(std::size_t Daemon, base::Duration Delay,
                       std::function<void()> Run) {
  schedule(Delay, [this, Daemon, Run = std::move(Run),
                   ProcessNumber = Daemons[Daemon].ProcessNumber] {
    SimulatedDaemon &Target = Daemons[Daemon];
    if (Target.ProcessNumber != ProcessNumber)
      return;
    if (Target.PausedUntil > Clock.now())
      runAt(Daemon, Target.PausedUntil - Clock.now() + randomDuration(20ms),
            Run);
    else
      Run();
  });
}

void Simulation::startDaemon(std::size_t Index, base::Duration MinTimeInForce) {
  SimulatedDaemon &Daemon = Daemons[Index];
  ++Daemon.ProcessNumber;
  Daemon.DataCentre = Index % kDataCentres;
  Daemon.Id = {base::InstanceId("i" + std::to_string(Index)),
               base::Incarnation(Daemon.ProcessNumber)};
  Daemon.Limits = {};
  Daemon.Limits.adopt(Config, Clock.now(), MinTimeInForce);
  std::vector<base::DataCentreId> NearestFirst;
  for (std::size_t Distance = 0; Distance < kDataCentres; ++Distance)
    NearestFirst.push_back(
        dataCentre((Daemon.DataCentre + Distance) % kDataCentres));
  Daemon.Pool = std::make_unique<PermitPool>(Clock, Daemon.Limits, Daemon.Id,
                                             NearestFirst);
  Daemon.Grantor = std::make_unique<PermitGrantor>(Clock, Daemon.Limits);
  Daemon.PausedUntil = Clock.now();
  Daemon.NextTick = Clock.now() + randomDuration(10ms);
}

// Each shard belongs to a daemon of its data centre. When the owner restarts,
// another one follows after the takeover delay of the ownership module, less
// the validity that the old owner may have left.
void Simulation::assignOwners() {
  for (std::size_t DataCentre = 0; DataCentre < kDataCentres; ++DataCentre) {
    for (std::uint16_t Index = 0; Index < ownership::kShardsPerDataCentre;
         ++Index) {
      Tenure &Entry = Tenures[{dataCentre(DataCentre), Index}];
      if (Entry.EndsAt > Clock.now())
        continue;
      const bool First = Entry.Valid.Term == base::LogOffset();
      const std::size_t Row = Random() % (kDaemons / kDataCentres);
      Entry.Owner = DataCentre + Row * kDataCentres;
      const base::BootTime ValidFrom =
          First ? Clock.now() - kOutstandingTime - 10s : Clock.now() + 1s;
      Entry.Valid = {base::LogOffset(++LastTerm), ValidFrom, Clock.wallNow()};
      Entry.EndsAt = base::BootTime::max();
    }
  }
}

// Restarts one daemon or all daemons of a data centre.
void Simulation::restart(std::size_t DataCentre, bool All) {
  for (std::size_t Index = DataCentre; Index < kDaemons;
       Index += kDataCentres) {
    startDaemon(Index, randomBool(0.9) ? kLimitOverlap : 0s);
    for (auto &[Shard, Entry] : Tenures) {
      if (Entry.Owner == Index)
        Entry.EndsAt = Clock.now();
    }
    if (!All)
      break;
  }
  assignOwners();
}

void Simulation::startFaults() {
  for (std::size_t Index = 0; Index < kDaemons; ++Index) {
    SimulatedDaemon &Daemon = Daemons[Index];
    if (Faults.Pauses && randomBool(0.0003))
      Daemon.PausedUntil =
          Clock.now() + randomDuration(randomBool(0.5) ? 300ms : 4s);
  }
  if (Faults.Restarts && randomBool(0.0002))
    restart(Random() % kDataCentres, randomBool(0.5));
  if (Faults.LimitChanges && Clock.now() >= NextChange)
    changeLimits();
}

// Publishes another limit or order of data centres, which daemons adopt within
// 10 s. Until the overlap ends, the reference bucket uses the higher of both
// limits.
void Simulation::changeLimits() {
  NextChange = Clock.now() + 30s;
  const Limit Old = Config.Limits[0].Total;
  Limit New = Old;
  if (randomBool(0.5))
    New = {static_cast<double>(20 + Random() % 200),
           static_cast<double>(1 + Random() % 60)};
  else
    std::shuffle(Config.Placement.DataCentres.begin(),
                 Config.Placement.DataCentres.end(), Random);
  Config.Limits[0].Total = New;
  refillReference();
  Reference = {std::max(Old.RatePerSecond, New.RatePerSecond),
               std::max(Old.Burst, New.Burst)};
  for (std::size_t Index = 0; Index < kDaemons; ++Index)
    runAt(Index, randomDuration(9s), [this, Index, Adopted = Config] {
      Daemons[Index].Limits.adopt(Adopted, Clock.now(), 0s);
    });
  // By then all daemons have adopted it, including paused ones.
  schedule(15s, [this, New] {
    Reference = New;
    ReferenceLevel = New.Burst;
    ReferenceRefilledAt = Clock.now();
  });
}

void Simulation::refillReference() {
  const double Span =
      std::chrono::duration<double>(Clock.now() - ReferenceRefilledAt).count();
  ReferenceLevel = std::min(Reference.Burst,
                            ReferenceLevel + Reference.RatePerSecond * Span);
  ReferenceRefilledAt = Clock.now();
}

void Simulation::recordUse() {
  refillReference();
  ReferenceLevel -= 1;
  ++Counts.Used;
  if (ReferenceLevel < -1e-6 && Violation.empty())
    Violation = "more uses than rate and burst allow, by " +
                std::to_string(-ReferenceLevel) + " at " +
                std::to_string(Clock.now().time_since_epoch() / 1ms) + " ms";
}

void Simulation::applyToCentralBucket() {
  const Limit &Total = Config.Limits[0].Total;
  const double Span =
      std::chrono::duration<double>(Clock.now() - CentralRefilledAt).count();
  CentralRefilledAt = Clock.now();
  CentralLevel =
      std::min(Total.Burst, CentralLevel + Total.RatePerSecond * Span);
  if (CentralLevel >= 1)
    CentralLevel -= 1;
  else
    ++Counts.CentralRefused;
}

void Simulation::transmit(std::size_t From, std::size_t To,
                          const std::function<void()> &Deliver) {
  ++Counts.Messages;
  if (Faults.Network && randomBool(Loss))
    return;
  const bool SameDataCentre =
      Daemons[From].DataCentre == Daemons[To].DataCentre;
  base::Duration Delay = SameDataCentre ? 500us : 30ms;
  if (Faults.Network && randomBool(0.05))
    Delay += randomDuration(randomBool(0.5) ? 200ms : 3s);
  runAt(To, Delay, Deliver);
  if (Faults.Network && randomBool(0.05))
    runAt(To, Delay + randomDuration(500ms), Deliver);
}

void Simulation::send(std::size_t From, const PermitRequest &Request,
                      const std::function<void(const PermitGrant &)> &Reply) {
  const std::size_t Owner = Tenures.at(Request.Shard).Owner;
  transmit(From, Owner, [this, From, Owner, Request, Reply] {
    const Tenure &Now = Tenures.at(Request.Shard);
    if (Now.Owner != Owner || Clock.now() < Now.Valid.ValidFrom)
      return;
    const PermitGrant Grant =
        Daemons[Owner].Grantor->handle(Request, Now.Valid);
    if (!Grant.SliceGrants.empty())
      transmit(Owner, From, [Grant, Reply] { Reply(Grant); });
  });
}

void Simulation::onArrival(std::size_t Daemon) {
  ++Counts.Offered;
  applyToCentralBucket();
  tryRequest(Daemon, true);
}

void Simulation::tryRequest(std::size_t Daemon, bool MayWait) {
  AcquireResult Result = Daemons[Daemon].Pool->tryAcquire(kService, kWorkspace);
  if (Result.Status == AcquireStatus::Acquired)
    recordUse();
  else if (Result.Status == AcquireStatus::MustRequest)
    requestPermit(Daemon, std::make_shared<PermitWait>(std::move(Result.Wait)),
                  MayWait);
  else
    refuse(Daemon, MayWait);
}

void Simulation::refuse(std::size_t Daemon, bool MayWait) {
  const auto Next =
      Daemons[Daemon].Pool->timeToNextPermit(kService, kWorkspace);
  if (MayWait && Next && *Next < MaxWait)
    runAt(Daemon, *Next + kStep, [this, Daemon] { tryRequest(Daemon, false); });
  else
    ++Counts.Refused;
}

void Simulation::requestPermit(std::size_t Daemon,
                               const std::shared_ptr<PermitWait> &Wait,
                               bool MayWait) {
  const auto Request = Daemons[Daemon].Pool->nextRequest(*Wait);
  if (!Request) {
    if (Daemons[Daemon].Pool->finish(*Wait) == AcquireStatus::Acquired)
      recordUse();
    else
      refuse(Daemon, MayWait);
    return;
  }
  auto Completed = std::make_shared<bool>(false);
  send(Daemon, *Request,
       [this, Daemon, Wait, Completed, MayWait](const PermitGrant &Grant) {
         if (std::exchange(*Completed, true))
           Daemons[Daemon].Pool->addGrant(Grant);
         else if (Daemons[Daemon].Pool->acquireFrom(*Wait, Grant))
           recordUse();
         else
           requestPermit(Daemon, Wait, MayWait);
       });
  runAt(Daemon, kRequestTimeout,
        [this, Daemon, Wait, Completed, MayWait, Number = Request->Sequence] {
          if (std::exchange(*Completed, true))
            return;
          Daemons[Daemon].Pool->onRequestFailed(Number);
          requestPermit(Daemon, Wait, MayWait);
        });
}

void Simulation::step(const std::vector<double> &Rates) {
  Clock.advance(kStep);
  startFaults();
  while (!Events.empty() && Events.begin()->first <= Clock.now()) {
    const auto Run = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    Run();
  }
  const double Seconds = std::chrono::duration<double>(kStep).count();
  for (std::size_t Index = 0; Index < kDaemons; ++Index) {
    SimulatedDaemon &Daemon = Daemons[Index];
    if (Daemon.PausedUntil > Clock.now())
      continue;
    if (Rates[Index] > 0) {
      std::poisson_distribution<int> Arrivals(Rates[Index] * Seconds);
      for (int Count = Arrivals(Random); Count > 0; --Count)
        onArrival(Index);
    }
    if (Clock.now() < Daemon.NextTick)
      continue;
    Daemon.NextTick = Clock.now() + 10ms;
    for (const PermitRequest &Request : Daemon.Pool->tick())
      send(Index, Request, [this, Index](const PermitGrant &Grant) {
        Daemons[Index].Pool->addGrant(Grant);
      });
  }
}

void Simulation::run(base::Duration Span, const std::vector<double> &Rates) {
  const base::BootTime End = Clock.now() + Span;
  while (Clock.now() < End && Violation.empty())
    step(Rates);
}

} // namespace ratelimit
