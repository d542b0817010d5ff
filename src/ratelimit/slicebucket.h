#ifndef JACKDAW_RATELIMIT_SLICEBUCKET_H
#define JACKDAW_RATELIMIT_SLICEBUCKET_H

#include "ratelimit/limittable.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace ratelimit {

/// Token bucket of one slice at the shard owner. Tokens of outstanding permits
/// still count towards the fill level, so that the uses, and not only the
/// grants, stay within rate and burst in every window.
class SliceBucket {
public:
  struct Grant {
    std::uint32_t Id = 0;
    std::uint16_t Count = 0;
  };

  /// Creates a bucket that is empty at `EmptyAt` and fills from then on.
  SliceBucket(const AllowedSlice &Allowed, base::BootTime EmptyAt,
              base::BootTime Now);

  /// Refills up to `Now` and counts overdue permits as used. `Allowed` applies
  /// from the last refill on.
  void advance(const AllowedSlice &Allowed, base::BootTime Now);

  /// Grants `Required` permits, or fewer if there are not enough, and of
  /// `Prefetch` at most half of the remaining level, so that one pool doesn't
  /// empty the slice for the others.
  Grant grant(std::uint16_t Required, std::uint16_t Prefetch);

  /// Applies the totals of a grant. `UsedAt` is no earlier than the latest use.
  void applyReport(std::uint32_t GrantId, std::uint16_t Used,
                   std::uint16_t Returned, base::BootTime UsedAt);

  /// Number of permits that can be granted now; the fraction belongs to the
  /// next permit.
  double level() const;

  /// Whether the bucket can be removed and created again later without any
  /// effect.
  bool isIdle() const;

private:
  struct OpenGrant {
    std::uint32_t Id;
    std::uint16_t Count;
    std::uint16_t Used;
    std::uint16_t Returned;
    base::BootTime GrantedAt;

    int unaccounted() const { return Count - Used - Returned; }
  };

  void consume(std::uint16_t Count, base::BootTime UsedAt);

  double RatePerSecond = 0;
  double Burst = 0;
  /// Tokens, including those of outstanding permits; at most `Burst`.
  double Tokens = 0;
  std::uint32_t Outstanding = 0;
  base::BootTime RefilledAt;
  /// Time since which `Tokens` has been at `Burst`.
  std::optional<base::BootTime> FullSince;
  /// Ordered by id; accounted grants are removed from the front.
  std::deque<OpenGrant> OpenGrants;
  std::uint32_t LastGrantId = 0;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_SLICEBUCKET_H
