#ifndef JACKDAW_MEMBERSHIP_INTERNAL_SUSPICIONTIMERS_H
#define JACKDAW_MEMBERSHIP_INTERNAL_SUSPICIONTIMERS_H

#include "membership/internal/gossipcore.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace membership {

/// Timers of suspected processes. When one expires without a refutation, the
/// process is declared dead.
class SuspicionTimers {
public:
  explicit SuspicionTimers(GossipCore &Core) : Core(Core) {}

  /// Starts the timer unless it already runs for the same claim.
  void start(const StateClaim &Claim);

  /// Stops the timer of an instance whose state has changed.
  void stop(const base::InstanceId &Instance);

  /// Returns a claim of death for each timer that has expired and whose claim
  /// is still current in the table.
  std::vector<StateClaim> takeExpired();

  /// Time from suspicion to death at the current fleet size and local health.
  base::Duration timeout() const;

private:
  struct Timer {
    StateClaim Claim;
    base::BootTime Deadline;
  };

  GossipCore &Core;
  std::unordered_map<base::InstanceId, Timer> Timers;
  std::set<std::pair<base::BootTime, base::InstanceId>> Deadlines;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_SUSPICIONTIMERS_H
