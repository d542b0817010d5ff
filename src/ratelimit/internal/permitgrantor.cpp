#include "ratelimit/permitgrantor.h"

#include <algorithm>

namespace ratelimit {

PermitGrantor::PermitGrantor(const base::Clock &Time, const LimitTable &Limits)
    : Time(Time), Limits(Limits) {}

PermitGrant PermitGrantor::handle(const PermitRequest &Request,
                                  const ownership::ValidOwnership &Tenure) {
  const base::BootTime Now = Time.now();
  ShardBuckets &Buckets = Shards[Request.Shard];
  if (Buckets.Term != Tenure.Term)
    Buckets = {Tenure.Term, {}};
  take(Buckets, Request, Now);
  PermitGrant Grant{
      Request.From, Request.Shard, Tenure.Term, Request.Sequence, {}};
  for (const SliceRequest &Ask : Request.SliceRequests)
    Grant.SliceGrants.push_back(
        answer(Buckets, Request, Ask, Tenure.Since, Now));
  return Grant;
}

void PermitGrantor::take(ShardBuckets &Buckets, const PermitRequest &Request,
                         base::BootTime Now) {
  for (const PermitReport &Report : Request.Reports) {
    auto Found = Buckets.Slices.find({Report.Limit, Report.Slice});
    if (Report.Term != Buckets.Term || Found == Buckets.Slices.end())
      continue;
    Found->second.advance(
        Limits.allowed(Report.Limit, Request.Shard, Report.Slice, Now), Now);
    const std::chrono::microseconds Age(Report.LastUseAgeMicros);
    Found->second.report(Report.GrantId, Report.Used, Report.Returned,
                         Now - Age);
  }
}

SliceGrant PermitGrantor::answer(ShardBuckets &Buckets,
                                 const PermitRequest &Request,
                                 const SliceRequest &Ask, base::BootTime Since,
                                 base::BootTime Now) {
  SliceGrant Answer{Ask.Limit, Ask.Slice, 0, 0, 0};
  const AllowedSlice Allowed =
      Limits.allowed(Ask.Limit, Request.Shard, Ask.Slice, Now);
  auto Found = Buckets.Slices.find({Ask.Limit, Ask.Slice});
  if (Found == Buckets.Slices.end()) {
    if (Allowed.Burst < 1)
      return Answer;
    // Permits of the last owner may still be in use when a tenure begins.
    const base::BootTime EmptyAt =
        std::max(Since + kOutstandingTime, Allowed.EmptyUntil);
    Found = Buckets.Slices
                .emplace(SliceKey{Ask.Limit, Ask.Slice},
                         SliceBucket(Allowed, EmptyAt, Now))
                .first;
  }
  SliceBucket &Bucket = Found->second;
  Bucket.advance(Allowed, Now);
  const SliceBucket::Grant Given = Bucket.grant(Ask.Need, Ask.Want);
  Answer.GrantId = Given.Id;
  Answer.Granted = Given.Count;
  Answer.LevelHundredths =
      static_cast<std::uint32_t>(std::min(100 * Bucket.level(), 1e9));
  return Answer;
}

void PermitGrantor::drop(const ownership::ShardId &Shard) {
  Shards.erase(Shard);
}

void PermitGrantor::dropIdleBuckets() {
  const base::BootTime Now = Time.now();
  for (auto &[Shard, Buckets] : Shards) {
    for (auto &[Key, Bucket] : Buckets.Slices)
      Bucket.advance(Limits.allowed(Key.Limit, Shard, Key.Slice, Now), Now);
    std::erase_if(Buckets.Slices,
                  [](const auto &Item) { return Item.second.idle(); });
  }
}

std::size_t PermitGrantor::bucketCount() const {
  std::size_t Count = 0;
  for (const auto &[Shard, Buckets] : Shards)
    Count += Buckets.Slices.size();
  return Count;
}

} // namespace ratelimit
