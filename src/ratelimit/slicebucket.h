#ifndef JACKDAW_RATELIMIT_SLICEBUCKET_H
#define JACKDAW_RATELIMIT_SLICEBUCKET_H

#include "ratelimit/limittable.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace ratelimit {

/// Token bucket of one slice at the shard owner. Tokens of outstanding permits
/// still fill the bucket, so that uses (not only grants) stay within rate and
/// burst in every window.
class SliceBucket {
public:
  struct Grant {
    std::uint32_t Id = 0;
    std::uint16_t Count = 0;
  };

  /// A bucket that is empty at `EmptyAt` and fills from then on.
  SliceBucket(const AllowedSlice &Allowed, base::BootTime EmptyAt,
              base::BootTime Now);

  /// Refills up to `Now` and counts overdue permits as used. `Allowed` applies
  /// from the last refill on.
  void advance(const AllowedSlice &Allowed, base::BootTime Now);

  /// Gives `Need` permits as far as there are any, and of `Want` at most half
  /// of the rest, so that one pool doesn't empty the slice for the others.
  Grant grant(std::uint16_t Need, std::uint16_t Want);

  /// Takes the totals of a grant. `UsedAt` is no earlier than the latest use.
  void report(std::uint32_t GrantId, std::uint16_t Used, std::uint16_t Returned,
              base::BootTime UsedAt);

  /// What can be granted now; the fraction is part of the next permit.
  double level() const;

  /// Whether the bucket can be dropped and made anew without a difference.
  bool idle() const;

private:
  struct OpenGrant {
    std::uint32_t Id;
    std::uint16_t Count;
    std::uint16_t Used;
    std::uint16_t Returned;
    base::BootTime At;

    int unknown() const { return Count - Used - Returned; }
  };

  void use(std::uint16_t Count, base::BootTime UsedAt);

  double RatePerSecond = 0;
  double Burst = 0;
  /// Tokens, including those of outstanding permits; at most `Burst`.
  double Tokens = 0;
  std::uint32_t Outstanding = 0;
  base::BootTime RefilledAt;
  /// Since when `Tokens` has been at `Burst`.
  std::optional<base::BootTime> FullSince;
  /// In the order of their numbers; closed ones leave at the front.
  std::deque<OpenGrant> Open;
  std::uint32_t LastGrantId = 0;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_SLICEBUCKET_H
