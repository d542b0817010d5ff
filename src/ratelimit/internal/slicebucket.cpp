#include "ratelimit/slicebucket.h"

#include <algorithm>
#include <cmath>

namespace ratelimit {

namespace {

// Permits of unknown fate count as used this long after the grant: they expired
// earlier, and the rest is a margin for clock drift.
constexpr base::Duration kLatestUse = std::chrono::milliseconds(1500);

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
  while (!Open.empty() && (Open.front().unknown() == 0 ||
                           Open.front().At + kOutstandingTime <= Now)) {
    const OpenGrant First = Open.front();
    Open.pop_front();
    use(First.unknown(), First.At + kLatestUse);
  }
}

// While the bucket is full it does not refill. A use that was in fact earlier
// than its report made room from then on, which is credited here.
void SliceBucket::use(std::uint16_t Count, base::BootTime UsedAt) {
  if (Count == 0)
    return;
  double Credit = 0;
  if (FullSince) {
    const base::BootTime From = std::max(UsedAt, *FullSince);
    const base::Duration Room = std::max(RefilledAt - From, base::Duration());
    Credit = std::min<double>(Count, RatePerSecond * seconds(Room));
  }
  FullSince.reset();
  Outstanding -= Count;
  Tokens += Credit - Count;
}

SliceBucket::Grant SliceBucket::grant(std::uint16_t Need, std::uint16_t Want) {
  const auto Level = static_cast<std::uint16_t>(std::min(level(), 65535.0));
  const std::uint16_t First = std::min(Need, Level);
  const std::uint16_t Rest = std::min<int>(Want, (Level - First) / 2);
  const std::uint16_t Count = First + Rest;
  if (Count == 0)
    return {};
  Outstanding += Count;
  Open.push_back({++LastGrantId, Count, 0, 0, RefilledAt});
  return {LastGrantId, Count};
}

void SliceBucket::report(std::uint32_t GrantId, std::uint16_t Used,
                         std::uint16_t Returned, base::BootTime UsedAt) {
  auto Found = std::lower_bound(
      Open.begin(), Open.end(), GrantId,
      [](const OpenGrant &One, std::uint32_t Id) { return One.Id < Id; });
  if (Found == Open.end() || Found->Id != GrantId)
    return;
  // Totals only grow, so more than was granted comes from a faulty peer.
  if (std::max(Used, Found->Used) + std::max(Returned, Found->Returned) >
      Found->Count)
    return;
  if (Returned > Found->Returned) {
    Outstanding -= Returned - Found->Returned;
    Found->Returned = Returned;
  }
  if (Used > Found->Used) {
    const std::uint16_t More = Used - Found->Used;
    Found->Used = Used;
    use(More, std::max(UsedAt, Found->At));
  }
}

double SliceBucket::level() const {
  return std::max(0.0, Tokens - Outstanding);
}

bool SliceBucket::idle() const {
  return Open.empty() && Burst > 0 && Tokens >= Burst;
}

} // namespace ratelimit
