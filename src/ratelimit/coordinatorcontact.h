#ifndef JACKDAW_RATELIMIT_COORDINATORCONTACT_H
#define JACKDAW_RATELIMIT_COORDINATORCONTACT_H

#include "base/clock.h"
#include "base/types.h"
#include "ratelimit/dividedlimits.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace ratelimit {

/// How long a sign that a daemon uses a coordinator counts. A successor grants
/// nothing for `kCoordinatorDelay`, so that the signs of before a network
/// partition no longer count when it begins.
inline constexpr base::Duration kContactWindow = kCoordinatorDelay;

/// Estimates which share of the fleet uses this daemon as limit coordinator of
/// a group of workspaces. Each daemon uses one coordinator, so what two
/// coordinators of the two sides of a network partition grant in these
/// proportions is together no more than the limit.
///
/// A daemon that requests permits shows that it uses this one. The others are
/// sampled: some of them are asked, and the share of confirmations among those
/// counts for all of them.
class CoordinatorContact {
public:
  /// Time in which a check must be confirmed.
  static constexpr base::Duration kCheckTimeout =
      std::chrono::milliseconds(200);

  /// A request for permits has arrived.
  void onRequest(const base::Endpoint &From, base::BootTime Now);

  /// A check has been sent to a daemon that has not requested permits lately.
  void onCheckSent(std::uint64_t Number, base::BootTime Now);

  /// A daemon has confirmed a check. Late confirmations are ignored.
  void onConfirmed(std::uint64_t Number, base::BootTime Now);

  /// Whether a request of this daemon has arrived within `kContactWindow`.
  bool hasHeardFrom(const base::Endpoint &Daemon, base::BootTime Now) const;

  /// Number of daemons that have requested permits within `kContactWindow`.
  std::size_t heardDaemons(base::BootTime Now);

  /// The share of the fleet, which has `Others` daemons besides this one, from
  /// 0 to 1.
  double share(std::size_t Others, base::BootTime Now);

private:
  struct Check {
    std::uint64_t Number = 0;
    base::BootTime SentAt;
    bool Confirmed = false;
  };

  std::map<base::Endpoint, base::BootTime> Heard;
  /// In the order of sending.
  std::deque<Check> Checks;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_COORDINATORCONTACT_H
