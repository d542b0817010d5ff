#include "relay/fleetratelimiter.h"

#include "base/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Covers a round trip between regions and a short stall of the keeper.
constexpr base::Duration kPermitTimeout = 200ms;
/// Permits beyond those that requests wait for, so that a busy workspace does
/// not ask for each request. Only a workspace that asked a short while ago gets
/// them; otherwise they would lapse and be lost to the other daemons.
constexpr std::uint32_t kSparePermits = 1;
constexpr base::Duration kBusyInterval = ratelimit::kPermitLifetime / 3;

std::uint64_t score(const base::WorkspaceName &Workspace,
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
                                   DecisionLog &Log,
                                   transport::PeerTransport &Peers,
                                   const base::InstanceId &Self,
                                   ratelimit::LimitTolerance Tolerance,
                                   bool Fresh, SilenceListener OnSilence)
    : Loop(Loop), Metrics(Metrics), Log(Log), Peers(Peers), Self(Self),
      Limits(Loop.clock(), Tolerance, Fresh), OnSilence(std::move(OnSilence)) {}

void FleetRateLimiter::adopt(config::FleetPolicyPtr New) {
  Policy = std::move(New);
  chooseKeepers();
}

void FleetRateLimiter::follow(const membership::MemberTable &Members) {
  Candidates.clear();
  for (const membership::MemberEntry &Entry : Members.entries())
    if (Entry.Record.State == membership::MemberState::Alive && !Entry.Silent)
      Candidates.push_back({Entry.Record.process(), Entry.Record.Peer});
  chooseKeepers();
}

void FleetRateLimiter::setDaemons(std::size_t Count) {
  if (Count == Announced)
    return;
  Announced = Count;
  Limits.setDaemonCount(Count);
  chooseKeepers();
}

void FleetRateLimiter::chooseKeepers() {
  if (!Policy)
    return;
  if (Candidates.size() * 2 <= Announced) {
    for (const auto &[Workspace, Keeper] : Keepers)
      Limits.setCoordinator(Workspace, false);
    if (!Keepers.empty())
      Log.state("limit_keepers_lost",
                {{"reachable", Candidates.size()}, {"announced", Announced}});
    Keepers.clear();
    return;
  }
  for (const config::WorkspacePolicy &Each : Policy->content().Workspaces) {
    const auto Best =
        std::max_element(Candidates.begin(), Candidates.end(),
                         [&](const Member &First, const Member &Second) {
                           return score(Each.Name, First.Process.Instance) <
                                  score(Each.Name, Second.Process.Instance);
                         });
    Member &Keeper = Keepers[Each.Name];
    if (Keeper.Process.Instance != Best->Process.Instance)
      Log.state("limit_keeper_changed",
                {{"workspace", Each.Name.str()},
                 {"from", Keeper.Process.Instance.str()},
                 {"to", Best->Process.Instance.str()}});
    Keeper = *Best;
    // A connection that has to be made first would hold up the first requests.
    if (Keeper.Process.Instance != Self)
      Peers.connectionTo(Keeper.Peer);
    Limits.setCoordinator(Each.Name, Best->Process.Instance == Self);
  }
}

const FleetRateLimiter::Member *
FleetRateLimiter::keeperOf(const base::WorkspaceName &Workspace) const {
  const auto Found = Keepers.find(Workspace);
  return Found == Keepers.end() ? nullptr : &Found->second;
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
  Asking &Current = Asks[Workspace.Name];
  Current.Waiting.push_back(std::move(Done));
  if (Current.Number == 0)
    ask(Workspace.Name, Current);
}

