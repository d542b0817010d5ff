#include "ratelimit/tests/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ratelimit {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 2ms;
constexpr base::Duration kAskTimeout = 200ms;
const base::ServiceName kService("s");
const base::WorkspaceName kWorkspace("w");

base::DataCentreId dataCentre(std::size_t Index) {
  return base::DataCentreId("d" + std::to_string(Index));
}

} // namespace

ModelWorld::ModelWorld(std::uint64_t Seed, Limit Whole, ModelFaults Faults)
    : Random(Seed), Faults(Faults), Reference(Whole),
      ReferenceLevel(Whole.Burst), IdealLevel(Whole.Burst),
      IdealAt(Clock.now()), ReferenceAt(Clock.now()),
      Loss(chance(0.5) ? 0.05 : 0.3) {
  for (std::size_t Index = 0; Index < kDataCentres; ++Index)
    Config.Placement.DataCentres.push_back(dataCentre(Index));
  Config.Placement.SlicesPerDataCentre = 2;
  Config.Limits.push_back({kService, kWorkspace, Whole});
  Daemons = std::vector<ModelDaemon>(kDaemons);
  for (std::size_t Index = 0; Index < kDaemons; ++Index)
    startDaemon(Index, kLimitOverlap);
  assignOwners();
  NextChange = Clock.now() + 20s;
}

bool ModelWorld::chance(double Probability) {
  return std::bernoulli_distribution(Probability)(Random);
}

base::Duration ModelWorld::upTo(base::Duration Limit) {
  return base::Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random));
}

void ModelWorld::later(base::Duration Delay, std::function<void()> Run) {
  Events.emplace(Clock.now() + Delay, std::move(Run));
}

// Runs at a daemon; waits while it is frozen, is dropped if it was restarted.
void ModelWorld::on(std::size_t Daemon, base::Duration Delay,
                    std::function<void()> Run) {
  later(Delay,
        [this, Daemon, Run = std::move(Run), Life = Daemons[Daemon].Life] {
          ModelDaemon &At = Daemons[Daemon];
          if (At.Life != Life)
            return;
          if (At.FrozenUntil > Clock.now())
            on(Daemon, At.FrozenUntil - Clock.now() + upTo(20ms), Run);
          else
            Run();
        });
}

void ModelWorld::startDaemon(std::size_t Index, base::Duration KnownAge) {
  ModelDaemon &One = Daemons[Index];
  ++One.Life;
  One.DataCentre = Index % kDataCentres;
  One.Id = {base::InstanceId("i" + std::to_string(Index)),
            base::Incarnation(One.Life)};
  One.Limits = {};
  One.Limits.adopt(Config, Clock.now(), KnownAge);
  std::vector<base::DataCentreId> Near;
  for (std::size_t Hop = 0; Hop < kDataCentres; ++Hop)
    Near.push_back(dataCentre((One.DataCentre + Hop) % kDataCentres));
  One.Pool = std::make_unique<PermitPool>(Clock, One.Limits, One.Id, Near);
  One.Grantor = std::make_unique<PermitGrantor>(Clock, One.Limits);
  One.FrozenUntil = Clock.now();
  One.NextTick = Clock.now() + upTo(10ms);
}

// Each shard belongs to a daemon of its data centre. An owner that restarts is
// followed by another one after the takeover delay of the ownership module,
// less the validity that the old one may use up.
void ModelWorld::assignOwners() {
  for (std::size_t Place = 0; Place < kDataCentres; ++Place) {
    for (std::uint16_t Index = 0; Index < ownership::kShardsPerDataCentre;
         ++Index) {
      Tenure &Entry = Tenures[{dataCentre(Place), Index}];
      if (Entry.Ends > Clock.now())
        continue;
      const bool First = Entry.Valid.Term == base::LogOffset();
      const std::size_t Row = Random() % (kDaemons / kDataCentres);
      Entry.Owner = Place + Row * kDataCentres;
      const base::BootTime Since =
          First ? Clock.now() - kOutstandingTime - 10s : Clock.now() + 1s;
      Entry.Valid = {base::LogOffset(++LastTerm), Since, Clock.wallNow()};
      Entry.Ends = base::BootTime::max();
    }
  }
}

