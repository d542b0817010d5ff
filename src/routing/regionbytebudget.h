#ifndef JACKDAW_ROUTING_REGIONBYTEBUDGET_H
#define JACKDAW_ROUTING_REGIONBYTEBUDGET_H

#include "base/clock.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace routing {

/// Totals for one direction of a region pair.
struct RegionByteCounters {
  std::uint64_t ChargedBytes = 0;
  std::uint64_t RefusedCalls = 0;
};

/// This daemon's share of the bytes allowed between regions, as a token bucket
/// for each direction of each region pair. A pair that has not been configured
/// allows no bytes. In any time t a direction carries at most the rate times t,
/// plus the burst, one message and the responses already in transit.
class RegionByteBudget {
public:
  /// Sets the rate that all daemons in the region may use together, in bytes
  /// per second, and the number of daemons that share it equally.
  void configure(const base::RegionId &From, const base::RegionId &To,
                 std::uint64_t BytesPerSecond, std::size_t Daemons,
                 base::BootTime Now);

  /// Whether a message may be sent in this direction now.
  bool hasTokens(const base::RegionId &From, const base::RegionId &To,
                 base::BootTime Now);

  /// Charges bytes that were sent or received. The number of tokens may become
  /// negative.
  void charge(const base::RegionId &From, const base::RegionId &To,
              std::size_t Bytes, base::BootTime Now);

  /// Counts a call that got no cross-region upstream because the budget was
  /// used up.
  void countRefusal(const base::RegionId &From, const base::RegionId &To);

  RegionByteCounters counters(const base::RegionId &From,
                              const base::RegionId &To) const;

private:
  struct Bucket {
    double BytesPerSecond = 0;
    double Tokens = 0;
    base::BootTime RefilledAt;
    bool Configured = false;
    RegionByteCounters Counters;
  };
  using Direction = std::pair<base::RegionId, base::RegionId>;

  static void refill(Bucket &Target, base::BootTime Now);

  std::map<Direction, Bucket> Buckets;
};

} // namespace routing

#endif // JACKDAW_ROUTING_REGIONBYTEBUDGET_H
