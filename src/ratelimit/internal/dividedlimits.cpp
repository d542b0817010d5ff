#include "ratelimit/dividedlimits.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

/// A share with a smaller burst would refuse single requests at random, so such
/// a limit is not divided at all.
constexpr double kMinShareBurst = 2;
/// Part of the burst below which a workspace's permits are scarce. A larger
/// part leaves less to a coordinator whose fleet has been divided without its
/// knowledge, and costs more checks.
constexpr double kScarceFraction = 0.5;
/// Shortest time for which permits count as scarce. A burst that is small
/// compared with the rate is refilled between two refusals.
constexpr base::Duration kScarceTime = std::chrono::seconds(1);
/// Longest gap between ticks of a process that runs. After a longer one, the
/// other daemons may have replaced this one as coordinator.
constexpr base::Duration kMaxTickGap = std::chrono::milliseconds(400);

} // namespace

DividedLimits::DividedLimits(const base::Clock &Clock, LimitTolerance Tolerance,
                             bool FirstStart)
    : Clock(Clock), Tolerance(Tolerance), FirstStart(FirstStart),
      StartedAt(Clock.now()), LastTick(StartedAt) {}

void DividedLimits::setDaemonCount(std::size_t Count) {
  DaemonCount = std::max<std::size_t>(Count, 1);
}

RateAndBurst DividedLimits::withTolerance(const RateAndBurst &Limit) const {
  const double Window = std::chrono::duration<double>(Tolerance.Window).count();
  const double Allowance =
      kUsableFraction *
      ((Limit.Rate * Window + Limit.Burst) * (1 + Tolerance.Overage) +
       Tolerance.Slack);
  return {std::max(0.0, Allowance - Limit.Burst) / Window, Limit.Burst};
}

RateAndBurst DividedLimits::daemonShare(const RateAndBurst &Total) const {
  const double Burst =
      std::floor(kDividedFraction * Total.Burst / double(DaemonCount));
  if (Burst < kMinShareBurst)
    return {}; // No share: the coordinator grants the whole limit.
  return {kDividedFraction * Total.Rate / double(DaemonCount), Burst};
}

RateAndBurst DividedLimits::coordinatorPart(const RateAndBurst &Total) const {
  const RateAndBurst Share = daemonShare(Total);
  return {Total.Rate - Share.Rate * double(DaemonCount),
          Total.Burst - Share.Burst * double(DaemonCount)};
}

void DividedLimits::refill(Bucket &Target, const RateAndBurst &Limit) const {
  const base::BootTime Now = Clock.now();
  if (!Target.Initialized) {
    // Only on the first start of the fleet is it certain that the workspace has
    // used nothing. A process started later can't know whether the workspace
    // has used its limit before, so its bucket starts empty.
    Target.Tokens = FirstStart ? Limit.Burst : 0;
    Target.Initialized = true;
  } else {
    const std::chrono::duration<double> Elapsed = Now - Target.RefilledAt;
    Target.Tokens += Elapsed.count() * Limit.Rate;
  }
  Target.Tokens = std::min(Target.Tokens, Limit.Burst);
  Target.RefilledAt = Now;
}

AdmissionResult DividedLimits::tryAdmit(const base::WorkspaceName &Workspace,
                                        const RateAndBurst &Limit) {
  if (Limit.Rate <= 0)
    return AdmissionResult::Admitted;
  WorkspaceState &State = Workspaces[Workspace];
  if (State.Permits > 0 && Clock.now() < State.PermitsExpireAt) {
    --State.Permits;
    return AdmissionResult::Admitted;
  }
  refill(State.ShareBucket, daemonShare(withTolerance(Limit)));
  if (State.ShareBucket.Tokens < 1)
    return AdmissionResult::NeedsPermit;
  State.ShareBucket.Tokens -= 1;
  return AdmissionResult::Admitted;
}

void DividedLimits::addPermits(const base::WorkspaceName &Workspace,
                               std::uint32_t Count) {
  const base::BootTime Now = Clock.now();
  WorkspaceState &State = Workspaces[Workspace];
  if (Now >= State.PermitsExpireAt)
    State.Permits = 0;
  State.Permits += Count;
  State.PermitsExpireAt = Now + kCoordinatorPermitLifetime;
}

