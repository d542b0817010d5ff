#ifndef JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
#define JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H

#include "ratelimit/messages.h"

#include <vector>

namespace ratelimit {

/// Permits of one limit at an entry daemon, by grant.
class PermitStock {
public:
  void add(const PermitGrant &Grant, const PermitAnswer &Answer,
           base::BootTime RequestSentAt, base::BootTime Now);

  /// Takes one permit that has not expired, the one that expires first.
  bool take(base::BootTime Now);

  std::uint32_t left(base::BootTime Now) const;

  /// A report about a grant and the shard it is for.
  struct DueReport {
    ownership::ShardId Shard;
    PermitReport Report;
  };

  /// Reports that are due; marks expired permits as returned and forgets
  /// finished grants. `SliceBurst` is the burst of one slice.
  std::vector<DueReport> dueReports(LimitId Limit, double SliceBurst,
                                    base::BootTime Now);

  bool empty() const { return Batches.empty(); }

private:
  struct Batch {
    ownership::ShardId Shard;
    base::LogOffset Term;
    std::uint32_t GrantId;
    std::uint16_t Slice;
    std::uint16_t Left;
    std::uint16_t Used = 0;
    std::uint16_t Returned = 0;
    std::uint16_t ReportedUsed = 0;
    std::uint16_t ReportedReturned = 0;
    base::BootTime UsableUntil;
    base::BootTime FirstUnreported;
    base::BootTime LastUse;
  };

  static bool isDue(const Batch &One, double SliceBurst, base::BootTime Now);

  std::vector<Batch> Batches;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
