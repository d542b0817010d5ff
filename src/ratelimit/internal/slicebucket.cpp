#include "ratelimit/slicebucket.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

// Permits whose use is unknown count as used this long after the grant. They
// have expired by then; the rest is a margin for clock drift.
constexpr base::Duration kAssumedUseDelay = std::chrono::milliseconds(1500);

double seconds(base::Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

SliceBucket::SliceBucket(const AllowedSlice &Allowed, base::BootTime EmptyAt,
                         base::BootTime Now)
    : RatePerSecond(Allowed.RatePerSecond), Burst(Allowed.Burst),
      RefilledAt(EmptyAt) {
  advance(Allowed, Now);
}

void SliceBucket::advance(const AllowedSlice &Allowed, base::BootTime Now) {
  if (Allowed.Burst != Burst)
    FullSince.reset();
  RatePerSecond = Allowed.RatePerSecond;
  Burst = Allowed.Burst;
  Tokens = std::min(Tokens, Burst);
  if (Now > RefilledAt) {
    Tokens += RatePerSecond * seconds(Now - RefilledAt);
    RefilledAt = Now;
  }
  if (Tokens >= Burst) {
    Tokens = Burst;
    if (!FullSince)
      FullSince = Now;
  }
  while (!OpenGrants.empty() &&
         (OpenGrants.front().unaccounted() == 0 ||
          OpenGrants.front().GrantedAt + kOutstandingTime <= Now)) {
    const OpenGrant Oldest = OpenGrants.front();
    OpenGrants.pop_front();
    consume(Oldest.unaccounted(), Oldest.GrantedAt + kAssumedUseDelay);
  }
}

// The bucket does not refill while it is full. A use that took place before its
// report arrived made room in the bucket from then on; the refill since then is
// credited here.
void SliceBucket::consume(std::uint16_t Count, base::BootTime UsedAt) {
  if (Count == 0)
    return;
  double Credit = 0;
  if (FullSince) {
    const base::BootTime FullFrom = std::max(UsedAt, *FullSince);
    const base::Duration TimeFull =
        std::max(RefilledAt - FullFrom, base::Duration());
    Credit = std::min<double>(Count, RatePerSecond * seconds(TimeFull));
  }
  FullSince.reset();
  Outstanding -= Count;
  Tokens += Credit - Count;
}

SliceBucket::Grant SliceBucket::grant(std::uint16_t Required,
                                      std::uint16_t Prefetch) {
  const auto Level = static_cast<std::uint16_t>(std::min(level(), 65535.0));
  const std::uint16_t RequiredCount = std::min(Required, Level);
  const std::uint16_t PrefetchCount =
      std::min<int>(Prefetch, (Level - RequiredCount) / 2);
  const std::uint16_t Count = RequiredCount + PrefetchCount;
  if (Count == 0)
    return {};
  Outstanding += Count;
  OpenGrants.push_back({++LastGrantId, Count, 0, 0, RefilledAt});
  return {LastGrantId, Count};
}

void SliceBucket::applyReport(std::uint32_t GrantId, std::uint16_t Used,
                              std::uint16_t Returned, base::BootTime UsedAt) {
  auto Found = std::lower_bound(
      OpenGrants.begin(), OpenGrants.end(), GrantId,
      [](const OpenGrant &Each, std::uint32_t Id) { return Each.Id < Id; });
  if (Found == OpenGrants.end() || Found->Id != GrantId)
    return;
  // The totals of a grant only grow, so a sum above the number of granted
  // permits comes from a faulty peer.
  if (std::max(Used, Found->Used) + std::max(Returned, Found->Returned) >
      Found->Count)
    return;
  if (Returned > Found->Returned) {
    Outstanding -= Returned - Found->Returned;
    Found->Returned = Returned;
  }
  if (Used > Found->Used) {
    const std::uint16_t NewUses = Used - Found->Used;
    Found->Used = Used;
    consume(NewUses, std::max(UsedAt, Found->GrantedAt));
  }
}

double SliceBucket::level() const {
  return std::max(0.0, Tokens - Outstanding);
}

bool SliceBucket::isIdle() const {
  return OpenGrants.empty() && Burst > 0 && Tokens >= Burst;
}

} // namespace ratelimit
