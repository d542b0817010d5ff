#include "relay/fleetratelimiter.h"

#include "relay/internal/durations.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Covers a round trip between regions and a short stall of the limit
/// coordinator.
constexpr base::Duration kPermitTimeout = 200ms;
/// A request without a reply is sent once more after this time, since datagrams
/// get lost: longer than a round trip between regions.
constexpr base::Duration kRepeatDelay = 90ms;
/// A grant that arrives later than this after its request is not used: the
/// coordinator may have granted the same rate again by then.
constexpr base::Duration kMaxGrantDelay = 2 * kPermitTimeout;
/// Permits requested beyond those that requests wait for, so that a busy
/// workspace does not need a permit request for each of its requests. Only a
/// workspace that requested permits within the last `kBusyInterval` gets them;
/// otherwise they would expire unused and be lost to the other daemons.
constexpr std::uint32_t kSparePermits = 1;
constexpr base::Duration kBusyInterval =
    ratelimit::kCoordinatorPermitLifetime / 3;

/// A change of coordinator that is longer ago has no effect on a bucket, which
/// has been full since then.
constexpr base::Duration kMaxChangeAge = std::chrono::hours(1);

/// How often a coordinator of a scarce workspace updates the share of the fleet
/// that uses it, and how many daemons it asks each time.
constexpr base::Duration kContactInterval = 100ms;
constexpr unsigned kChecksPerInterval = 2;
/// A group whose permits were not requested for so long is not updated.
constexpr base::Duration kActiveTime = 1s;
constexpr base::Duration kShareLogInterval = 1s;

/// A coordinator is logged once it has not changed for this long, since it
/// changes with nearly every member that appears while a fleet starts.
constexpr base::Duration kLogDelay = 500ms;

ratelimit::RateAndBurst limitOf(const config::WorkspacePolicy &Workspace) {
  return {Workspace.Rate, Workspace.Burst};
}

} // namespace

FleetRateLimiter::FleetRateLimiter(eventloop::EventLoop &Loop,
                                   base::MetricsRegistry &Metrics,
                                   StructuredLog &Log,
                                   transport::PeerTransport &Peers,
                                   const base::ProcessId &Self,
                                   ratelimit::LimitTolerance Tolerance,
                                   bool FirstStart, SilentListener OnSilent)
    : Loop(Loop), Metrics(Metrics), Log(Log), Peers(Peers), Self(Self),
      Limits(Loop.clock(), Tolerance, FirstStart),
      OnSilent(std::move(OnSilent)) {}

void FleetRateLimiter::setPolicy(config::FleetPolicyPtr NewPolicy) {
  Policy = std::move(NewPolicy);
  std::array<std::vector<base::WorkspaceName>, ratelimit::kLimitGroups> Names;
  for (const config::WorkspacePolicy &Each : Policy->content().Workspaces)
    Names[ratelimit::CoordinatorTable::groupOf(Each.Name)].push_back(Each.Name);
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    setWorkspaces(Groups[Index], std::move(Names[Index]));
}

void FleetRateLimiter::setWorkspaces(Group &Target,
                                     std::vector<base::WorkspaceName> Names) {
  if (Names == Target.Workspaces)
    return;
  Target.Workspaces = std::move(Names);
  applyOwnRole(Target);
  // Names the coordinator of those that are new.
  Target.LoggedCoordinator = {};
  Target.LogAt = Loop.clock().now() + kLogDelay;
}

void FleetRateLimiter::tick() {
  Limits.tick();
  const base::BootTime Now = Loop.clock().now();
  for (Group &Each : Groups)
    if (Each.LogAt && Now >= *Each.LogAt)
      logChange(Each);
  if (Now - ContactUpdatedAt < kContactInterval)
    return;
  ContactUpdatedAt = Now;
  for (Group &Each : Groups)
    if (Now - Each.RequestedAt < kActiveTime)
      updateContact(Each);
}

