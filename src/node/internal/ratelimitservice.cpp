#include "node/ratelimitservice.h"

#include <algorithm>
#include <thread>

namespace node {

namespace {

using namespace std::chrono_literals;
using ratelimit::AcquireStatus;

/// Covers a round trip between regions and a short stall of the shard owner.
constexpr base::Duration kOwnerReplyTimeout = 200ms;
constexpr base::Duration kBucketCleanupInterval = 60s;
/// Maximum wait for the next permit before a refusal.
constexpr base::Duration kMaxPermitWait = 100ms;
/// Maximum number of requests that wait for a permit at the same time, so that
/// a workspace far over its rate can't occupy all connections.
constexpr std::size_t kMaxWaitingRequests = 32;

ratelimit::FleetLimits limitsOf(const config::Configuration &Config) {
  ratelimit::FleetLimits Result;
  const config::FleetConfig &Fleet = Config.fleet();
  for (const config::DataCentreConfig &Each : Fleet.DataCentres)
    Result.Placement.DataCentres.push_back(Each.Name);
  Result.Placement.SlicesPerDataCentre =
      static_cast<std::uint16_t>(Fleet.SlicesPerDataCentre);
  for (const auto &[Name, Service] : Config.services())
    for (const config::WorkspaceConfig &Each : Service->config().Workspaces)
      Result.Limits.push_back({Name, Each.Name, {Each.Rate, Each.Burst}});
  return Result;
}

/// This data centre, then the others of this region, then those of other
/// regions.
std::vector<base::DataCentreId> nearestFirst(const config::FleetConfig &Fleet,
                                             const Runtime &Shared) {
  std::vector<config::DataCentreConfig> Ordered = Fleet.DataCentres;
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [&Shared](const auto &A, const auto &B) {
                     const auto Distance = [&Shared](const auto &Each) {
                       if (Each.Name == Shared.DataCentre)
                         return 0;
                       return Each.Region == Shared.Region ? 1 : 2;
                     };
                     return Distance(A) < Distance(B);
                   });
  std::vector<base::DataCentreId> Result(Ordered.size());
  std::transform(
      Ordered.begin(), Ordered.end(), Result.begin(),
      [](const config::DataCentreConfig &Each) { return Each.Name; });
  return Result;
}

} // namespace

RateLimitService::RateLimitService(Runtime &Shared, ControlPlane &Control)
    : Shared(Shared), Control(Control), Grantor(Shared.Clock, Limits) {}

void RateLimitService::configure(const config::Configuration &Config) {
  const auto Order = nearestFirst(Config.fleet(), Shared);
  std::lock_guard Lock(Mutex);
  applyLimits(Config);
  if (Order.empty())
    Pool.reset();
  else if (!Pool || Order != PoolOrder)
    Pool = std::make_unique<ratelimit::PermitPool>(Shared.Clock, Limits,
                                                   Shared.Self, Order);
  PoolOrder = Order;
}

/// Applies only the limits of changed services if the fleet file, which sets
/// the slice placement, is unchanged, because applying many limits at once
/// delays requests.
void RateLimitService::applyLimits(const config::Configuration &Config) {
  const base::BootTime Now = Shared.Clock.now();
  const bool FleetConfigChanged = AppliedFleetConfig != Config.sharedFleet();
  if (FleetConfigChanged)
    Limits.adopt(limitsOf(Config), Now, base::Duration::zero());
  else
    applyChangedLimits(Config, Now);
  AppliedServices = Config.services();
  AppliedFleetConfig = Config.sharedFleet();
}

void RateLimitService::applyChangedLimits(const config::Configuration &Config,
                                          base::BootTime Now) {
  for (const auto &[Name, Old] : AppliedServices) {
    const config::Service *New = Config.service(Name);
    for (const config::WorkspaceConfig &Each : Old->config().Workspaces)
      if (New == nullptr || New->workspace(Each.Name) == nullptr)
        Limits.setLimit(Name, Each.Name, std::nullopt, Now);
  }
  for (const auto &[Name, New] : Config.services()) {
    const auto Old = AppliedServices.find(Name);
    if (Old != AppliedServices.end() && Old->second == New)
      continue;
    for (const config::WorkspaceConfig &Each : New->config().Workspaces)
      Limits.setLimit(Name, Each.Name, ratelimit::Limit{Each.Rate, Each.Burst},
                      Now);
  }
}

std::optional<base::ErrorKind>
RateLimitService::acquire(const base::ServiceName &Service,
                          const base::WorkspaceName &Workspace) {
  std::unique_lock Lock(Mutex);
  AcquireStatus Status = acquireOnce(Lock, Service, Workspace);
  if (Status == AcquireStatus::RateExceeded &&
      waitForPermit(Lock, Service, Workspace))
    Status = acquireOnce(Lock, Service, Workspace);
  if (Status == AcquireStatus::Acquired)
    return std::nullopt;
  return refuse(Status == AcquireStatus::Unavailable
                    ? base::ErrorKind::LimitUnavailable
                    : base::ErrorKind::RateExceeded);
}

