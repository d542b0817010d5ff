#include "routing/router.h"

#include <algorithm>

namespace routing {

namespace {

using namespace std::chrono_literals;
using membership::MemberState;

// Random samples taken to find two candidates before all upstreams are
// compared. Cold upstreams are skipped in most samples at first.
constexpr int kMaxSamples = 12;

// The weight of a reported load or share of failures falls linearly with its
// age and is zero after this time. Failures count for longer, because finding
// out that they have ended costs calls.
constexpr base::Duration kLoadLifetime = 5s;
constexpr base::Duration kFailureLifetime = 8s;

// Initial share of a cold upstream, relative to a warm one.
constexpr double kInitialShare = 0.05;

// Errors other than connection failures eject at most one in this many
// upstreams of a service.
constexpr std::size_t kUpstreamsPerErrorEjection = 3;

bool isExcluded(const SelectionContext &Context,
                const base::ProcessId &Process) {
  return std::find(Context.Excluded.begin(), Context.Excluded.end(), Process) !=
         Context.Excluded.end();
}

// Share of the slots in use up to which calls stay in a locality. Some backend
// servers become slow when nearly all slots are in use.
constexpr double kTargetOccupancy = 0.8;

// Cost of the distance of each locality, as the occupancy above the target that
// outweighs it. A round trip within a region takes little time, one between
// regions as long as a short queue.
constexpr std::array<double, kLocalityCount> kDistanceCost{0, 0.05, 0.35};

// Share of failed calls that costs nothing: single errors say little about an
// upstream, and avoiding it for them would unbalance the load.
constexpr double kToleratedFailures = 0.02;

// Cost of an upstream that fails all calls, by the class of the call.
constexpr std::array<double, base::kPriorityClassCount> kFailureCosts{2, 1.4,
                                                                      1};

// Weight of the load beside the cost, among the upstreams of one locality.
constexpr double kLoadWeight = 0.1;

// Weight of what the last response reported, by its age.
double reportWeight(const Upstream &Item, base::Duration Lifetime,
                    base::BootTime Now) {
  const base::Duration Age = Now - Item.ReportedAt;
  return Age >= Lifetime ? 0
                         : 1 - double(Age.count()) / double(Lifetime.count());
}

// Share of failed calls above which an upstream is used only if all upstreams
// of its locality have been compared.
constexpr double kManyFailures = 0.1;

// Load in the last response, weighted by its age.
double reportedLoad(const Upstream &Item, base::BootTime Now) {
  return Item.ReportedLoad == 0
             ? 0
             : Item.ReportedLoad * reportWeight(Item, kLoadLifetime, Now);
}

// Share of failed calls in the last response above the tolerated one, weighted
// by its age, so that an upstream without calls is tried again after a while.
double reportedFailures(const Upstream &Item, base::BootTime Now) {
  const double Share = Item.ReportedFailures - kToleratedFailures;
  return Share <= 0 ? 0 : Share * reportWeight(Item, kFailureLifetime, Now);
}

// Cost of the failures at an upstream. An urgent call accepts a longer queue or
// way to avoid them, so that the servers without failures serve the urgent
// calls first if they can't serve all.
double failureCost(const Upstream &Item, const SelectionContext &Context,
                   base::BootTime Now) {
  return kFailureCosts[std::size_t(Context.Priority)] *
         reportedFailures(Item, Now);
}

// Load per slot: own calls in flight plus what the last response reported.
double loadOf(const Upstream &Item, base::BootTime Now) {
  return (Item.InFlight + reportedLoad(Item, Now)) /
         std::max<std::uint32_t>(Item.Slots, 1);
}

// Estimated calls per slot. The reported load includes this daemon's own calls,
// so the larger of the two is the better estimate. Zero if the number of slots
// is not known.
double occupancyOf(const Upstream &Item, base::BootTime Now) {
  if (Item.Slots == 0)
    return 0;
  return std::max<double>(Item.InFlight, reportedLoad(Item, Now)) / Item.Slots;
}

// Cost of a call to the upstream, as a share of its slots: occupancy above the
// target, and the costs of failures and of its distance.
double costOf(const Upstream &Item, const SelectionContext &Context,
              base::BootTime Now) {
  return std::max(0.0, occupancyOf(Item, Now) - kTargetOccupancy) +
         failureCost(Item, Context, Now) +
         kDistanceCost[std::size_t(Item.Locality)];
}

} // namespace

base::Result<UpstreamChoice> Router::choose(const base::ServiceName &Service,
                                            const SelectionContext &Context,
                                            base::BootTime Now) {
  if (Now >= Context.Deadline)
    return base::fail(base::ErrorKind::DeadlineExceeded,
                      "the deadline expired before an upstream was chosen");
  ServiceUpstreams *Group = Table.service(Service);
  if (Group) {
    Selection Call{*Group, Context, Now, {}, nullptr};
    findWithinDeadline(Call);
    bool Trial = false;
    if (Upstream *Item = pickHealthy(Call, Trial))
      return recordChoice(Call, *Item, Trial, false);
    if (Upstream *Item = pickLastResort(Call)) {
      ++Counters.LastResorts;
      return recordChoice(Call, *Item, false, true);
    }
    if (Call.OverBudget)
      Budget.countRefusal(Table.topology().Region, Call.OverBudget->Region);
  }
  ++Counters.NoUpstream;
  return base::fail(
      base::ErrorKind::NoUpstream,
      "no usable upstream of service " + Service.str() +
          " within the deadline and the byte budget between regions");
}

void Router::findWithinDeadline(Selection &Call) {
  const Topology &OwnTopology = Table.topology();
  const base::Duration Left =
      Call.Context.Deadline - Call.Now - Call.Group.Settings.MinimumWork;
  Call.WithinDeadline[std::size_t(Locality::OwnDataCentre)] = true;
  Call.WithinDeadline[std::size_t(Locality::OwnRegion)] =
      Left > 2 * OwnTopology.WithinRegion;
  Call.WithinDeadline[std::size_t(Locality::OtherRegion)] =
      Left > 2 * OwnTopology.BetweenRegions;
}

Upstream *Router::pickHealthy(Selection &Call, bool &Trial) {
  Upstream *Item = pickByLocality(Call);
  if (Call.Group.Ejected == 0)
    return Item;
  // A trial does not go to a farther locality than the call would otherwise.
  const std::size_t MaxLocalities =
      Item ? std::size_t(Item->Locality) + 1 : kLocalityCount;
  Upstream *TrialUpstream = pickTrial(Call, MaxLocalities);
  Trial = TrialUpstream != nullptr;
  return TrialUpstream ? TrialUpstream : Item;
}

// Tries the localities in order of distance. A share of the calls skips a
// locality that refuses calls as overloaded, if a farther one has a healthy
// upstream. Calls also go farther if the occupancy or the failures of the
// nearer upstream cost more than the additional distance.
Upstream *Router::pickByLocality(Selection &Call) {
  Upstream *PassedOver = nullptr;
  Upstream *Best = nullptr;
  for (std::size_t LocalityIndex = 0; LocalityIndex < kLocalityCount;
       ++LocalityIndex) {
    if (Best &&
        costOf(*Best, Call.Context, Call.Now) <= kDistanceCost[LocalityIndex])
      break;
    if (!Call.WithinDeadline[LocalityIndex] ||
        Call.Group.ByLocality[LocalityIndex].empty())
      continue;
    Upstream *Item = pickOfTwo(Call, LocalityIndex);
    if (!Item)
      continue;
    const double Share = Call.Group.Spillover[LocalityIndex].share(Call.Now);
    if (Share > 0 && drawUniform() < Share) {
      PassedOver = cheaper(Call, PassedOver, Item);
      continue;
    }
    if (!Best || costOf(*Item, Call.Context, Call.Now) <
                     costOf(*Best, Call.Context, Call.Now)) {
      PassedOver = cheaper(Call, PassedOver, Best);
      Best = Item;
    }
  }
  Counters.Spilled += Best && PassedOver;
  return Best ? Best : PassedOver;
}

Upstream *Router::cheaper(const Selection &Call, Upstream *A, Upstream *B) {
  if (!A || !B)
    return A ? A : B;
  return costOf(*B, Call.Context, Call.Now) < costOf(*A, Call.Context, Call.Now)
             ? B
             : A;
}

Upstream *Router::pickTrial(Selection &Call, std::size_t MaxLocalities) {
  for (std::size_t LocalityIndex = 0; LocalityIndex < MaxLocalities;
       ++LocalityIndex) {
    if (!Call.WithinDeadline[LocalityIndex])
      continue;
    for (const std::size_t Index : Call.Group.ByLocality[LocalityIndex]) {
      Upstream &Item = Table.at(Index);
      if (Item.Outlier.trialDue(Call.Now) &&
          isEligible(Call, Item, Eligibility::Ejected) &&
          Item.State == MemberState::Alive && !Item.Silent)
        return &Item;
    }
  }
  return nullptr;
}

Upstream *Router::pickOfTwo(Selection &Call, std::size_t LocalityIndex) {
  const std::vector<std::size_t> &Candidates =
      Call.Group.ByLocality[LocalityIndex];
  Upstream *First = nullptr;
  for (int Sample = 0; Sample < kMaxSamples; ++Sample) {
    Upstream &Item = Table.at(Candidates[drawBelow(Candidates.size())]);
    if (&Item == First || !isEligible(Call, Item, Eligibility::Healthy) ||
        !drawRampUp(Call, Item))
      continue;
    if (First) {
      Upstream *Better = lessLoaded(Call, Item, *First) ? &Item : First;
      if (reportedFailures(*Better, Call.Now) < kManyFailures)
        return Better;
      break;
    }
    First = &Item;
  }
  // If both samples fail many calls, few upstreams may be left that don't.
  if (First && reportedFailures(*First, Call.Now) < kManyFailures)
    return First;
  return pickLeastLoaded(Call, LocalityIndex, Eligibility::Healthy);
}

Upstream *Router::pickLeastLoaded(Selection &Call, std::size_t LocalityIndex,
                                  Eligibility Criterion) {
  const std::vector<std::size_t> &Candidates =
      Call.Group.ByLocality[LocalityIndex];
  Upstream *Best = nullptr;
  // A random start distributes calls over upstreams with equal load.
  const std::size_t Start =
      Candidates.empty() ? 0 : drawBelow(Candidates.size());
  for (std::size_t Step = 0; Step < Candidates.size(); ++Step) {
    Upstream &Item = Table.at(Candidates[(Start + Step) % Candidates.size()]);
    if (!isEligible(Call, Item, Criterion))
      continue;
    if (!Best || lessLoaded(Call, Item, *Best))
      Best = &Item;
  }
  return Best;
}

Upstream *Router::pickSoonestAvailable(Selection &Call) {
  Upstream *Best = nullptr;
  for (std::size_t LocalityIndex = 0; LocalityIndex < kLocalityCount;
       ++LocalityIndex) {
    if (!Call.WithinDeadline[LocalityIndex])
      continue;
    for (const std::size_t Index : Call.Group.ByLocality[LocalityIndex]) {
      Upstream &Item = Table.at(Index);
      if (isEligible(Call, Item, Eligibility::Limited) &&
          (!Best || Item.AvailableAt < Best->AvailableAt))
        Best = &Item;
    }
  }
  return Best;
}

Upstream *Router::pickLastResort(Selection &Call) {
  if (Upstream *Item = pickSoonestAvailable(Call))
    return Item;
  for (const Eligibility Criterion :
       {Eligibility::Suspect, Eligibility::Ejected})
    for (std::size_t LocalityIndex = 0; LocalityIndex < kLocalityCount;
         ++LocalityIndex)
      if (Call.WithinDeadline[LocalityIndex])
        if (Upstream *Item = pickLeastLoaded(Call, LocalityIndex, Criterion))
          return Item;
  return nullptr;
}

bool Router::isEligible(Selection &Call, const Upstream &Item,
                        Eligibility Criterion) {
  const bool Unavailable =
      Item.State != MemberState::Alive && Item.State != MemberState::Suspect;
  if (Unavailable || Item.RefusedAsDraining)
    return false;
  if (Criterion == Eligibility::Healthy && Item.AvailableAt > Call.Now)
    return false;
  const bool Reachable = Item.State == MemberState::Alive && !Item.Silent;
  if (Criterion <= Eligibility::Limited && !Reachable)
    return false;
  if (Criterion != Eligibility::Ejected && Item.Outlier.ejected())
    return false;
  if (isExcluded(Call.Context, Item.Process))
    return false;
  if (Item.Locality != Locality::OtherRegion)
    return true;
  const base::RegionId &Own = Table.topology().Region;
  const bool Affordable = Budget.hasTokens(Own, Item.Region, Call.Now) &&
                          Budget.hasTokens(Item.Region, Own, Call.Now);
  if (!Affordable)
    Call.OverBudget = &Item;
  return Affordable;
}

bool Router::drawRampUp(Selection &Call, const Upstream &Item) {
  const base::Duration Ramp = Call.Group.Settings.RampUp;
  const base::Duration Age = Call.Now - Item.StartedAt;
  if (Age >= Ramp)
    return true;
  const double Share = double(Age.count()) / double(Ramp.count());
  return drawUniform() < std::max(Share, kInitialShare);
}

// Compares by load upstreams that cost the same, as those do whose calls
// succeed and which have free slots. Much less load outweighs a small cost.
bool Router::lessLoaded(const Selection &Call, const Upstream &A,
                        const Upstream &B) {
  const auto Weighted = [&](const Upstream &Item) {
    return costOf(Item, Call.Context, Call.Now) +
           kLoadWeight * loadOf(Item, Call.Now);
  };
  return Weighted(A) < Weighted(B);
}

UpstreamChoice Router::recordChoice(Selection &Call, Upstream &Item, bool Trial,
                                    bool LastResort) {
  ++Item.InFlight;
  ++Counters.Chosen[std::size_t(Item.Locality)];
  if (Trial) {
    ++Counters.Trials;
    Item.Outlier.startTrial();
  }
  if (Item.Locality == Locality::OtherRegion)
    Budget.charge(Table.topology().Region, Item.Region,
                  Call.Context.RequestBytes, Call.Now);
  return {Item.Process,  Item.Peer, Item.Region,
          Item.Locality, Trial,     LastResort};
}

void Router::finish(const UpstreamChoice &Choice, const CallReport &Report,
                    base::BootTime Now) {
  if (Choice.Locality == Locality::OtherRegion)
    Budget.charge(Choice.Region, Table.topology().Region, Report.ResponseBytes,
                  Now);
  Upstream *Item = Table.find(Choice.Process);
  if (!Item)
    return;
  Item->InFlight -= Item->InFlight > 0;
  if (Report.Slots > 0)
    Item->Slots = Report.Slots;
  if (Report.Load >= 0) {
    Item->ReportedLoad = std::uint32_t(Report.Load);
    Item->ReportedFailures = Report.FailureShare;
    Item->ReportedAt = Now;
  }
  applyResult(*Item, Choice, Report.Result, Now);
}

void Router::setAvailableAt(const base::ProcessId &Process, base::BootTime At) {
  if (Upstream *Item = Table.find(Process))
    Item->AvailableAt = At;
}

void Router::applyResult(Upstream &Item, const UpstreamChoice &Choice,
                         CallResult Result, base::BootTime Now) {
  ServiceUpstreams &Group = *Table.service(Item.Service);
  recordSpillover(Group, Item.Locality, Result, Now);
  switch (Result) {
  case CallResult::Responded:
  case CallResult::Overloaded:
    Group.Ejected -= Item.Outlier.onResponse(Choice.Trial, Now);
    return;
  case CallResult::Draining:
    Item.RefusedAsDraining = true;
    Group.Ejected -= Item.Outlier.onResponse(Choice.Trial, Now);
    return;
  case CallResult::ConnectionFailed:
    eject(Item, Group, Choice.Trial, Now);
    return;
  case CallResult::Failed: {
    const std::size_t Limit = Group.size() / kUpstreamsPerErrorEjection;
    const bool Allowed = Choice.Trial || Group.Ejected < Limit;
    if ((Item.Outlier.onError() && Allowed) || Choice.Trial)
      eject(Item, Group, Choice.Trial, Now);
    return;
  }
  case CallResult::Abandoned:
    if (Choice.Trial)
      Item.Outlier.abandonTrial();
    return;
  }
}

void Router::eject(Upstream &Item, ServiceUpstreams &Group, bool Trial,
                   base::BootTime Now) {
  if (!Item.Outlier.eject(Trial, Now, drawUniform()))
    return;
  ++Group.Ejected;
  ++Counters.Ejections;
}

void Router::recordSpillover(ServiceUpstreams &Group, Locality Target,
                             CallResult Result, base::BootTime Now) {
  if (Result != CallResult::Responded && Result != CallResult::Overloaded)
    return;
  const auto Index = std::size_t(Target);
  const bool Refused = Result == CallResult::Overloaded;
  if (Group.Spillover[Index].record(Refused, Now) && Index > 0)
    Group.Spillover[Index - 1].halve();
}

double Router::drawUniform() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::size_t Router::drawBelow(std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
}

} // namespace routing