void FleetRateLimiter::updateContact(Group &Target) {
  const auto *Coordinator = coordinatorOf(Target);
  if (Coordinator == nullptr || Coordinator->Process.Instance != Self.Instance)
    return;
  const base::BootTime Now = Loop.clock().now();
  double Share = 1;
  const std::size_t Heard = Target.Contact.heardDaemons(Now);
  if (hasScarceWorkspace(Target)) {
    if (double(Heard) < ratelimit::kWholeFleetShare * double(Others.size()))
      sendChecks(Target);
    Share = Target.Contact.share(Others.size(), Now);
    if (Share >= ratelimit::kWholeFleetShare)
      Share = 1;
    logShare(Target, Share);
  }
  for (const base::WorkspaceName &Each : Target.Workspaces)
    if (const config::WorkspacePolicy *Known = policyOf(Each))
      Limits.setCoordinatedShare(Each, limitOf(*Known), Share);
}

bool FleetRateLimiter::hasScarceWorkspace(const Group &Target) {
  bool Result = false;
  for (const base::WorkspaceName &Each : Target.Workspaces)
    if (const config::WorkspacePolicy *Known = policyOf(Each))
      Result = Limits.isScarce(Each, limitOf(*Known)) || Result;
  return Result;
}

/// Asks daemons at random that have not requested permits lately.
void FleetRateLimiter::sendChecks(Group &Target) {
  const base::BootTime Now = Loop.clock().now();
  std::vector<base::Endpoint> Unheard;
  for (const auto &[Instance, Peer] : Others)
    if (!Target.Contact.hasHeardFrom(Peer, Now))
      Unheard.push_back(Peer);
  std::shuffle(Unheard.begin(), Unheard.end(), Random);
  Unheard.resize(std::min<std::size_t>(Unheard.size(), kChecksPerInterval));
  for (const base::Endpoint &Each : Unheard) {
    const PermitMessageId Id = nextId();
    Target.Contact.onCheckSent(Id.Number, Now);
    Metrics.counter("coordinator_checks_total").add();
    send(Each, CoordinatorCheck{Id, Target.Workspaces.front()});
  }
}

void FleetRateLimiter::logShare(Group &Target, double Share) {
  const base::BootTime Now = Loop.clock().now();
  const bool Divided = Share < 1;
  if (Divided == Target.LoggedDivided ||
      Now - Target.LoggedDividedAt < kShareLogInterval)
    return;
  Target.LoggedDivided = Divided;
  Target.LoggedDividedAt = Now;
  for (const base::WorkspaceName &Each : Target.Workspaces)
    Log.state("limit_keeper_share",
              {{"workspace", Each.str()},
               {"share", Share},
               {"requesting", Target.Contact.heardDaemons(Now)},
               {"others", Others.size()}});
}

void FleetRateLimiter::applyChanges(
    const membership::MemberTable &Members,
    const std::vector<base::InstanceId> &Changed) {
  for (const base::InstanceId &Instance : Changed) {
    const membership::MemberEntry *Entry = Members.find(Instance);
    // A daemon that drains is about to end, and nothing is known of its end.
    if (Entry != nullptr && Instance != Self.Instance &&
        Entry->Record.State < membership::MemberState::Draining)
      Others[Instance] = Entry->Record.Peer;
    else
      Others.erase(Instance);
    if (Entry != nullptr && Members.isUsable(Entry->Record.process()))
      Coordinators.add({Entry->Record.process(), Entry->Record.Peer});
    else
      Coordinators.remove(Instance);
  }
  updateMajority();
  updateCoordinators();
}

void FleetRateLimiter::setDaemonCount(std::size_t Count) {
  if (Count == DaemonCount)
    return;
  DaemonCount = Count;
  Limits.setDaemonCount(Count);
  updateMajority();
}

bool FleetRateLimiter::hasMajority() const {
  return Coordinators.size() * 2 > DaemonCount;
}

void FleetRateLimiter::updateMajority() {
  if (Majority == hasMajority())
    return;
  Majority = !Majority;
  Log.state(Majority ? "limit_keepers_available" : "limit_keepers_lost",
            {{"reachable", Coordinators.size()}, {"announced", DaemonCount}});
  for (const Group &Each : Groups)
    applyOwnRole(Each);
}

