#ifndef JACKDAW_BENCH_OVERLOAD_METRICS_H
#define JACKDAW_BENCH_OVERLOAD_METRICS_H

#include "scenario.h"

#include <array>
#include <optional>
#include <vector>

namespace bench {

/// Counts per workspace and class.
using Counts =
    std::array<std::array<double, base::kPriorityClassCount>, kWorkspaces>;

/// What one run produced. Whole requests are counted, not attempts.
struct Observations {
  /// Requests that began between the start of the trigger and `kPatienceMs`
  /// before its end, so that all of them end during the trigger.
  Counts Completed{};
  Counts Lost{};
  /// Completed requests per 100 ms.
  std::vector<double> Goodput = std::vector<double>(kEndMs / 100);
};

/// The row of the table.
struct Figures {
  /// Goodput during the trigger relative to what capacity and demand allow.
  double Goodput = 0;
  /// Lowest goodput of a workspace relative to its fair share.
  double WorstWorkspace = 0;
  /// Seconds from the end of the trigger until goodput is back at 90 % of that
  /// before the trigger and stays there; nothing if it does not return.
  std::optional<double> RecoverySeconds;
  /// Share of the requests within their workspace's fair share that were lost.
  double LostWithinShare = 0;
  std::array<double, base::kPriorityClassCount> LostOfClass{};
};

/// Fair shares in requests per second during the trigger: capacity goes to the
/// classes in order of priority, and within a class to the workspaces by
/// max-min fairness. Requests on the short route do not use the last service
/// and are all within their share.
Counts fairShares(const Scenario &Case);

Figures evaluate(const Scenario &Case, const Observations &Seen);

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_METRICS_H
