#ifndef JACKDAW_BENCH_OVERLOAD_METRICS_H
#define JACKDAW_BENCH_OVERLOAD_METRICS_H

#include "scenario.h"

#include <array>
#include <optional>
#include <vector>

namespace bench {

/// One value per workspace and class.
using PerWorkspaceAndClass =
    std::array<std::array<double, base::kPriorityClassCount>, kWorkspaces>;

/// Results of one run. They count requests of callers, not attempts.
struct Observations {
  /// Requests that started between the start of the trigger and
  /// `kRequestTimeoutMs` before its end, so that all of them complete or are
  /// lost during the trigger.
  PerWorkspaceAndClass Completed{};
  PerWorkspaceAndClass Lost{};
  /// Completed requests per 100 ms.
  std::vector<double> GoodputBins = std::vector<double>(kEndMs / 100);
};

/// Figures of one run, printed as one row of the table.
struct Figures {
  /// Goodput during the trigger, relative to what capacity and demand allow.
  double RelativeGoodput = 0;
  /// Lowest goodput of a workspace, relative to its fair share.
  double LowestWorkspaceGoodput = 0;
  /// Seconds from the end of the trigger until goodput reaches 90 % of that
  /// before the trigger and stays there; empty if it never does.
  std::optional<double> RecoverySeconds;
  /// Fraction lost of the requests within the fair share of their workspace.
  double LostWithinShare = 0;
  /// Fraction of the requests of each class that are lost.
  std::array<double, base::kPriorityClassCount> LostOfClass{};
};

/// Fair shares in requests per second during the trigger. Capacity is assigned
/// to the classes in order of priority, and within a class to the workspaces by
/// max-min fairness. Requests on the short route do not use the last service,
/// so all of them are within their share.
PerWorkspaceAndClass fairShares(const Scenario &Case);

/// Computes the row of a run of the scenario.
Figures evaluate(const Scenario &Case, const Observations &Observed);

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_METRICS_H