void FleetRateLimiter::updateCoordinators() {
  for (const std::size_t Index : Coordinators.takeChanges())
    if (const auto *Selected = Coordinators.coordinatorOf(Index))
      setCoordinator(Groups[Index], *Selected);
}

void FleetRateLimiter::setCoordinator(
    Group &Target, const ratelimit::CoordinatorCandidate &Selected) {
  const base::InstanceId &Earlier = Target.Coordinator.Process.Instance;
  if (!Earlier.empty() && Earlier != Selected.Process.Instance) {
    ++Target.LastChange.Number;
    Target.LastChange.At = Loop.clock().now();
  }
  if (Earlier != Selected.Process.Instance)
    Target.LogAt = Loop.clock().now() + kLogDelay;
  Target.Coordinator = Selected;
  applyOwnRole(Target);
}

/// Tells the buckets of a group's workspaces whether this daemon is their
/// coordinator.
void FleetRateLimiter::applyOwnRole(const Group &Target) {
  const auto *Coordinator = coordinatorOf(Target);
  const bool IsOwn =
      Coordinator != nullptr && Coordinator->Process.Instance == Self.Instance;
  for (const base::WorkspaceName &Each : Target.Workspaces)
    Limits.setCoordinator(Each, IsOwn);
}

void FleetRateLimiter::logChange(Group &Target) {
  Target.LogAt.reset();
  const base::InstanceId &Selected = Target.Coordinator.Process.Instance;
  if (Selected == Target.LoggedCoordinator)
    return;
  for (const base::WorkspaceName &Each : Target.Workspaces)
    Log.state("limit_keeper_changed", {{"workspace", Each.str()},
                                       {"from", Target.LoggedCoordinator.str()},
                                       {"to", Selected.str()},
                                       {"reachable", Coordinators.size()}});
  Target.LoggedCoordinator = Selected;
}

FleetRateLimiter::Group &
FleetRateLimiter::groupOf(const base::WorkspaceName &Workspace) {
  return Groups[ratelimit::CoordinatorTable::groupOf(Workspace)];
}

const ratelimit::CoordinatorCandidate *
FleetRateLimiter::coordinatorOf(const Group &Target) const {
  if (!Majority || Target.Coordinator.Process.Instance.empty())
    return nullptr;
  return &Target.Coordinator;
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
  if (!Pending.Active)
    requestPermits(Workspace.Name, Pending);
}

void FleetRateLimiter::requestPermits(const base::WorkspaceName &Workspace,
                                      PendingRequest &Pending) {
  forgetNumbers(Pending);
  const base::BootTime Now = Loop.clock().now();
  const bool Busy = Now - Pending.SentAt < kBusyInterval;
  Pending.Active = true;
  Pending.SentAt = Now;
  Pending.Sends = 0;
  Pending.Requested = static_cast<std::uint32_t>(Pending.Waiting.size()) +
                      (Busy ? kSparePermits : 0);
  Metrics.counter("permit_requests_total").add();
  const auto *Coordinator = coordinatorOf(groupOf(Workspace));
  Pending.SentTo =
      Coordinator != nullptr ? Coordinator->Process : base::ProcessId();
  if (Pending.SentTo.Instance == Self.Instance)
    return grantOwnPermits(Workspace, Pending);
  if (Coordinator != nullptr)
    sendRequest(Workspace, Pending);
  Pending.Timer = Loop.startTimer(
      Coordinator != nullptr ? kRepeatDelay : kPermitTimeout,
      [this, Name = base::WorkspaceName(Workspace)] { onTimer(Name); });
}

/// As coordinator of the workspace, grants the permits at once.
void FleetRateLimiter::grantOwnPermits(const base::WorkspaceName &Workspace,
                                       PendingRequest &Pending) {
  // The buckets of this daemon know of the changes that it has seen itself.
  Group &Target = groupOf(Workspace);
  Target.RequestedAt = Loop.clock().now();
  Pending.ConfirmedChange = Target.LastChange.Number;
  const config::WorkspacePolicy *Known = policyOf(Workspace);
  const std::uint32_t Granted =
      Known == nullptr
          ? 0
          : Limits.grant(Workspace, limitOf(*Known), Pending.Requested);
  completeRequest(base::WorkspaceName(Workspace), Granted,
                  RateLimitResult::RateExceeded);
}

