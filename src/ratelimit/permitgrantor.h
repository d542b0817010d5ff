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
  PermitGrantor(const base::Clock &Time, const LimitTable &Limits);

  /// Takes the reports of a request and answers its asks. `Tenure` is the
  /// valid ownership of the request's shard, asked for after the request
  /// arrived. The answer need not be sent if it has no answers.
  PermitGrant handle(const PermitRequest &Request,
                     const ownership::ValidOwnership &Tenure);

  /// Drops the buckets of a shard that this process no longer owns.
  void drop(const ownership::ShardId &Shard);

  /// Drops buckets that are full and have no open grants. To be called about
  /// once a minute.
  void dropIdleBuckets();

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

  void take(ShardBuckets &Buckets, const PermitRequest &Request,
            base::BootTime Now);
  SliceGrant answer(ShardBuckets &Buckets, const PermitRequest &Request,
                    const SliceRequest &Ask, base::BootTime Since,
                    base::BootTime Now);

  const base::Clock &Time;
  const LimitTable &Limits;
  std::unordered_map<ownership::ShardId, ShardBuckets> Shards;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_PERMITGRANTOR_H
