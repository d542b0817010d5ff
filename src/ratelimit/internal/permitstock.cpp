#include "ratelimit/internal/permitstock.h"

#include <algorithm>

namespace ratelimit {

namespace {

// Unused permits are returned after this time, while the grantor still tracks
// them. Shorter than the expiry, and longer than prefetched permits should
// last.
constexpr base::Duration kUnusedPermitHoldTime = std::chrono::milliseconds(700);
static_assert(kUnusedPermitHoldTime < kPermitExpiry);

// A report is sent before its interval ends once it covers this fraction of a
// slice's burst.
constexpr double kPromptReportFraction = 0.25;

std::uint32_t ageMicros(base::Duration Age) {
  return static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::microseconds>(Age).count());
}

} // namespace

void PermitStock::add(const PermitGrant &Grant, const SliceGrant &Entry,
                      base::BootTime RequestSentAt, base::BootTime Now) {
  HeldGrant Added{};
  Added.Shard = Grant.Shard;
  Added.Term = Grant.Term;
  Added.GrantId = Entry.GrantId;
  Added.Slice = Entry.Slice;
  Added.Remaining = Entry.Granted;
  Added.UsableUntil = RequestSentAt + kUnusedPermitHoldTime;
  Added.FirstUnreportedAt = Now;
  Grants.push_back(std::move(Added));
}

bool PermitStock::take(base::BootTime Now) {
  HeldGrant *Earliest = nullptr;
  for (HeldGrant &Held : Grants) {
    if (Held.Remaining > 0 && Now < Held.UsableUntil &&
        (!Earliest || Held.UsableUntil < Earliest->UsableUntil))
      Earliest = &Held;
  }
  if (!Earliest)
    return false;
  if (Earliest->Used == Earliest->ReportedUsed)
    Earliest->FirstUnreportedAt = Now;
  --Earliest->Remaining;
  ++Earliest->Used;
  Earliest->LastUseAt = Now;
  return true;
}

std::uint32_t PermitStock::remaining(base::BootTime Now) const {
  std::uint32_t Sum = 0;
  for (const HeldGrant &Held : Grants) {
    if (Now < Held.UsableUntil)
      Sum += Held.Remaining;
  }
  return Sum;
}

bool PermitStock::isDue(const HeldGrant &Held, const ReportPolicy &Policy,
                        bool HasMessage, base::BootTime Now) {
  if (Held.Returned != Held.ReportedReturned)
    return true;
  const int Unreported = Held.Used - Held.ReportedUsed;
  return Unreported > 0 &&
         (HasMessage ||
          Unreported >=
              std::max(1.0, kPromptReportFraction * Policy.SliceBurst) ||
          Now >= Held.FirstUnreportedAt + Policy.Interval);
}

std::vector<PermitStock::DueReport> PermitStock::dueReports(
    LimitId Limit, const ReportPolicy &Policy,
    const std::function<bool(const ownership::ShardId &)> &HasMessage,
    base::BootTime Now) {
  std::vector<DueReport> Result;
  for (HeldGrant &Held : Grants) {
    if (Now >= Held.UsableUntil) {
      Held.Returned += Held.Remaining;
      Held.Remaining = 0;
    }
    if (!isDue(Held, Policy, HasMessage(Held.Shard), Now))
      continue;
    Held.ReportedUsed = Held.Used;
    Held.ReportedReturned = Held.Returned;
    const std::uint32_t Age =
        Held.Used > 0 ? ageMicros(Now - Held.LastUseAt) : 0;
    Result.push_back({Held.Shard,
                      {Limit, Held.Slice, Held.Term, Held.GrantId, Held.Used,
                       Held.Returned, Age}});
  }
  std::erase_if(Grants, [](const HeldGrant &Held) {
    return Held.Remaining == 0 && Held.Used == Held.ReportedUsed &&
           Held.Returned == Held.ReportedReturned;
  });
  return Result;
}

} // namespace ratelimit