/// Sends the request to the current coordinator.
void FleetRateLimiter::sendRequest(const base::WorkspaceName &Workspace,
                                   PendingRequest &Pending) {
  const Group &Target = groupOf(Workspace);
  PermitRequest Request;
  Request.Id = nextId();
  Request.Workspace = Workspace;
  Request.Requested = Pending.Requested;
  Request.ReplacedAgoMicros = replacedAgoMicros(Target, Pending);
  Pending.Numbers[Pending.Sends++] = Request.Id.Number;
  WorkspaceByRequest.emplace(Request.Id.Number, Workspace);
  send(Target.Coordinator.Peer, Request);
}

/// How long ago the last change of coordinator was, unless a coordinator has
/// confirmed that it knows of it; then 0.
std::uint64_t
FleetRateLimiter::replacedAgoMicros(const Group &Target,
                                    PendingRequest &Pending) const {
  Pending.StatedChange = Target.LastChange.Number;
  if (Pending.ConfirmedChange == Target.LastChange.Number)
    return 0;
  const base::Duration Age = Loop.clock().now() - Target.LastChange.At;
  return std::max<std::uint64_t>(
      1, microseconds(std::min<base::Duration>(Age, kMaxChangeAge)));
}

void FleetRateLimiter::forgetNumbers(PendingRequest &Pending) {
  for (std::uint64_t &Each : Pending.Numbers)
    WorkspaceByRequest.erase(std::exchange(Each, 0));
}

void FleetRateLimiter::onTimer(const base::WorkspaceName &Workspace) {
  PendingRequest &Pending = PendingRequests[Workspace];
  if (Pending.SentTo.Instance.empty() || Pending.Sends == kMaxSends)
    return onTimeout(Workspace, Pending);
  const auto *Coordinator = coordinatorOf(groupOf(Workspace));
  if (Coordinator == nullptr || Coordinator->Process != Pending.SentTo)
    return requestElsewhere(Workspace, Pending);
  Metrics.counter("permit_requests_repeated_total").add();
  sendRequest(Workspace, Pending);
  Pending.Timer = Loop.startTimer(
      kPermitTimeout - kRepeatDelay,
      [this, Name = base::WorkspaceName(Workspace)] { onTimer(Name); });
}

/// Reports an unresponsive coordinator and retries once at its successor, since
/// gossip takes several seconds to detect a failed daemon.
void FleetRateLimiter::onTimeout(const base::WorkspaceName &Workspace,
                                 PendingRequest &Pending) {
  Metrics.counter("permit_timeouts_total").add();
  if (!Pending.SentTo.Instance.empty())
    OnSilent(base::ProcessId(Pending.SentTo));
  requestElsewhere(Workspace, Pending);
}

