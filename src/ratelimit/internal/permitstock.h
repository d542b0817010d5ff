#ifndef JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
#define JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H

#include "ratelimit/messages.h"

#include <functional>
#include <vector>

namespace ratelimit {

/// Permits of one limit at an entry daemon, by grant.
class PermitStock {
public:
  void add(const PermitGrant &Grant, const SliceGrant &Answer,
           base::BootTime RequestSentAt, base::BootTime Now);

  /// Takes one permit that has not expired, the one that expires first.
  bool take(base::BootTime Now);

  std::uint32_t left(base::BootTime Now) const;

  /// A report about a grant and the shard it is for.
  struct DueReport {
    ownership::ShardId Shard;
    PermitReport Report;
  };

  /// When uses are to be reported.
  struct ReportRule {
    /// Burst of one slice; uses of a good part of it are reported at once.
    double SliceBurst = 0;
    /// Longest time from a use to its report.
    base::Duration Interval{};
  };

  /// Reports that are due; marks expired permits as returned and forgets
  /// finished grants. `HasMessage` tells whether a message to a shard goes out
  /// anyway and can take reports along.
  std::vector<DueReport>
  dueReports(LimitId Limit, const ReportRule &Rule,
             const std::function<bool(const ownership::ShardId &)> &HasMessage,
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

  static bool isDue(const Batch &One, const ReportRule &Rule, bool HasMessage,
                    base::BootTime Now);

  std::vector<Batch> Batches;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
