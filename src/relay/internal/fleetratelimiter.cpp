#include "relay/fleetratelimiter.h"

#include "base/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Covers a round trip between regions and a short stall of the limit
/// coordinator.
constexpr base::Duration kPermitTimeout = 200ms;
/// Permits requested beyond those that requests wait for, so that a busy
/// workspace does not need a permit request for each of its requests. Only a
/// workspace that requested permits within the last `kBusyInterval` gets them;
/// otherwise they would expire unused and be lost to the other daemons.
constexpr std::uint32_t kSparePermits = 1;
constexpr base::Duration kBusyInterval =
    ratelimit::kCoordinatorPermitLifetime / 3;

constexpr base::Duration kMaxNoticeAge = std::chrono::hours(1);

std::uint64_t rendezvousScore(const base::WorkspaceName &Workspace,
                              const base::InstanceId &Instance) {
  return base::combineHashes(base::stableHash(Workspace.str()),
                             base::stableHash(Instance.str()));
}

ratelimit::RateAndBurst limitOf(const config::WorkspacePolicy &Workspace) {
  return {Workspace.Rate, Workspace.Burst};
}

} // namespace

FleetRateLimiter::FleetRateLimiter(eventloop::EventLoop &Loop,
                                   base::MetricsRegistry &Metrics,
                                   StructuredLog &Log,
                                   transport::PeerTransport &Peers,
                                   const base::InstanceId &Self,
                                   ratelimit::LimitTolerance Tolerance,
                                   bool FirstStart, SilentListener OnSilent)
    : Loop(Loop), Metrics(Metrics), Log(Log), Peers(Peers), Self(Self),
      Limits(Loop.clock(), Tolerance, FirstStart),
      OnSilent(std::move(OnSilent)) {}

void FleetRateLimiter::setPolicy(config::FleetPolicyPtr NewPolicy) {
  Policy = std::move(NewPolicy);
  selectCoordinators();
}

void FleetRateLimiter::setMembers(const membership::MemberTable &Members) {
  Candidates.clear();
  for (const membership::MemberEntry &Entry : Members.entries())
    if (Entry.Record.State == membership::MemberState::Alive && !Entry.Silent)
      Candidates.push_back({Entry.Record.process(), Entry.Record.Peer});
  selectCoordinators();
}

void FleetRateLimiter::setDaemonCount(std::size_t Count) {
  if (Count == DaemonCount)
    return;
  DaemonCount = Count;
  Limits.setDaemonCount(Count);
  selectCoordinators();
}

void FleetRateLimiter::selectCoordinators() {
  if (!Policy)
    return;
  if (Candidates.size() * 2 <= DaemonCount) {
    for (const auto &[Workspace, Coordinator] : Coordinators)
      Limits.setCoordinator(Workspace, false);
    if (!Coordinators.empty())
      Log.state("limit_keepers_lost",
                {{"reachable", Candidates.size()}, {"announced", DaemonCount}});
    Coordinators.clear();
    return;
  }
  for (const config::WorkspacePolicy &Each : Policy->content().Workspaces) {
    const auto Best = std::max_element(
        Candidates.begin(), Candidates.end(),
        [&](const Member &First, const Member &Second) {
          return rendezvousScore(Each.Name, First.Process.Instance) <
                 rendezvousScore(Each.Name, Second.Process.Instance);
        });
    CoordinatorChoice &Choice = Coordinators[Each.Name];
    Member &Coordinator = Choice.Coordinator;
    const base::InstanceId &Earlier = Coordinator.Process.Instance;
    if (Earlier != Best->Process.Instance) {
      Log.state("limit_keeper_changed", {{"workspace", Each.Name.str()},
                                         {"from", Earlier.str()},
                                         {"to", Best->Process.Instance.str()}});
      if (!Earlier.empty())
        Choice.ReplacedOtherAt = Loop.clock().now();
    }
    Coordinator = *Best;
    // Connects in advance, so that opening the connection does not delay the
    // first requests.
    if (Coordinator.Process.Instance != Self)
      Peers.connectionTo(Coordinator.Peer);
    Limits.setCoordinator(Each.Name, Best->Process.Instance == Self);
  }
}

const FleetRateLimiter::Member *
FleetRateLimiter::coordinatorOf(const base::WorkspaceName &Workspace) const {
  const auto Found = Coordinators.find(Workspace);
  return Found == Coordinators.end() ? nullptr : &Found->second.Coordinator;
}

const config::WorkspacePolicy *
FleetRateLimiter::policyOf(const base::WorkspaceName &Workspace) const {
  return Policy ? Policy->workspace(Workspace) : nullptr;
}

void FleetRateLimiter::admit(const config::WorkspacePolicy &Workspace,
                             Callback Done) {
  if (Limits.tryAdmit(Workspace.Name, limitOf(Workspace)) ==
      ratelimit::AdmissionResult::Admitted)
    return Done(RateLimitResult::Admitted);
  PendingRequest &Pending = PendingRequests[Workspace.Name];
  Pending.Waiting.push_back(std::move(Done));
  if (Pending.Number == 0)
    requestPermits(Workspace.Name, Pending);
}