/// Sends the request to another coordinator than before, if there is one and
/// the request has not been sent to a second one yet.
void FleetRateLimiter::requestElsewhere(const base::WorkspaceName &Workspace,
                                        PendingRequest &Pending) {
  const auto *Coordinator = coordinatorOf(groupOf(Workspace));
  if (Pending.Retried || Coordinator == nullptr ||
      Coordinator->Process == Pending.SentTo)
    return completeRequest(base::WorkspaceName(Workspace), 0,
                           RateLimitResult::Unavailable);
  Pending.Retried = true;
  requestPermits(base::WorkspaceName(Workspace), Pending);
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
  Pending.Active = false;
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

void FleetRateLimiter::returnPermit(const base::WorkspaceName &Workspace) {
  sendReturn(Workspace, 1);
}

void FleetRateLimiter::sendReturn(const base::WorkspaceName &Workspace,
                                  std::uint32_t Count) {
  const auto *Coordinator = coordinatorOf(groupOf(Workspace));
  if (Coordinator == nullptr)
    return;
  if (Coordinator->Process.Instance != Self.Instance)
    return send(Coordinator->Peer, PermitReturn{nextId(), Workspace, Count});
  if (const config::WorkspacePolicy *Known = policyOf(Workspace))
    Limits.returnPermits(Known->Name, limitOf(*Known), Count);
}

void FleetRateLimiter::onDatagram(const base::Endpoint &From,
                                  const std::string &Body) {
  const auto Message = decodePermitMessage(Body);
  if (!Message) {
    Metrics.counter("peer_messages_malformed_total").add();
    return;
  }
  std::visit([&](const auto &Each) { onMessage(From, Each); }, *Message);
}

/// Whether a message has not been received before.
bool FleetRateLimiter::isNew(const base::Endpoint &From,
                             const PermitMessageId &Id) {
  Sender &Known = Senders[From];
  if (Id.Process > Known.Process)
    Known = {Id.Process, {}};
  if (Id.Process == Known.Process && Known.Window.accept(Id.Number))
    return true;
  Metrics.counter("permit_messages_repeated_total").add();
  return false;
}

void FleetRateLimiter::onMessage(const base::Endpoint &From,
                                 const PermitRequest &Request) {
  if (!isNew(From, Request.Id))
    return;
  Group &Target = groupOf(Request.Workspace);
  Target.RequestedAt = Loop.clock().now();
  Target.Contact.onRequest(From, Target.RequestedAt);
  PermitGrant Grant{Request.Id, 0};
  if (const config::WorkspacePolicy *Known = policyOf(Request.Workspace)) {
    if (Request.ReplacedAgoMicros > 0)
      Limits.onOtherCoordinator(
          Known->Name, limitOf(*Known),
          std::chrono::microseconds(std::min<std::uint64_t>(
              Request.ReplacedAgoMicros, kMaxChangeAge / 1us)));
    Grant.Granted =
        Limits.grant(Known->Name, limitOf(*Known), Request.Requested);
  }
  send(From, Grant);
}

void FleetRateLimiter::onMessage(const base::Endpoint &,
                                 const PermitGrant &Grant) {
  const auto Found = WorkspaceByRequest.find(Grant.Id.Number);
  if (Grant.Id.Process != Self.Incarnation || Found == WorkspaceByRequest.end())
    return;
  const base::WorkspaceName Workspace = Found->second;
  WorkspaceByRequest.erase(Found);
  PendingRequest &Pending = PendingRequests[Workspace];
  const bool Late = Loop.clock().now() - Pending.SentAt > kMaxGrantDelay;
  if (Pending.Active) {
    Pending.ConfirmedChange = Pending.StatedChange;
    completeRequest(Workspace, Late ? 0 : Grant.Granted,
                    RateLimitResult::RateExceeded);
  } else if (Grant.Granted > 0 && !Late) {
    // The reply to the other copy of the request came first.
    sendReturn(Workspace, Grant.Granted);
  }
}

void FleetRateLimiter::onMessage(const base::Endpoint &From,
                                 const PermitReturn &Returned) {
  if (!isNew(From, Returned.Id))
    return;
  if (const config::WorkspacePolicy *Known = policyOf(Returned.Workspace))
    Limits.returnPermits(Known->Name, limitOf(*Known), Returned.Count);
}

void FleetRateLimiter::onMessage(const base::Endpoint &From,
                                 const CoordinatorCheck &Check) {
  const auto *Coordinator = coordinatorOf(groupOf(Check.Workspace));
  const bool Confirmed = Coordinator != nullptr && Coordinator->Peer == From &&
                         Coordinator->Process.Incarnation == Check.Id.Process;
  send(From, CoordinatorCheckReply{Check.Id, Check.Workspace, Confirmed});
}

void FleetRateLimiter::onMessage(const base::Endpoint &,
                                 const CoordinatorCheckReply &Reply) {
  if (Reply.Confirmed && Reply.Id.Process == Self.Incarnation)
    groupOf(Reply.Workspace)
        .Contact.onConfirmed(Reply.Id.Number, Loop.clock().now());
}

PermitMessageId FleetRateLimiter::nextId() {
  return {Self.Incarnation, ++LastNumber};
}

void FleetRateLimiter::send(const base::Endpoint &To,
                            const PermitMessage &Message) {
  Peers.sendDatagram(To, encodePermitMessage(Message));
}

} // namespace relay
