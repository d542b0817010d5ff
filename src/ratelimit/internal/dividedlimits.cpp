#include "ratelimit/dividedlimits.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

/// Share of what a window allows that is used; the rest covers daemons that
/// count differently for a moment while instances come and go, and permits that
/// are used later than they were granted.
constexpr double kUsedShare = 0.96;
/// Part of a limit that is divided into equal shares. The smaller it is, the
/// less is lost in shares that are not used up while others are, and the more
/// requests wait for a permit.
constexpr double kDividedShare = 0.3;
/// A share with a burst below this would refuse single requests at random, so
/// such a limit is not divided at all.
constexpr double kLeastShareBurst = 2;

} // namespace

DividedLimits::DividedLimits(const base::Clock &Time, LimitTolerance Tolerance,
                             bool Fresh)
    : Time(Time), Tolerance(Tolerance), Fresh(Fresh), StartedAt(Time.now()) {}

void DividedLimits::setDaemonCount(std::size_t Count) {
  Daemons = std::max<std::size_t>(Count, 1);
}

RateAndBurst DividedLimits::tolerated(const RateAndBurst &Limit) const {
  const double Window = std::chrono::duration<double>(Tolerance.Window).count();
  const double Allowance = kUsedShare * ((Limit.Rate * Window + Limit.Burst) *
                                             (1 + Tolerance.Overage) +
                                         Tolerance.Slack);
  return {std::max(0.0, Allowance - Limit.Burst) / Window, Limit.Burst};
}

RateAndBurst DividedLimits::ownPart(const RateAndBurst &Whole) const {
  const double Burst =
      std::floor(kDividedShare * Whole.Burst / double(Daemons));
  if (Burst < kLeastShareBurst)
    return {};
  return {kDividedShare * Whole.Rate / double(Daemons), Burst};
}

RateAndBurst DividedLimits::pooledPart(const RateAndBurst &Whole) const {
  const RateAndBurst Own = ownPart(Whole);
  return {Whole.Rate - Own.Rate * double(Daemons),
          Whole.Burst - Own.Burst * double(Daemons)};
}

void DividedLimits::refill(Bucket &Filled, const RateAndBurst &Limit) const {
  const base::BootTime Now = Time.now();
  if (!Filled.Started) {
    // A workspace that is new in a running fleet has used nothing either, but
    // a restarted process can't tell it from others.
    Filled.Tokens = Fresh ? Limit.Burst : 0;
    Filled.Started = true;
  } else {
    const std::chrono::duration<double> Passed = Now - Filled.RefilledAt;
    Filled.Tokens += Passed.count() * Limit.Rate;
  }
  Filled.Tokens = std::min(Filled.Tokens, Limit.Burst);
  Filled.RefilledAt = Now;
}

AdmissionResult DividedLimits::tryAdmit(const base::WorkspaceName &Workspace,
                                        const RateAndBurst &Limit) {
  if (Limit.Rate <= 0)
    return AdmissionResult::Admitted;
  Usage &Known = Usages[Workspace];
  if (Known.Permits > 0 && Time.now() < Known.PermitsLapseAt) {
    --Known.Permits;
    return AdmissionResult::Admitted;
  }
  refill(Known.Own, ownPart(tolerated(Limit)));
  if (Known.Own.Tokens < 1)
    return AdmissionResult::RequestPermits;
  Known.Own.Tokens -= 1;
  return AdmissionResult::Admitted;
}

void DividedLimits::addPermits(const base::WorkspaceName &Workspace,
                               std::uint32_t Count) {
  const base::BootTime Now = Time.now();
  Usage &Known = Usages[Workspace];
  if (Now >= Known.PermitsLapseAt)
    Known.Permits = 0;
  Known.Permits += Count;
  Known.PermitsLapseAt = Now + kPermitLifetime;
}

std::uint32_t DividedLimits::grant(const base::WorkspaceName &Workspace,
                                   const RateAndBurst &Limit,
                                   std::uint32_t Wanted) {
  Usage &Known = Usages[Workspace];
  if (!Known.Keeper || Time.now() < Known.GrantsFrom)
    return 0;
  refill(Known.Pool, pooledPart(tolerated(Limit)));
  const auto Granted = static_cast<std::uint32_t>(
      std::min(double(Wanted), std::max(0.0, Known.Pool.Tokens)));
  Known.Pool.Tokens -= Granted;
  return Granted;
}

void DividedLimits::returnPermits(const base::WorkspaceName &Workspace,
                                  const RateAndBurst &Limit,
                                  std::uint32_t Count) {
  Usage &Known = Usages[Workspace];
  if (!Known.Keeper || Time.now() < Known.GrantsFrom)
    return;
  const RateAndBurst Part = pooledPart(tolerated(Limit));
  refill(Known.Pool, Part);
  Known.Pool.Tokens = std::min(Part.Burst, Known.Pool.Tokens + Count);
}

void DividedLimits::setCoordinator(const base::WorkspaceName &Workspace,
                                   bool Keeper) {
  Usage &Known = Usages[Workspace];
  if (Keeper == Known.Keeper)
    return;
  Known.Keeper = Keeper;
  if (!Keeper)
    return;
  const base::BootTime Now = Time.now();
  // Nobody kept the limit before a fleet that starts for the first time.
  const bool First = Fresh && Now - StartedAt < kKeeperDelay;
  Known.GrantsFrom = First ? Now : Now + kKeeperDelay;
  if (First)
    return;
  Known.Pool.Started = true;
  Known.Pool.Tokens = 0;
  Known.Pool.RefilledAt = Known.GrantsFrom;
}

} // namespace ratelimit
