#ifndef JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
#define JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H

#include "ratelimit/messages.h"

#include <functional>
#include <vector>

namespace ratelimit {

/// Permits of one limit that an entry daemon holds, by grant.
class PermitStock {
public:
  /// Adds the permits granted for one slice. Their hold time counts from
  /// `RequestSentAt`.
  void add(const PermitGrant &Grant, const SliceGrant &Entry,
           base::BootTime RequestSentAt, base::BootTime Now);

  /// Takes the unexpired permit that expires first. Returns false if there is
  /// none.
  bool take(base::BootTime Now);

  /// Number of permits that have not expired.
  std::uint32_t remaining(base::BootTime Now) const;

  /// A report on a grant and the shard whose owner receives it.
  struct DueReport {
    ownership::ShardId Shard;
    PermitReport Report;
  };

  /// When uses have to be reported.
  struct ReportPolicy {
    /// Burst of one slice; uses of a large part of it are reported at once.
    double SliceBurst = 0;
    /// Longest time from a use to its report.
    base::Duration Interval{};
  };

  /// Returns the reports that are due. Marks expired permits as returned and
  /// removes fully reported grants. `HasMessage` tells whether a message to a
  /// shard is sent anyway and can carry reports.
  std::vector<DueReport>
  dueReports(LimitId Limit, const ReportPolicy &Policy,
             const std::function<bool(const ownership::ShardId &)> &HasMessage,
             base::BootTime Now);

  bool empty() const { return Grants.empty(); }

private:
  struct HeldGrant {
    ownership::ShardId Shard;
    base::LogOffset Term;
    std::uint32_t GrantId;
    std::uint16_t Slice;
    std::uint16_t Remaining;
    std::uint16_t Used = 0;
    std::uint16_t Returned = 0;
    std::uint16_t ReportedUsed = 0;
    std::uint16_t ReportedReturned = 0;
    base::BootTime UsableUntil;
    base::BootTime FirstUnreportedAt;
    base::BootTime LastUseAt;
  };

  static bool isDue(const HeldGrant &Held, const ReportPolicy &Policy,
                    bool HasMessage, base::BootTime Now);

  std::vector<HeldGrant> Grants;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_INTERNAL_PERMITSTOCK_H