// Restarts one daemon or all of a data centre.
void ModelWorld::restart(std::size_t Place, bool All) {
  for (std::size_t Index = Place; Index < kDaemons; Index += kDataCentres) {
    startDaemon(Index, chance(0.9) ? kLimitOverlap : 0s);
    for (auto &[Shard, Entry] : Tenures) {
      if (Entry.Owner == Index)
        Entry.Ends = Clock.now();
    }
    if (!All)
      break;
  }
  assignOwners();
}

void ModelWorld::startFaults() {
  for (std::size_t Index = 0; Index < kDaemons; ++Index) {
    ModelDaemon &One = Daemons[Index];
    if (Faults.Freezes && chance(0.0003))
      One.FrozenUntil = Clock.now() + upTo(chance(0.5) ? 300ms : 4s);
  }
  if (Faults.Restarts && chance(0.0002))
    restart(Random() % kDataCentres, chance(0.5));
  if (Faults.LimitChanges && Clock.now() >= NextChange)
    changeLimits();
}

// Publishes another limit or data centre list; daemons adopt it within 10 s.
// Until the overlap is over, the reference is the higher of both limits.
void ModelWorld::changeLimits() {
  NextChange = Clock.now() + 30s;
  const Limit Old = Config.Limits[0].Whole;
  Limit New = Old;
  if (chance(0.5))
    New = {static_cast<double>(20 + Random() % 200),
           static_cast<double>(1 + Random() % 60)};
  else
    std::shuffle(Config.Placement.DataCentres.begin(),
                 Config.Placement.DataCentres.end(), Random);
  Config.Limits[0].Whole = New;
  refillReference();
  Reference = {std::max(Old.RatePerSecond, New.RatePerSecond),
               std::max(Old.Burst, New.Burst)};
  for (std::size_t Index = 0; Index < kDaemons; ++Index)
    on(Index, upTo(9s), [this, Index, Adopted = Config] {
      Daemons[Index].Limits.adopt(Adopted, Clock.now(), 0s);
    });
  // All daemons, also frozen ones, have adopted it by then.
  later(15s, [this, New] {
    Reference = New;
    ReferenceLevel = New.Burst;
    ReferenceAt = Clock.now();
  });
}

void ModelWorld::refillReference() {
  const double Span =
      std::chrono::duration<double>(Clock.now() - ReferenceAt).count();
  ReferenceLevel = std::min(Reference.Burst,
                            ReferenceLevel + Reference.RatePerSecond * Span);
  ReferenceAt = Clock.now();
}

void ModelWorld::use() {
  refillReference();
  ReferenceLevel -= 1;
  ++Counts.Used;
  if (ReferenceLevel < -1e-6 && Violation.empty())
    Violation = "more uses than rate and burst allow, by " +
                std::to_string(-ReferenceLevel) + " at " +
                std::to_string(Clock.now().time_since_epoch() / 1ms) + " ms";
}

void ModelWorld::countIdeal() {
  const Limit &Whole = Config.Limits[0].Whole;
  const double Span =
      std::chrono::duration<double>(Clock.now() - IdealAt).count();
  IdealAt = Clock.now();
  IdealLevel = std::min(Whole.Burst, IdealLevel + Whole.RatePerSecond * Span);
  if (IdealLevel >= 1)
    IdealLevel -= 1;
  else
    ++Counts.IdealRefused;
}

void ModelWorld::transfer(std::size_t From, std::size_t To,
                          const std::function<void()> &Deliver) {
  ++Counts.Messages;
  if (Faults.Network && chance(Loss))
    return;
  const bool Same = Daemons[From].DataCentre == Daemons[To].DataCentre;
  base::Duration Delay = Same ? 500us : 30ms;
  if (Faults.Network && chance(0.05))
    Delay += upTo(chance(0.5) ? 200ms : 3s);
  on(To, Delay, Deliver);
  if (Faults.Network && chance(0.05))
    on(To, Delay + upTo(500ms), Deliver);
}

