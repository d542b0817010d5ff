#include "ratelimit/permitgrantor.h"

#include <algorithm>

namespace ratelimit {

PermitGrantor::PermitGrantor(const base::Clock &Clock, const LimitTable &Limits)
    : Clock(Clock), Limits(Limits) {}

PermitGrant PermitGrantor::handle(const PermitRequest &Request,
                                  const ownership::ValidOwnership &Tenure) {
  const base::BootTime Now = Clock.now();
  ShardBuckets &Buckets = Shards[Request.Shard];
  if (Buckets.Term != Tenure.Term)
    Buckets = {Tenure.Term, {}};
  applyReports(Buckets, Request, Now);
  PermitGrant Grant{
      Request.From, Request.Shard, Tenure.Term, Request.Sequence, {}};
  for (const SliceRequest &Entry : Request.SliceRequests)
    Grant.SliceGrants.push_back(
        grantSlice(Buckets, Request, Entry, Tenure.ValidFrom, Now));
  return Grant;
}

void PermitGrantor::applyReports(ShardBuckets &Buckets,
                                 const PermitRequest &Request,
                                 base::BootTime Now) {
  for (const PermitReport &Report : Request.Reports) {
    auto Found = Buckets.Slices.find({Report.Limit, Report.Slice});
    if (Report.Term != Buckets.Term || Found == Buckets.Slices.end())
      continue;
    Found->second.advance(
        Limits.allowedSlice(Report.Limit, Request.Shard, Report.Slice, Now),
        Now);
    const std::chrono::microseconds Age(Report.LastUseAgeMicros);
    Found->second.applyReport(Report.GrantId, Report.Used, Report.Returned,
                              Now - Age);
  }
}

SliceGrant PermitGrantor::grantSlice(ShardBuckets &Buckets,
                                     const PermitRequest &Request,
                                     const SliceRequest &Entry,
                                     base::BootTime ValidFrom,
                                     base::BootTime Now) {
  SliceGrant Result{Entry.Limit, Entry.Slice, 0, 0, 0};
  const AllowedSlice Allowed =
      Limits.allowedSlice(Entry.Limit, Request.Shard, Entry.Slice, Now);
  auto Found = Buckets.Slices.find({Entry.Limit, Entry.Slice});
  if (Found == Buckets.Slices.end()) {
    if (Allowed.Burst < 1)
      return Result;
    // Permits of the previous owner may still be in use when a tenure begins.
    const base::BootTime EmptyAt =
        std::max(ValidFrom + kOutstandingTime, Allowed.EmptyUntil);
    Found = Buckets.Slices
                .emplace(SliceKey{Entry.Limit, Entry.Slice},
                         SliceBucket(Allowed, EmptyAt, Now))
                .first;
  }
  SliceBucket &Bucket = Found->second;
  Bucket.advance(Allowed, Now);
  const SliceBucket::Grant NewGrant =
      Bucket.grant(Entry.Required, Entry.Prefetch);
  Result.GrantId = NewGrant.Id;
  Result.Granted = NewGrant.Count;
  Result.LevelHundredths =
      static_cast<std::uint32_t>(std::min(100 * Bucket.level(), 1e9));
  return Result;
}

void PermitGrantor::dropShard(const ownership::ShardId &Shard) {
  Shards.erase(Shard);
}

void PermitGrantor::dropIdleBuckets() {
  const base::BootTime Now = Clock.now();
  for (auto &[Shard, Buckets] : Shards) {
    for (auto &[Key, Bucket] : Buckets.Slices)
      Bucket.advance(Limits.allowedSlice(Key.Limit, Shard, Key.Slice, Now),
                     Now);
    std::erase_if(Buckets.Slices,
                  [](const auto &Item) { return Item.second.isIdle(); });
  }
}

std::size_t PermitGrantor::bucketCount() const {
  std::size_t Count = 0;
  for (const auto &[Shard, Buckets] : Shards)
    Count += Buckets.Slices.size();
  return Count;
}

} // namespace ratelimit
