#include "routing/regionbytebudget.h"

#include <algorithm>

namespace routing {

namespace {

// The burst is the number of bytes allowed in this time.
constexpr double kBurstSeconds = 1.0;

} // namespace

void RegionByteBudget::configure(const base::RegionId &From,
                                 const base::RegionId &To,
                                 std::uint64_t BytesPerSecond,
                                 std::size_t Daemons, base::BootTime Now) {
  Bucket &Target = Buckets[{From, To}];
  const double Share =
      double(BytesPerSecond) / double(std::max<std::size_t>(Daemons, 1));
  if (Target.Configured) {
    refill(Target, Now);
  } else {
    Target.Tokens = Share * kBurstSeconds;
    Target.RefilledAt = Now;
    Target.Configured = true;
  }
  Target.BytesPerSecond = Share;
  Target.Tokens = std::min(Target.Tokens, Share * kBurstSeconds);
}

void RegionByteBudget::refill(Bucket &Target, base::BootTime Now) {
  const std::chrono::duration<double> Elapsed = Now - Target.RefilledAt;
  if (Elapsed.count() <= 0)
    return;
  Target.Tokens =
      std::min(Target.BytesPerSecond * kBurstSeconds,
               Target.Tokens + Target.BytesPerSecond * Elapsed.count());
  Target.RefilledAt = Now;
}

bool RegionByteBudget::hasTokens(const base::RegionId &From,
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
  Bucket &Target = Buckets[{From, To}];
  refill(Target, Now);
  Target.Tokens -= double(Bytes);
  Target.Counters.ChargedBytes += Bytes;
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
