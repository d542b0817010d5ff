#include "ratelimit/permitpool.h"

#include "ratelimit/internal/permitstock.h"
#include "ratelimit/internal/sliceestimates.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

namespace ratelimit {

namespace {

// The pool holds permits for the demand that is expected in this time. At least
// 200 ms and a round trip between regions; more where the burst allows it, so
// that a daemon with eight busy workspaces stays within 5 KB/s of control
// traffic.
constexpr double kMinHorizonSeconds = 0.25;
constexpr double kMaxHorizonSeconds = 0.6;

// Range of the report interval, the longest time until a use is reported; for
// the same bound on control traffic.
constexpr double kMinReportSeconds = 0.1;
constexpr double kMaxReportSeconds = 0.5;

// Pools may hold permits for this fraction of the time in which the rate fills
// the burst, since held and unreported permits are missing in the bucket.
constexpr double kHeldFraction = 0.25;

constexpr base::Duration kPrefetchInterval = std::chrono::milliseconds(20);

// Maximum number of slices from which one call or one prefetch requests
// permits.
constexpr std::size_t kMaxSlicesTried = 4;

// Time constant of the exponential decay of the measured demand.
constexpr double kDemandDecaySeconds = 1;

// If no slice is expected to have a permit, one slice is tried at most this
// often, since returned permits make the actual level higher than the estimate.
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(100);

// Time without a request after which the state of a limit is removed, provided
// that no permits of it are held.
constexpr base::Duration kIdleStateRetention = std::chrono::seconds(10);

double holdSeconds(const Limit &Total, double Min, double Max) {
  const double FillSeconds = Total.Burst / std::max(Total.RatePerSecond, 1e-9);
  return std::clamp(kHeldFraction * FillSeconds, Min, Max);
}

base::Duration reportInterval(const Limit &Total) {
  const double Seconds =
      holdSeconds(Total, kMinReportSeconds, kMaxReportSeconds);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

struct PermitPool::LimitState {
  PermitStock Stock;
  SliceEstimates Estimates;
  /// Requests per second, averaged over about a second.
  double Demand = 0;
  base::BootTime DemandAt;
  base::BootTime NextPrefetch;
  base::BootTime NextProbe;
  /// Permits that were requested and for which no reply has arrived.
  std::uint32_t PendingPermits = 0;

  double demand(base::BootTime Now) const {
    const double Age = std::chrono::duration<double>(Now - DemandAt).count();
    return Demand * std::exp(-Age / kDemandDecaySeconds);
  }

  void countRequest(base::BootTime Now) {
    Demand = demand(Now) + 1 / kDemandDecaySeconds;
    DemandAt = Now;
  }
};

struct PermitPool::PendingRequest {
  base::BootTime SentAt;
  std::vector<SliceRequest> SliceRequests;
};

struct PermitPool::Implementation {
  DataCentreDistances Distances;
  std::unordered_map<LimitId, LimitState> States;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::uint64_t LastSequence = 0;
  /// Requests that are being assembled in a tick.
  std::map<ownership::ShardId, PermitRequest> Outbox;
};

PermitPool::PermitPool(const base::Clock &Clock, const LimitTable &Limits,
                       base::ProcessId Self,
                       const std::vector<base::DataCentreId> &NearestFirst)
    : Clock(Clock), Limits(Limits), Self(std::move(Self)),
      Impl(std::make_unique<Implementation>()) {
  for (const base::DataCentreId &DataCentre : NearestFirst)
    Impl->Distances.emplace(DataCentre, Impl->Distances.size());
}

PermitPool::~PermitPool() = default;

PermitPool::LimitState &PermitPool::stateFor(LimitId Id, const Limit &Total,
                                             base::BootTime Now) {
  auto [Found, Inserted] = Impl->States.try_emplace(Id);
  if (Inserted)
    Found->second.DemandAt = Now;
  Found->second.Estimates.update(Id, Total, Limits.placement(),
                                 Limits.placementVersion(), Impl->Distances);
  return Found->second;
}

AcquireResult PermitPool::tryAcquire(const base::ServiceName &Service,
                                     const base::WorkspaceName &Workspace) {
  const base::BootTime Now = Clock.now();
  const LimitId Id = limitId(Service, Workspace);
  const Limit *Total = Limits.find(Id);
  if (!Total)
    return {};
  LimitState &State = stateFor(Id, *Total, Now);
  State.countRequest(Now);
  if (State.Stock.take(Now))
    return {};
  AcquireResult Result{AcquireStatus::MustRequest, makeWait(Id, State, Now)};
  if (Result.Wait.Slices.empty())
    Result.Status = State.Estimates.candidates(Now).empty()
                        ? AcquireStatus::Unavailable
                        : AcquireStatus::RateExceeded;
  return Result;
}

PermitWait PermitPool::makeWait(LimitId Id, LimitState &State,
                                base::BootTime Now) const {
  PermitWait Wait{Id, {}, 0, false};
  const std::vector<SliceEstimates::Candidate> Candidates =
      State.Estimates.candidates(Now);
  for (const SliceEstimates::Candidate &Each : Candidates) {
    if (Each.Level >= 1 && Wait.Slices.size() < kMaxSlicesTried)
      Wait.Slices.push_back(Each.Slice);
  }
  if (!Wait.Slices.empty() || Candidates.empty() || Now < State.NextProbe)
    return Wait;
  State.NextProbe = Now + kProbeInterval;
  const auto Best = std::max_element(Candidates.begin(), Candidates.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.Level < Right.Level;
                                     });
  Wait.Slices.push_back(Best->Slice);
  return Wait;
}

// Returns the permits to request so that the pool covers the expected demand.
std::uint16_t PermitPool::missingPermits(const LimitState &State,
                                         const Limit &Total,
                                         base::BootTime Now) const {
  const double Target =
      State.demand(Now) *
      holdSeconds(Total, kMinHorizonSeconds, kMaxHorizonSeconds);
  const double Available = State.Stock.remaining(Now) + State.PendingPermits;
  const double Missing = std::floor(Target - Available);
  if (Missing < 1 || Missing < Target / 2)
    return 0;
  return static_cast<std::uint16_t>(std::min(Missing, 10000.0));
}

std::optional<PermitRequest> PermitPool::nextRequest(PermitWait &Wait) {
  auto Found = Impl->States.find(Wait.Id);
  const Limit *Total = Limits.find(Wait.Id);
  if (Found == Impl->States.end() || !Total || Wait.Next >= Wait.Slices.size())
    return std::nullopt;
  const std::uint16_t Slice = Wait.Slices[Wait.Next++];
  if (Slice >= sliceCount(*Total, Limits.placement()))
    return std::nullopt;
  const base::BootTime Now = Clock.now();
  LimitState &State = Found->second;
  const SliceRequest Entry{Wait.Id, Slice, 1,
                           missingPermits(State, *Total, Now)};
  State.PendingPermits += Entry.Prefetch + 1;
  State.Estimates.onRequested(Slice, 1, Now);
  PermitRequest Request;
  Request.From = Self;
  Request.Shard = sliceAt(Wait.Id, *Total, Limits.placement(), Slice).Shard;
  Request.Sequence = ++Impl->LastSequence;
  Request.SliceRequests.push_back(Entry);
  Impl->PendingRequests[Request.Sequence] = {Now, Request.SliceRequests};
  return Request;
}

bool PermitPool::acquireFrom(PermitWait &Wait, const PermitGrant &Grant) {
  Wait.GotReply = true;
  addGrant(Grant);
  auto Found = Impl->States.find(Wait.Id);
  return Found != Impl->States.end() && Found->second.Stock.take(Clock.now());
}

AcquireStatus PermitPool::finish(const PermitWait &Wait) {
  auto Found = Impl->States.find(Wait.Id);
  if (Found != Impl->States.end() && Found->second.Stock.take(Clock.now()))
    return AcquireStatus::Acquired;
  return Wait.GotReply ? AcquireStatus::RateExceeded
                       : AcquireStatus::Unavailable;
}

std::optional<base::Duration>
PermitPool::timeToNextPermit(const base::ServiceName &Service,
                             const base::WorkspaceName &Workspace) const {
  auto Found = Impl->States.find(limitId(Service, Workspace));
  if (Found == Impl->States.end())
    return base::Duration();
  return Found->second.Estimates.timeToNextPermit(Clock.now());
}

PermitRequest &PermitPool::requestFor(const ownership::ShardId &Shard) {
  PermitRequest &Message = Impl->Outbox[Shard];
  if (Message.Sequence == 0) {
    Message.From = Self;
    Message.Shard = Shard;
    Message.Sequence = ++Impl->LastSequence;
  }
  return Message;
}

void PermitPool::prefetch(LimitId Id, const Limit &Total, LimitState &State,
                          base::BootTime Now) {
  State.NextPrefetch = Now + kPrefetchInterval;
  std::uint16_t Missing = missingPermits(State, Total, Now);
  if (Missing == 0)
    return;
  std::size_t SlicesTried = 0;
  for (const SliceEstimates::Candidate &Each :
       State.Estimates.candidates(Now)) {
    // A grantor grants at most half of its level to prefetches.
    const double Expected = std::floor(Each.Level / 2);
    if (Expected < 1)
      continue;
    const auto Prefetch =
        static_cast<std::uint16_t>(std::min<double>(Missing, Expected));
    const SliceRequest Entry{Id, Each.Slice, 0, Prefetch};
    requestFor(sliceAt(Id, Total, Limits.placement(), Each.Slice).Shard)
        .SliceRequests.push_back(Entry);
    State.PendingPermits += Prefetch;
    State.Estimates.onRequested(Each.Slice, Prefetch, Now);
    Missing -= Prefetch;
    if (Missing == 0 || ++SlicesTried == kMaxSlicesTried)
      return;
  }
}

// Adds the due reports of a limit to the requests that are being assembled, and
// creates requests for them if necessary. If a request to the owner of a shard
// exists already, it carries all reports of the limit for that shard.
void PermitPool::collectReports(LimitId Id, const Limit *Total,
                                LimitState &State, base::BootTime Now) {
  const PermitStock::ReportPolicy Policy{State.Estimates.sliceBurst(),
                                         Total ? reportInterval(*Total)
                                               : base::Duration::zero()};
  const auto HasMessage = [this](const ownership::ShardId &Shard) {
    return Impl->Outbox.count(Shard) != 0;
  };
  for (PermitStock::DueReport &Due :
       State.Stock.dueReports(Id, Policy, HasMessage, Now))
    requestFor(Due.Shard).Reports.push_back(Due.Report);
}

std::vector<PermitRequest> PermitPool::tick() {
  const base::BootTime Now = Clock.now();
  expirePending(Now);
  Impl->Outbox.clear();
  for (auto &[Id, State] : Impl->States) {
    const Limit *Total = Limits.find(Id);
    if (Total && Now >= State.NextPrefetch) {
      State.Estimates.update(Id, *Total, Limits.placement(),
                             Limits.placementVersion(), Impl->Distances);
      prefetch(Id, *Total, State, Now);
    }
    collectReports(Id, Total, State, Now);
  }
  std::erase_if(Impl->States, [Now](const auto &Item) {
    return Item.second.Stock.empty() &&
           Now >= Item.second.DemandAt + kIdleStateRetention;
  });
  std::vector<PermitRequest> Messages;
  for (auto &[Shard, Message] : Impl->Outbox) {
    if (!Message.SliceRequests.empty())
      Impl->PendingRequests[Message.Sequence] = {Now, Message.SliceRequests};
    Messages.push_back(std::move(Message));
  }
  return Messages;
}

void PermitPool::addGrant(const PermitGrant &Grant) {
  auto Found = Impl->PendingRequests.find(Grant.Sequence);
  if (Grant.To != Self || Found == Impl->PendingRequests.end())
    return;
  const base::BootTime Now = Clock.now();
  for (const SliceGrant &Entry : Grant.SliceGrants) {
    auto State = Impl->States.find(Entry.Limit);
    if (State == Impl->States.end())
      continue;
    State->second.Estimates.setLevel(Entry.Slice, Entry.LevelHundredths / 100.0,
                                     Now);
    if (Entry.Granted > 0)
      State->second.Stock.add(Grant, Entry, Found->second.SentAt, Now);
  }
  removePending(Grant.Sequence, true);
}

void PermitPool::onRequestFailed(std::uint64_t Sequence) {
  removePending(Sequence, false);
}

void PermitPool::removePending(std::uint64_t Sequence, bool GotReply) {
  auto Found = Impl->PendingRequests.find(Sequence);
  if (Found == Impl->PendingRequests.end())
    return;
  for (const SliceRequest &Entry : Found->second.SliceRequests) {
    auto State = Impl->States.find(Entry.Limit);
    if (State == Impl->States.end())
      continue;
    State->second.PendingPermits -= std::min<std::uint32_t>(
        State->second.PendingPermits, Entry.Required + Entry.Prefetch);
    if (!GotReply)
      State->second.Estimates.onNoReply(Entry.Slice, Clock.now());
  }
  Impl->PendingRequests.erase(Found);
}

// A reply that arrives after the permits' expiry is of no use.
void PermitPool::expirePending(base::BootTime Now) {
  while (!Impl->PendingRequests.empty()) {
    const auto &[Sequence, First] = *Impl->PendingRequests.begin();
    if (Now < First.SentAt + kPermitExpiry)
      return;
    removePending(Sequence, false);
  }
}

std::size_t PermitPool::size() const { return Impl->States.size(); }

} // namespace ratelimit