std::uint32_t DividedLimits::grant(const base::WorkspaceName &Workspace,
                                   const RateAndBurst &Limit,
                                   std::uint32_t Requested) {
  checkForPause();
  WorkspaceState &State = Workspaces[Workspace];
  if (!State.IsCoordinator || Clock.now() < State.GrantsFrom)
    return 0;
  refillCoordinated(State, Limit);
  const auto Granted = static_cast<std::uint32_t>(std::min(
      double(Requested), std::max(0.0, State.CoordinatorBucket.Tokens)));
  State.CoordinatorBucket.Tokens -= Granted;
  if (Granted < Requested)
    markScarce(State);
  return Granted;
}

void DividedLimits::returnPermits(const base::WorkspaceName &Workspace,
                                  const RateAndBurst &Limit,
                                  std::uint32_t Count) {
  WorkspaceState &State = Workspaces[Workspace];
  if (!State.IsCoordinator || Clock.now() < State.GrantsFrom)
    return;
  const RateAndBurst Part = refillCoordinated(State, Limit);
  State.CoordinatorBucket.Tokens =
      std::min(Part.Burst, State.CoordinatorBucket.Tokens + Count);
}

bool DividedLimits::isFirstCoordinator(base::BootTime ChosenAt) const {
  return FirstStart && ChosenAt - StartedAt < kCoordinatorDelay;
}

void DividedLimits::onOtherCoordinator(const base::WorkspaceName &Workspace,
                                       const RateAndBurst &Limit,
                                       base::Duration Since) {
  WorkspaceState &State = Workspaces[Workspace];
  if (!State.IsCoordinator || isFirstCoordinator(Clock.now() - Since))
    return;
  const RateAndBurst Part = refillCoordinated(State, Limit);
  const double Available =
      std::chrono::duration<double>(Since).count() * Part.Rate;
  State.CoordinatorBucket.Tokens =
      std::min(State.CoordinatorBucket.Tokens, Available);
}

RateAndBurst DividedLimits::refillCoordinated(WorkspaceState &State,
                                              const RateAndBurst &Limit) const {
  RateAndBurst Part = coordinatorPart(withTolerance(Limit));
  Part.Rate *= State.CoordinatedShare;
  refill(State.CoordinatorBucket, Part);
  return Part;
}

void DividedLimits::setCoordinatedShare(const base::WorkspaceName &Workspace,
                                        const RateAndBurst &Limit,
                                        double Share) {
  WorkspaceState &State = Workspaces[Workspace];
  if (Share == State.CoordinatedShare)
    return;
  refillCoordinated(State, Limit);
  State.CoordinatedShare = Share;
}

bool DividedLimits::isScarce(const base::WorkspaceName &Workspace,
                             const RateAndBurst &Limit) {
  WorkspaceState &State = Workspaces[Workspace];
  if (!State.IsCoordinator || Limit.Rate <= 0)
    return false;
  const RateAndBurst Part = refillCoordinated(State, Limit);
  if (State.CoordinatorBucket.Tokens < kScarceFraction * Part.Burst)
    markScarce(State);
  else if (State.CoordinatorBucket.Tokens >= Part.Burst &&
           Clock.now() - State.ScarceAt >= kScarceTime)
    State.Scarce = false;
  return State.Scarce;
}

void DividedLimits::markScarce(WorkspaceState &State) const {
  State.Scarce = true;
  State.ScarceAt = Clock.now();
}

void DividedLimits::tick() {
  checkForPause();
  LastTick = Clock.now();
}

void DividedLimits::checkForPause() {
  const base::BootTime Now = Clock.now();
  if (Now - LastTick <= kMaxTickGap)
    return;
  LastTick = Now;
  for (auto &[Workspace, State] : Workspaces) {
    State.CoordinatorBucket.Initialized = true;
    State.CoordinatorBucket.Tokens = 0;
    State.CoordinatorBucket.RefilledAt = std::max(Now, State.GrantsFrom);
  }
}

void DividedLimits::setCoordinator(const base::WorkspaceName &Workspace,
                                   bool IsCoordinator) {
  WorkspaceState &State = Workspaces[Workspace];
  if (IsCoordinator == State.IsCoordinator)
    return;
  State.IsCoordinator = IsCoordinator;
  if (!IsCoordinator)
    return;
  const base::BootTime Now = Clock.now();
  const bool NoPredecessor = isFirstCoordinator(Now);
  State.GrantsFrom = NoPredecessor ? Now : Now + kCoordinatorDelay;
  if (NoPredecessor)
    return;
  State.CoordinatorBucket.Initialized = true;
  State.CoordinatorBucket.Tokens = 0;
  State.CoordinatorBucket.RefilledAt = State.GrantsFrom;
}

} // namespace ratelimit