void FleetRateLimiter::requestPermits(const base::WorkspaceName &Workspace,
                                      PendingRequest &Pending) {
  Pending.Number = ++LastNumber;
  const base::BootTime Now = Loop.clock().now();
  const bool Busy = Now - Pending.SentAt < kBusyInterval;
  Pending.SentAt = Now;
  Pending.Requested = static_cast<std::uint32_t>(Pending.Waiting.size()) +
                      (Busy ? kSparePermits : 0);
  WorkspaceByRequest.emplace(Pending.Number, Workspace);
  Pending.Timer = Loop.startTimer(
      kPermitTimeout,
      [this, Name = base::WorkspaceName(Workspace)] { onTimeout(Name); });
  Metrics.counter("permit_requests_total").add();
  const Member *Coordinator = coordinatorOf(Workspace);
  Pending.SentTo =
      Coordinator != nullptr ? Coordinator->Process : base::ProcessId();
  if (Coordinator == nullptr)
    return;
  notifyCoordinator(Workspace);
  Peers.send(
      Peers.connectionTo(Coordinator->Peer),
      makeFrame(FrameType::PermitRequest,
                PermitRequest{Pending.Number, Workspace, Pending.Requested}));
}

void FleetRateLimiter::notifyCoordinator(const base::WorkspaceName &Workspace) {
  CoordinatorChoice &Choice = Coordinators.at(Workspace);
  const auto ReplacedAt = std::exchange(Choice.ReplacedOtherAt, std::nullopt);
  // This daemon's own buckets know of changes that it has seen itself.
  if (!ReplacedAt || Choice.Coordinator.Process.Instance == Self)
    return;
  const CoordinatorNotice Notice{
      Workspace, static_cast<std::uint64_t>(
                     std::chrono::duration_cast<std::chrono::microseconds>(
                         Loop.clock().now() - *ReplacedAt)
                         .count())};
  Peers.send(Peers.connectionTo(Choice.Coordinator.Peer),
             makeFrame(FrameType::CoordinatorNotice, Notice));
}

/// Reports an unresponsive coordinator and retries once at its successor, since
/// gossip takes several seconds to detect a failed daemon.
void FleetRateLimiter::onTimeout(const base::WorkspaceName &Workspace) {
  Metrics.counter("permit_timeouts_total").add();
  PendingRequest &Pending = PendingRequests[Workspace];
  const base::ProcessId SentTo = Pending.SentTo;
  if (!SentTo.Instance.empty() && SentTo.Instance != Self)
    OnSilent(SentTo);
  const Member *Coordinator = coordinatorOf(Workspace);
  if (Pending.Retried || Coordinator == nullptr ||
      Coordinator->Process == SentTo)
    return completeRequest(Workspace, 0, RateLimitResult::Unavailable);
  WorkspaceByRequest.erase(Pending.Number);
  Pending.Retried = true;
  requestPermits(Workspace, Pending);
}

void FleetRateLimiter::onPermitRequest(transport::ConnectionId From,
                                       const PermitRequest &Request) {
  PermitGrant Grant{Request.Number, 0};
  if (const config::WorkspacePolicy *Known = policyOf(Request.Workspace))
    Grant.Granted =
        Limits.grant(Known->Name, limitOf(*Known), Request.Requested);
  Peers.send(From, makeFrame(FrameType::PermitGrant, Grant));
}

void FleetRateLimiter::onPermitGrant(const PermitGrant &Grant) {
  const auto Found = WorkspaceByRequest.find(Grant.Number);
  if (Found == WorkspaceByRequest.end())
    return;
  completeRequest(base::WorkspaceName(Found->second), Grant.Granted,
                  RateLimitResult::RateExceeded);
}

void FleetRateLimiter::returnPermit(const base::WorkspaceName &Workspace) {
  const Member *Coordinator = coordinatorOf(Workspace);
  if (Coordinator != nullptr)
    Peers.send(Peers.connectionTo(Coordinator->Peer),
               makeFrame(FrameType::PermitReturn, PermitReturn{Workspace, 1}));
}

void FleetRateLimiter::onPermitReturn(const PermitReturn &Returned) {
  if (const config::WorkspacePolicy *Known = policyOf(Returned.Workspace))
    Limits.returnPermits(Known->Name, limitOf(*Known), Returned.Count);
}

void FleetRateLimiter::onCoordinatorNotice(const CoordinatorNotice &Notice) {
  // An older change has no effect on a bucket that has been full since then.
  const std::uint64_t Micros =
      std::min<std::uint64_t>(Notice.ReplacedAgoMicros, kMaxNoticeAge / 1us);
  if (const config::WorkspacePolicy *Known = policyOf(Notice.Workspace))
    Limits.onOtherCoordinator(Known->Name, limitOf(*Known),
                              std::chrono::microseconds(Micros));
}

/// Admits as many waiting requests as there are permits; the others get
/// `RefusalResult`. If the coordinator granted all permits that were requested,
/// the requests that arrived in the meantime are covered by a new permit
/// request instead.
void FleetRateLimiter::completeRequest(const base::WorkspaceName &Workspace,
                                       std::uint32_t Granted,
                                       RateLimitResult RefusalResult) {
  PendingRequest &Pending = PendingRequests[Workspace];
  Loop.cancelTimer(Pending.Timer);
  WorkspaceByRequest.erase(std::exchange(Pending.Number, 0));
  Pending.Retried = false;
  const bool GrantedAll = Granted >= Pending.Requested;
  std::vector<Callback> Waiting = std::exchange(Pending.Waiting, {});
  const std::size_t Admitted = std::min<std::size_t>(Granted, Waiting.size());
  if (Granted > Admitted)
    Limits.addPermits(Workspace,
                      Granted - static_cast<std::uint32_t>(Admitted));
  if (GrantedAll && Waiting.size() > Admitted) {
    Pending.Waiting.assign(
        std::make_move_iterator(Waiting.begin() +
                                static_cast<std::ptrdiff_t>(Admitted)),
        std::make_move_iterator(Waiting.end()));
    Waiting.resize(Admitted);
    requestPermits(Workspace, Pending);
  }
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    Waiting[Index](Index < Admitted ? RateLimitResult::Admitted
                                    : RefusalResult);
}

} // namespace relay
