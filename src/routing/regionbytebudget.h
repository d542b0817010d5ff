#ifndef JACKDAW_ROUTING_REGIONBYTEBUDGET_H
#define JACKDAW_ROUTING_REGIONBYTEBUDGET_H

#include "base/clock.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace routing {

/// Bytes that passed or were refused on one direction of a region pair.
struct RegionByteCounters {
  std::uint64_t Spent = 0;
  std::uint64_t RefusedCalls = 0;
};

/// This daemon's share of the bytes allowed between regions: a token bucket for
/// each direction of each pair. A pair that has not been configured allows
/// nothing. In any time t a direction passes at most the rate times t, plus
/// the burst, plus one message and the responses already under way.
class RegionByteBudget {
public:
  /// Sets the allowance of all daemons in the region together, in bytes per
  /// second, and the number of daemons that share it.
  void configure(const base::RegionId &From, const base::RegionId &To,
                 std::uint64_t BytesPerSecond, std::size_t Sharers,
                 base::BootTime Now);

  /// Whether anything may be sent in this direction now.
  bool open(const base::RegionId &From, const base::RegionId &To,
            base::BootTime Now);

  /// Charges bytes that were sent or received; the bucket may go into debt.
  void charge(const base::RegionId &From, const base::RegionId &To,
              std::size_t Bytes, base::BootTime Now);

  /// Counts a call that did not get a cross-region upstream for want of bytes.
  void countRefusal(const base::RegionId &From, const base::RegionId &To);

  RegionByteCounters counters(const base::RegionId &From,
                              const base::RegionId &To) const;

private:
  struct Bucket {
    double BytesPerSecond = 0;
    double Tokens = 0;
    base::BootTime Refilled;
    bool Configured = false;
    RegionByteCounters Counters;
  };
  using Direction = std::pair<base::RegionId, base::RegionId>;

  static void refill(Bucket &Allowance, base::BootTime Now);

  std::map<Direction, Bucket> Buckets;
};

} // namespace routing

#endif // JACKDAW_ROUTING_REGIONBYTEBUDGET_H
