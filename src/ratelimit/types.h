#ifndef JACKDAW_RATELIMIT_TYPES_H
#define JACKDAW_RATELIMIT_TYPES_H

#include "base/clock.h"
#include "base/types.h"
#include "ownership/types.h"

#include <chrono>
#include <cstdint>

namespace ratelimit {

/// Stable hash of a service and a workspace; identifies their limit in
/// messages. At 130,000 limits, the probability of a collision is below 1e-9.
using LimitId = base::StrongNumber<struct LimitIdTag>;

/// A permit of a shard owner can't be used later than this after its request
/// was sent.
inline constexpr base::Duration kPermitExpiry = std::chrono::seconds(1);

/// How long the grantor counts a permit as outstanding if its use is unknown.
inline constexpr base::Duration kOutstandingTime = std::chrono::seconds(2);

/// How long the lower of the old and new limits applies after a configuration
/// is adopted. Exceeds the time in which all daemons adopt a configuration (10
/// s).
inline constexpr base::Duration kLimitOverlap = std::chrono::seconds(15);

/// Fleet-wide limit of a workspace at a service.
struct Limit {
  double RatePerSecond = 0;
  double Burst = 0;

  friend bool operator==(const Limit &, const Limit &) = default;
};

/// The part of a limit that one shard owner grants.
struct LimitSlice {
  ownership::ShardId Shard;
  double RatePerSecond = 0;
  /// A whole number, as permits are; the bursts of all slices add up to that of
  /// the limit.
  double Burst = 0;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_TYPES_H