void ModelWorld::send(std::size_t From, const PermitRequest &Request,
                      const std::function<void(const PermitGrant &)> &Reply) {
  const std::size_t Owner = Tenures.at(Request.Shard).Owner;
  transfer(From, Owner, [this, From, Owner, Request, Reply] {
    const Tenure &Now = Tenures.at(Request.Shard);
    if (Now.Owner != Owner || Clock.now() < Now.Valid.Since)
      return;
    const PermitGrant Grant =
        Daemons[Owner].Grantor->handle(Request, Now.Valid);
    if (!Grant.SliceGrants.empty())
      transfer(Owner, From, [Grant, Reply] { Reply(Grant); });
  });
}

void ModelWorld::arrive(std::size_t Daemon) {
  ++Counts.Offered;
  countIdeal();
  tryOnce(Daemon, true);
}

void ModelWorld::tryOnce(std::size_t Daemon, bool MayWait) {
  AcquireResult Result = Daemons[Daemon].Pool->tryAcquire(kService, kWorkspace);
  if (Result.Status == AcquireStatus::Acquired)
    use();
  else if (Result.Status == AcquireStatus::MustRequest)
    ask(Daemon, std::make_shared<PermitWait>(std::move(Result.Wait)), MayWait);
  else
    refuse(Daemon, MayWait);
}

void ModelWorld::refuse(std::size_t Daemon, bool MayWait) {
  const auto Next =
      Daemons[Daemon].Pool->timeToNextPermit(kService, kWorkspace);
  if (MayWait && Next && *Next < LongestWait)
    on(Daemon, *Next + kStep, [this, Daemon] { tryOnce(Daemon, false); });
  else
    ++Counts.Refused;
}

void ModelWorld::ask(std::size_t Daemon,
                     const std::shared_ptr<PermitWait> &Wait, bool MayWait) {
  const auto Request = Daemons[Daemon].Pool->nextRequest(*Wait);
  if (!Request) {
    if (Daemons[Daemon].Pool->finish(*Wait) == AcquireStatus::Acquired)
      use();
    else
      refuse(Daemon, MayWait);
    return;
  }
  auto Done = std::make_shared<bool>(false);
  send(Daemon, *Request,
       [this, Daemon, Wait, Done, MayWait](const PermitGrant &Grant) {
         if (std::exchange(*Done, true))
           Daemons[Daemon].Pool->addGrant(Grant);
         else if (Daemons[Daemon].Pool->acquireFrom(*Wait, Grant))
           use();
         else
           ask(Daemon, Wait, MayWait);
       });
  on(Daemon, kAskTimeout,
     [this, Daemon, Wait, Done, MayWait, Number = Request->Sequence] {
       if (std::exchange(*Done, true))
         return;
       Daemons[Daemon].Pool->onRequestFailed(Number);
       ask(Daemon, Wait, MayWait);
     });
}

void ModelWorld::step(const std::vector<double> &Rates) {
  Clock.advance(kStep);
  startFaults();
  while (!Events.empty() && Events.begin()->first <= Clock.now()) {
    const auto Run = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    Run();
  }
  const double Seconds = std::chrono::duration<double>(kStep).count();
  for (std::size_t Index = 0; Index < kDaemons; ++Index) {
    ModelDaemon &One = Daemons[Index];
    if (One.FrozenUntil > Clock.now())
      continue;
    if (Rates[Index] > 0) {
      std::poisson_distribution<int> Arrivals(Rates[Index] * Seconds);
      for (int Count = Arrivals(Random); Count > 0; --Count)
        arrive(Index);
    }
    if (Clock.now() < One.NextTick)
      continue;
    One.NextTick = Clock.now() + 10ms;
    for (const PermitRequest &Request : One.Pool->tick())
      send(Index, Request, [this, Index](const PermitGrant &Grant) {
        Daemons[Index].Pool->addGrant(Grant);
      });
  }
}

void ModelWorld::run(base::Duration Span, const std::vector<double> &Rates) {
  const base::BootTime End = Clock.now() + Span;
  while (Clock.now() < End && Violation.empty())
    step(Rates);
}

} // namespace ratelimit
