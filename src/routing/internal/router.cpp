#include "routing/router.h"

#include <algorithm>

namespace routing {

namespace {

using namespace std::chrono_literals;
using membership::MemberState;

// Draws for the two candidates before all upstreams are looked at. Cold
// upstreams turn most draws down at first.
constexpr int kMaxDraws = 12;

// A reported load counts less with age and nothing after this time.
constexpr base::Duration kLoadLifetime = 5s;

// Share of a cold upstream at its start.
constexpr double kFirstShare = 0.05;

// Errors alone eject at most one upstream of a service in this many.
constexpr std::size_t kUpstreamsPerErrorEjection = 3;

bool isExcluded(const CallContext &Context, const base::ProcessId &Process) {
  return std::find(Context.Excluded.begin(), Context.Excluded.end(), Process) !=
         Context.Excluded.end();
}

// Share of the slots that may be taken before calls go farther; some backend
// servers turn slow when they are nearly full.
constexpr double kComfortableOccupancy = 0.8;

// Occupancy beyond the comfortable one at which the next distance is worth its
// way: a round trip within a region takes little, one between regions takes as
// long as a short queue.
constexpr std::array<double, kLocalityCount> kDistanceCost{0, 0.05, 0.35};

// Load in the last response, which counts less the older it is.
double reportedLoad(const Upstream &Item, base::BootTime Now) {
  const base::Duration Age = Now - Item.ReportedAt;
  if (Item.ReportedLoad == 0 || Age >= kLoadLifetime)
    return 0;
  return Item.ReportedLoad *
         (1 - double(Age.count()) / double(kLoadLifetime.count()));
}

// Load per slot: own calls in flight plus what the last response reported.
double loadOf(const Upstream &Item, base::BootTime Now) {
  return (Item.InFlight + reportedLoad(Item, Now)) /
         std::max<std::uint32_t>(Item.Slots, 1);
}

// Calls per slot. Own calls are part of the reported load, so the larger of the
// two is the better guess. Zero if the slots are not known.
double occupancyOf(const Upstream &Item, base::BootTime Now) {
  if (Item.Slots == 0)
    return 0;
  return std::max<double>(Item.InFlight, reportedLoad(Item, Now)) / Item.Slots;
}

// What a call to the upstream costs, in units of its slots.
double costOf(const Upstream &Item, base::BootTime Now) {
  return std::max(0.0, occupancyOf(Item, Now) - kComfortableOccupancy) +
         kDistanceCost[std::size_t(Item.Place)];
}

} // namespace

base::Result<UpstreamChoice> Router::choose(const base::ServiceName &Service,
                                            const CallContext &Context,
                                            base::BootTime Now) {
  if (Now >= Context.Deadline)
    return base::fail(base::ErrorKind::DeadlineExceeded,
                      "the deadline passed before an upstream was chosen");
  ServiceUpstreams *Group = Table.service(Service);
  if (Group) {
    Request Call{*Group, Context, Now, {}, nullptr};
    findOpen(Call);
    bool Trial = false;
    if (Upstream *Item = pickGood(Call, Trial))
      return commit(Call, *Item, Trial);
    if (Upstream *Item = pickLastResort(Call)) {
      ++Counters.LastResorts;
      return commit(Call, *Item, false);
    }
    if (Call.Starved)
      Budget.countRefusal(Table.topology().Region, Call.Starved->Region);
  }
  ++Counters.NoUpstream;
  return base::fail(base::ErrorKind::NoUpstream,
                    "no usable upstream of " + Service.str() +
                        " within the deadline and the byte allowance");
}

void Router::findOpen(Request &Call) {
  const Topology &Place = Table.topology();
  const base::Duration Left =
      Call.Context.Deadline - Call.Now - Call.Group.Settings.MinimumWork;
  Call.Open[std::size_t(Locality::OwnCentre)] = true;
  Call.Open[std::size_t(Locality::OwnRegion)] = Left > 2 * Place.WithinRegion;
  Call.Open[std::size_t(Locality::OtherRegion)] =
      Left > 2 * Place.BetweenRegions;
}

Upstream *Router::pickGood(Request &Call, bool &Trial) {
  Upstream *Item = pickByLocality(Call);
  if (Call.Group.Ejected == 0)
    return Item;
  // No trial goes farther than the call would go without it.
  const std::size_t Places =
      Item ? std::size_t(Item->Place) + 1 : kLocalityCount;
  Upstream *Tested = pickTrial(Call, Places);
  Trial = Tested != nullptr;
  return Tested ? Tested : Item;
}

// Localities in order of distance. One that refuses as overloaded is passed
// over by a share of the calls if the next one has something to offer, and so
// is one whose upstreams are busier than the way to the next one is long.
Upstream *Router::pickByLocality(Request &Call) {
  Upstream *Passed = nullptr;
  Upstream *Best = nullptr;
  for (std::size_t Place = 0; Place < kLocalityCount; ++Place) {
    if (!Call.Open[Place] || Call.Group.Near[Place].empty())
      continue;
    Upstream *Item = pickOfTwo(Call, Place);
    if (!Item)
      continue;
    const double Share = Call.Group.Spill[Place].share(Call.Now);
    if (Share > 0 && draw() < Share) {
      Passed = Passed ? Passed : Item;
      continue;
    }
    if (!Best || costOf(*Item, Call.Now) < costOf(*Best, Call.Now)) {
      Passed = Passed ? Passed : Best;
      Best = Item;
    }
    if (occupancyOf(*Best, Call.Now) <= kComfortableOccupancy)
      break;
  }
  Counters.Spilled += Best && Passed;
  return Best ? Best : Passed;
}

Upstream *Router::pickTrial(Request &Call, std::size_t Places) {
  for (std::size_t Place = 0; Place < Places; ++Place) {
    if (!Call.Open[Place])
      continue;
    for (const std::size_t Index : Call.Group.Near[Place]) {
      Upstream &Item = Table.at(Index);
      if (Item.Outlier.trialDue(Call.Now) &&
          accepts(Call, Item, Pass::Ejected) &&
          Item.State == MemberState::Alive && !Item.Silent)
        return &Item;
    }
  }
  return nullptr;
}

Upstream *Router::pickOfTwo(Request &Call, std::size_t Place) {
  const std::vector<std::size_t> &Near = Call.Group.Near[Place];
  Upstream *First = nullptr;
  for (int Draw = 0; Draw < kMaxDraws; ++Draw) {
    Upstream &Item = Table.at(Near[drawBelow(Near.size())]);
    if (&Item == First || !accepts(Call, Item, Pass::Good) ||
        !passesRampUp(Call, Item))
      continue;
    if (First)
      return less(Item, *First, Call.Now) ? &Item : First;
    First = &Item;
  }
  return First ? First : scan(Call, Place, Pass::Good);
}

Upstream *Router::scan(Request &Call, std::size_t Place, Pass Accepted) {
  const std::vector<std::size_t> &Near = Call.Group.Near[Place];
  Upstream *Best = nullptr;
  // A random start spreads calls over upstreams with equal load.
  const std::size_t Start = Near.empty() ? 0 : drawBelow(Near.size());
  for (std::size_t Step = 0; Step < Near.size(); ++Step) {
    Upstream &Item = Table.at(Near[(Start + Step) % Near.size()]);
    if (!accepts(Call, Item, Accepted))
      continue;
    if (!Best || less(Item, *Best, Call.Now))
      Best = &Item;
  }
  return Best;
}

Upstream *Router::pickLastResort(Request &Call) {
  for (const Pass Accepted : {Pass::Suspect, Pass::Ejected})
    for (std::size_t Place = 0; Place < kLocalityCount; ++Place)
      if (Call.Open[Place])
        if (Upstream *Item = scan(Call, Place, Accepted))
          return Item;
  return nullptr;
}

bool Router::accepts(Request &Call, const Upstream &Item, Pass Accepted) {
  const bool Leaving =
      Item.State != MemberState::Alive && Item.State != MemberState::Suspect;
  if (Leaving || Item.RefusedAsDraining)
    return false;
  const bool Good = Item.State == MemberState::Alive && !Item.Silent;
  if (Accepted == Pass::Good && !Good)
    return false;
  if (Accepted != Pass::Ejected && Item.Outlier.ejected())
    return false;
  if (isExcluded(Call.Context, Item.Process))
    return false;
  if (Item.Place != Locality::OtherRegion)
    return true;
  const base::RegionId &Own = Table.topology().Region;
  const bool Affordable = Budget.open(Own, Item.Region, Call.Now) &&
                          Budget.open(Item.Region, Own, Call.Now);
  if (!Affordable)
    Call.Starved = &Item;
  return Affordable;
}

bool Router::passesRampUp(Request &Call, const Upstream &Item) {
  const base::Duration Ramp = Call.Group.Settings.RampUp;
  const base::Duration Age = Call.Now - Item.Started;
  if (Age >= Ramp)
    return true;
  const double Share = double(Age.count()) / double(Ramp.count());
  return draw() < std::max(Share, kFirstShare);
}

bool Router::less(const Upstream &A, const Upstream &B,
                  base::BootTime Now) const {
  return loadOf(A, Now) < loadOf(B, Now);
}

UpstreamChoice Router::commit(Request &Call, Upstream &Item, bool Trial) {
  ++Item.InFlight;
  ++Counters.Chosen[std::size_t(Item.Place)];
  if (Trial) {
    ++Counters.Trials;
    Item.Outlier.startTrial();
  }
  if (Item.Place == Locality::OtherRegion)
    Budget.charge(Table.topology().Region, Item.Region,
                  Call.Context.RequestBytes, Call.Now);
  return {Item.Process, Item.Peer, Item.Region, Item.Place, Trial};
}

void Router::finish(const UpstreamChoice &Call, const CallReport &Report,
                    base::BootTime Now) {
  if (Call.Place == Locality::OtherRegion)
    Budget.charge(Call.Region, Table.topology().Region, Report.ResponseBytes,
                  Now);
  Upstream *Item = Table.find(Call.Process);
  if (!Item)
    return;
  Item->InFlight -= Item->InFlight > 0;
  if (Report.Slots > 0)
    Item->Slots = Report.Slots;
  if (Report.Load >= 0) {
    Item->ReportedLoad = std::uint32_t(Report.Load);
    Item->ReportedAt = Now;
  }
  judge(*Item, Call, Report.Result, Now);
}

void Router::judge(Upstream &Item, const UpstreamChoice &Call,
                   CallResult Result, base::BootTime Now) {
  ServiceUpstreams &Group = *Table.service(Item.Service);
  recordSpill(Group, Item.Place, Result, Now);
  switch (Result) {
  case CallResult::Responded:
  case CallResult::Overloaded:
    Group.Ejected -= Item.Outlier.onAnswer(Call.Trial, Now);
    return;
  case CallResult::Draining:
    Item.RefusedAsDraining = true;
    Group.Ejected -= Item.Outlier.onAnswer(Call.Trial, Now);
    return;
  case CallResult::ConnectionFailed:
    eject(Item, Group, Call.Trial, Now);
    return;
  case CallResult::Failed: {
    const std::size_t Limit = Group.size() / kUpstreamsPerErrorEjection;
    const bool Allowed = Call.Trial || Group.Ejected < Limit;
    if ((Item.Outlier.onError() && Allowed) || Call.Trial)
      eject(Item, Group, Call.Trial, Now);
    return;
  }
  case CallResult::Abandoned:
    if (Call.Trial)
      Item.Outlier.abandonTrial();
    return;
  }
}

void Router::eject(Upstream &Item, ServiceUpstreams &Group, bool Trial,
                   base::BootTime Now) {
  if (!Item.Outlier.eject(Trial, Now, draw()))
    return;
  ++Group.Ejected;
  ++Counters.Ejections;
}

void Router::recordSpill(ServiceUpstreams &Group, Locality Place,
                         CallResult Result, base::BootTime Now) {
  if (Result != CallResult::Responded && Result != CallResult::Overloaded)
    return;
  const auto Index = std::size_t(Place);
  const bool Refused = Result == CallResult::Overloaded;
  if (Group.Spill[Index].record(Refused, Now) && Index > 0)
    Group.Spill[Index - 1].halve();
}

double Router::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::size_t Router::drawBelow(std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
}

} // namespace routing
