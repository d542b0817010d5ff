#include "routing/regionbytebudget.h"

#include <algorithm>

namespace routing {

namespace {

// Size of the burst, as the time that it takes at the full rate.
constexpr double kBurstSeconds = 1.0;

} // namespace

void RegionByteBudget::configure(const base::RegionId &From,
                                 const base::RegionId &To,
                                 std::uint64_t BytesPerSecond,
                                 std::size_t Daemons, base::BootTime Now) {
  Bucket &Allowance = Buckets[{From, To}];
  const double Share =
      double(BytesPerSecond) / double(std::max<std::size_t>(Daemons, 1));
  if (Allowance.Configured) {
    refill(Allowance, Now);
  } else {
    Allowance.Tokens = Share * kBurstSeconds;
    Allowance.RefilledAt = Now;
    Allowance.Configured = true;
  }
  Allowance.BytesPerSecond = Share;
  Allowance.Tokens = std::min(Allowance.Tokens, Share * kBurstSeconds);
}

void RegionByteBudget::refill(Bucket &Allowance, base::BootTime Now) {
  const std::chrono::duration<double> Elapsed = Now - Allowance.RefilledAt;
  if (Elapsed.count() <= 0)
    return;
  Allowance.Tokens =
      std::min(Allowance.BytesPerSecond * kBurstSeconds,
               Allowance.Tokens + Allowance.BytesPerSecond * Elapsed.count());
  Allowance.RefilledAt = Now;
}

bool RegionByteBudget::hasCredit(const base::RegionId &From,
                                 const base::RegionId &To, base::BootTime Now) {
  const auto Found = Buckets.find({From, To});
  if (Found == Buckets.end())
    return false;
  refill(Found->second, Now);
  return Found->second.Tokens > 0;
}

void RegionByteBudget::charge(const base::RegionId &From,
                              const base::RegionId &To, std::size_t Bytes,
                              base::BootTime Now) {
  Bucket &Allowance = Buckets[{From, To}];
  refill(Allowance, Now);
  Allowance.Tokens -= double(Bytes);
  Allowance.Counters.ChargedBytes += Bytes;
}

void RegionByteBudget::countRefusal(const base::RegionId &From,
                                    const base::RegionId &To) {
  ++Buckets[{From, To}].Counters.RefusedCalls;
}

RegionByteCounters RegionByteBudget::counters(const base::RegionId &From,
                                              const base::RegionId &To) const {
  const auto Found = Buckets.find({From, To});
  return Found == Buckets.end() ? RegionByteCounters() : Found->second.Counters;
}

} // namespace routing