void FleetRateLimiter::ask(const base::WorkspaceName &Workspace,
                           Asking &Current) {
  Current.Number = ++LastNumber;
  const base::BootTime Now = Loop.clock().now();
  const bool Busy = Now - Current.AskedAt < kBusyInterval;
  Current.AskedAt = Now;
  Current.Wanted = static_cast<std::uint32_t>(Current.Waiting.size()) +
                   (Busy ? kSparePermits : 0);
  ByNumber.emplace(Current.Number, Workspace);
  Current.Timer = Loop.startTimer(
      kPermitTimeout,
      [this, Name = base::WorkspaceName(Workspace)] { onTimeout(Name); });
  Metrics.counter("permit_requests_total").add();
  const Member *Keeper = keeperOf(Workspace);
  Current.Asked = Keeper != nullptr ? Keeper->Process : base::ProcessId();
  if (Keeper == nullptr)
    return;
  Peers.send(
      Peers.connectionTo(Keeper->Peer),
      makeFrame(FrameType::PermitRequest,
                PermitRequest{Current.Number, Workspace, Current.Wanted}));
}

/// A keeper that does not answer is avoided at once, and its successor is
/// asked; detecting that it is gone takes gossip several seconds.
void FleetRateLimiter::onTimeout(const base::WorkspaceName &Workspace) {
  Metrics.counter("permit_timeouts_total").add();
  Asking &Current = Asks[Workspace];
  const base::ProcessId Asked = Current.Asked;
  if (!Asked.Instance.empty() && Asked.Instance != Self)
    OnSilence(Asked);
  const Member *Keeper = keeperOf(Workspace);
  if (Current.Repeated || Keeper == nullptr || Keeper->Process == Asked)
    return settle(Workspace, 0, RateLimitResult::Unavailable);
  ByNumber.erase(Current.Number);
  Current.Repeated = true;
  ask(Workspace, Current);
}

void FleetRateLimiter::onPermitRequest(transport::ConnectionId From,
                                       const PermitRequest &Request) {
  PermitGrant Grant{Request.Number, 0};
  if (const config::WorkspacePolicy *Known = policyOf(Request.Workspace))
    Grant.Granted = Limits.grant(Known->Name, limitOf(*Known), Request.Wanted);
  Peers.send(From, makeFrame(FrameType::PermitGrant, Grant));
}

void FleetRateLimiter::onPermitGrant(const PermitGrant &Grant) {
  const auto Found = ByNumber.find(Grant.Number);
  if (Found == ByNumber.end())
    return;
  settle(base::WorkspaceName(Found->second), Grant.Granted,
         RateLimitResult::RateExceeded);
}

void FleetRateLimiter::giveBack(const base::WorkspaceName &Workspace) {
  const Member *Keeper = keeperOf(Workspace);
  if (Keeper != nullptr)
    Peers.send(Peers.connectionTo(Keeper->Peer),
               makeFrame(FrameType::PermitReturn, PermitReturn{Workspace, 1}));
}

void FleetRateLimiter::onPermitReturn(const PermitReturn &Returned) {
  if (const config::WorkspacePolicy *Known = policyOf(Returned.Workspace))
    Limits.returnPermits(Known->Name, limitOf(*Known), Returned.Count);
}

/// Admits as many waiting requests as there are permits. Those that came after
/// the question was sent ask again, unless the keeper had too few.
void FleetRateLimiter::settle(const base::WorkspaceName &Workspace,
                              std::uint32_t Granted,
                              RateLimitResult Otherwise) {
  Asking &Current = Asks[Workspace];
  Loop.cancelTimer(Current.Timer);
  ByNumber.erase(std::exchange(Current.Number, 0));
  Current.Repeated = false;
  const bool Enough = Granted >= Current.Wanted;
  std::vector<Callback> Waiting = std::exchange(Current.Waiting, {});
  const std::size_t Admitted = std::min<std::size_t>(Granted, Waiting.size());
  if (Granted > Admitted)
    Limits.addPermits(Workspace,
                      Granted - static_cast<std::uint32_t>(Admitted));
  if (Enough && Waiting.size() > Admitted) {
    Current.Waiting.assign(
        std::make_move_iterator(Waiting.begin() +
                                static_cast<std::ptrdiff_t>(Admitted)),
        std::make_move_iterator(Waiting.end()));
    Waiting.resize(Admitted);
    ask(Workspace, Current);
  }
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    Waiting[Index](Index < Admitted ? RateLimitResult::Admitted : Otherwise);
}

} // namespace relay