/// Acquires a permit from the pool or from the shard owners that it selects.
AcquireStatus
RateLimitService::acquireOnce(std::unique_lock<std::mutex> &Lock,
                              const base::ServiceName &Service,
                              const base::WorkspaceName &Workspace) {
  if (!Pool)
    return AcquireStatus::Unavailable;
  ratelimit::AcquireResult Result = Pool->tryAcquire(Service, Workspace);
  while (Result.Status == AcquireStatus::MustRequest) {
    const auto Request = Pool->nextRequest(Result.Wait);
    if (!Request)
      return Pool->finish(Result.Wait);
    Lock.unlock();
    const auto Grant = requestFromOwner(*Request);
    Lock.lock();
    // `configure` removes the pool if the fleet file lists no data centre.
    if (!Pool)
      return AcquireStatus::Unavailable;
    if (!Grant)
      Pool->onRequestFailed(Request->Sequence);
    else if (Pool->acquireFrom(Result.Wait, *Grant))
      return AcquireStatus::Acquired;
  }
  return Result.Status;
}

/// Waits if a permit will be available shortly: a small burst is often spread
/// over slices that all hold slightly less than a whole permit. Returns false
/// without waiting if it would take too long or too many requests are waiting.
bool RateLimitService::waitForPermit(std::unique_lock<std::mutex> &Lock,
                                     const base::ServiceName &Service,
                                     const base::WorkspaceName &Workspace) {
  if (!Pool || WaitingRequests >= kMaxWaitingRequests)
    return false;
  const auto Wait = Pool->timeToNextPermit(Service, Workspace);
  if (!Wait || *Wait > kMaxPermitWait)
    return false;
  ++WaitingRequests;
  Lock.unlock();
  std::this_thread::sleep_for(*Wait);
  Lock.lock();
  --WaitingRequests;
  return true;
}

void RateLimitService::onPermitRequest(
    transport::ConnectionId Connection,
    const ratelimit::PermitRequest &Request) {
  const auto Grant = grantLocally(Request);
  if (Grant && !Grant->SliceGrants.empty())
    Transport->send(Connection,
                    {static_cast<std::uint8_t>(MessageType::PermitGrant),
                     base::encode(*Grant)});
}

void RateLimitService::onPermitGrant(const ratelimit::PermitGrant &Grant) {
  if (Replies.deliver(Grant.Sequence, Grant))
    return;
  std::lock_guard Lock(Mutex);
  if (Pool)
    Pool->addGrant(Grant);
}

void RateLimitService::tick() {
  std::vector<ratelimit::PermitRequest> Requests;
  {
    std::lock_guard Lock(Mutex);
    if (!Pool)
      return;
    Requests = Pool->tick();
    if (Shared.Clock.now() >= NextBucketCleanup) {
      NextBucketCleanup = Shared.Clock.now() + kBucketCleanupInterval;
      Grantor.dropIdleBuckets();
    }
  }
  for (const ratelimit::PermitRequest &Request : Requests) {
    const auto Grant = grantLocally(Request);
    if (!Grant && sendToOwner(Request))
      continue;
    std::lock_guard Lock(Mutex);
    if (!Pool)
      return;
    if (Grant)
      Pool->addGrant(*Grant);
    else
      Pool->onRequestFailed(Request.Sequence);
  }
}

/// Grants permits from a shard that this daemon owns. Returns no value if its
/// tenure isn't valid now.
std::optional<ratelimit::PermitGrant>
RateLimitService::grantLocally(const ratelimit::PermitRequest &Request) {
  if (Request.Shard.DataCentre != Shared.DataCentre)
    return std::nullopt;
  const auto Tenure = Control.validOwnership(Request.Shard);
  if (!Tenure)
    return std::nullopt;
  std::lock_guard Lock(Mutex);
  return Grantor.handle(Request, *Tenure);
}

bool RateLimitService::sendToOwner(const ratelimit::PermitRequest &Request) {
  const auto Owner = Control.ownerOf(Request.Shard);
  if (!Owner || Owner->Process == Shared.Self)
    return false;
  Shared.Metrics.counter("permit_requests_sent_total").add();
  return Transport->send(Transport->connectionTo(Owner->Peer),
                         {static_cast<std::uint8_t>(MessageType::PermitRequest),
                          base::encode(Request)});
}

std::optional<ratelimit::PermitGrant>
RateLimitService::requestFromOwner(const ratelimit::PermitRequest &Request) {
  if (auto Grant = grantLocally(Request))
    return Grant;
  Replies.expect(Request.Sequence);
  // If the request wasn't sent, the wait only unregisters the pending reply.
  const bool Sent = sendToOwner(Request);
  return Replies.wait(Request.Sequence,
                      Sent ? kOwnerReplyTimeout : base::Duration::zero());
}

base::ErrorKind RateLimitService::refuse(base::ErrorKind Kind) {
  Shared.Metrics
      .counter("permits_refused_total{kind=\"" +
               std::string(base::errorResponseFor(Kind).Name) + "\"}")
      .add();
  return Kind;
}

} // namespace node
