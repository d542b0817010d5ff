#include "ratelimit/internal/permitstock.h"

#include <algorithm>

namespace ratelimit {

namespace {

// Permits that aren't used by then go back, early enough that the grantor still
// knows them. Shorter than the expiry, and longer than a prefetch should last.
constexpr base::Duration kHold = std::chrono::milliseconds(700);
static_assert(kHold < kPermitExpiry);

// A report is sent earlier once it frees this part of a slice's burst.
constexpr double kPromptShare = 0.25;

std::uint32_t ageMicros(base::Duration Age) {
  return static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::microseconds>(Age).count());
}

} // namespace

void PermitStock::add(const PermitGrant &Grant, const SliceGrant &Answer,
                      base::BootTime RequestSentAt, base::BootTime Now) {
  Batch Fresh{};
  Fresh.Shard = Grant.Shard;
  Fresh.Term = Grant.Term;
  Fresh.GrantId = Answer.GrantId;
  Fresh.Slice = Answer.Slice;
  Fresh.Left = Answer.Granted;
  Fresh.UsableUntil = RequestSentAt + kHold;
  Fresh.FirstUnreported = Now;
  Batches.push_back(std::move(Fresh));
}

bool PermitStock::take(base::BootTime Now) {
  Batch *First = nullptr;
  for (Batch &One : Batches) {
    if (One.Left > 0 && Now < One.UsableUntil &&
        (!First || One.UsableUntil < First->UsableUntil))
      First = &One;
  }
  if (!First)
    return false;
  if (First->Used == First->ReportedUsed)
    First->FirstUnreported = Now;
  --First->Left;
  ++First->Used;
  First->LastUse = Now;
  return true;
}

std::uint32_t PermitStock::left(base::BootTime Now) const {
  std::uint32_t Sum = 0;
  for (const Batch &One : Batches) {
    if (Now < One.UsableUntil)
      Sum += One.Left;
  }
  return Sum;
}

bool PermitStock::isDue(const Batch &One, const ReportRule &Rule,
                        bool HasMessage, base::BootTime Now) {
  if (One.Returned != One.ReportedReturned)
    return true;
  const int Unreported = One.Used - One.ReportedUsed;
  return Unreported > 0 &&
         (HasMessage ||
          Unreported >= std::max(1.0, kPromptShare * Rule.SliceBurst) ||
          Now >= One.FirstUnreported + Rule.Interval);
}

std::vector<PermitStock::DueReport> PermitStock::dueReports(
    LimitId Limit, const ReportRule &Rule,
    const std::function<bool(const ownership::ShardId &)> &HasMessage,
    base::BootTime Now) {
  std::vector<DueReport> Result;
  for (Batch &One : Batches) {
    if (Now >= One.UsableUntil) {
      One.Returned += One.Left;
      One.Left = 0;
    }
    if (!isDue(One, Rule, HasMessage(One.Shard), Now))
      continue;
    One.ReportedUsed = One.Used;
    One.ReportedReturned = One.Returned;
    const std::uint32_t Age = One.Used > 0 ? ageMicros(Now - One.LastUse) : 0;
    Result.push_back({One.Shard,
                      {Limit, One.Slice, One.Term, One.GrantId, One.Used,
                       One.Returned, Age}});
  }
  std::erase_if(Batches, [](const Batch &One) {
    return One.Left == 0 && One.Used == One.ReportedUsed &&
           One.Returned == One.ReportedReturned;
  });
  return Result;
}

} // namespace ratelimit
