#ifndef JACKDAW_RATELIMIT_PERMITGRANTOR_H
#define JACKDAW_RATELIMIT_PERMITGRANTOR_H

#include "ratelimit/messages.h"
#include "ratelimit/slicebucket.h"

#include <unordered_map>

namespace ratelimit {

/// Grants permits for the shards that this process owns. Not safe for
/// concurrent use.
class PermitGrantor {
public:
  /// `Limits` must outlive this object.
  PermitGrantor(const base::Clock &Clock, const LimitTable &Limits);

  /// Applies the reports of a request and grants permits for its slice
  /// requests. `Tenure` is the valid ownership of the request's shard, queried
  /// after the request arrived. The result need not be sent if its
  /// `SliceGrants` are empty.
  PermitGrant handle(const PermitRequest &Request,
                     const ownership::ValidOwnership &Tenure);

  /// Drops the buckets of a shard that this process no longer owns.
  void dropShard(const ownership::ShardId &Shard);

  /// Removes buckets that are full and have no open grants. Call it about once
  /// a minute.
  void dropIdleBuckets();

  /// Number of buckets of all shards.
  std::size_t bucketCount() const;

private:
  struct SliceKey {
    LimitId Limit;
    std::uint16_t Slice;

    friend bool operator==(const SliceKey &, const SliceKey &) = default;
  };
  struct SliceKeyHash {
    std::size_t operator()(const SliceKey &Key) const noexcept {
      return Key.Limit.value() * 31 + Key.Slice;
    }
  };
  struct ShardBuckets {
    base::LogOffset Term;
    std::unordered_map<SliceKey, SliceBucket, SliceKeyHash> Slices;
  };

  void applyReports(ShardBuckets &Buckets, const PermitRequest &Request,
                    base::BootTime Now);
  SliceGrant grantSlice(ShardBuckets &Buckets, const PermitRequest &Request,
                        const SliceRequest &Entry, base::BootTime ValidFrom,
                        base::BootTime Now);

  const base::Clock &Clock;
  const LimitTable &Limits;
  std::unordered_map<ownership::ShardId, ShardBuckets> Shards;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_PERMITGRANTOR_H
