#include "overload/statedratelimit.h"

#include <algorithm>

namespace overload {

namespace {

using namespace std::chrono_literals;

/// The bucket holds the requests of this time, in seconds, so that requests
/// that arrive together need not be spread evenly.
constexpr double kBurstSeconds = 0.5;
constexpr double kMinBurst = 1;
/// Requests per second that are sent in spite of a lower limit, because only a
/// response can state that the limit is gone.
constexpr double kProbeRate = 0.25;
/// Bounds the result of `timeUntilAllowed`.
constexpr double kMaxWaitSeconds = 60;
/// Callers are invited for at most this much later: some of them won't come,
/// and the limit may be gone by then.
constexpr base::Duration kMaxInvitation = 2s;
/// Refilling may leave a token short by a rounding error.
constexpr double kWholeToken = 1 - 1e-9;

} // namespace

void StatedRateLimit::observe(std::optional<base::RequestRate> Stated,
                              base::BootTime SentAt) {
  Observed = true;
  const bool Lower = Stated && (!Current || *Stated <= *Current);
  if (!Lower && Current && SentAt < StatedAt)
    return;
  if (Stated)
    set(*Stated);
  else
    Current.reset();
}

void StatedRateLimit::adopt(base::RequestRate Stated) {
  if (!Observed && (!Current || Stated < *Current))
    set(Stated);
}

void StatedRateLimit::reset() {
  Current.reset();
  Observed = false;
}

void StatedRateLimit::set(base::RequestRate Stated) {
  if (Current) {
    refill();
  } else {
    Tokens = 0;
    RefilledAt = Clock.now();
  }
  Current = Stated;
  StatedAt = Clock.now();
  refill();
}

double StatedRateLimit::refillRate() const {
  return std::max(Current->PerSecond, kProbeRate);
}

void StatedRateLimit::refill() {
  const base::BootTime Now = Clock.now();
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  const double Burst = std::max(kMinBurst, refillRate() * kBurstSeconds);
  Tokens = std::min(Burst, Tokens + Elapsed.count() * refillRate());
  RefilledAt = Now;
}

bool StatedRateLimit::allows() {
  if (!Current)
    return true;
  refill();
  return Tokens >= kWholeToken;
}

void StatedRateLimit::consume() {
  if (!Current)
    return;
  refill();
  Tokens -= 1;
}

base::Duration StatedRateLimit::timeUntilAllowed(std::size_t Ahead) {
  if (!Current)
    return {};
  refill();
  const double Missing = double(Ahead) + 1 - Tokens;
  const double Seconds =
      std::clamp(Missing / refillRate(), 0.0, kMaxWaitSeconds);
  return std::chrono::round<base::Duration>(
      std::chrono::duration<double>(Seconds));
}

base::Duration StatedRateLimit::inviteAfter(std::size_t Ahead) {
  if (!Current)
    return {};
  const base::BootTime Now = Clock.now();
  const base::BootTime At =
      std::min(std::max(Now + timeUntilAllowed(Ahead), NextInvitation),
               Now + kMaxInvitation);
  NextInvitation = At + std::chrono::round<base::Duration>(
                            std::chrono::duration<double>(1 / refillRate()));
  return At - Now;
}

} // namespace overload
