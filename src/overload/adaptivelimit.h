#ifndef JACKDAW_OVERLOAD_ADAPTIVELIMIT_H
#define JACKDAW_OVERLOAD_ADAPTIVELIMIT_H

#include "overload/concurrencylimit.h"

#include <cstdint>
#include <deque>

namespace overload {

/// A concurrency limit that adapts to the capacity of the backend server.
///
/// The limit is adjusted once per measurement window. While the mean latency is
/// near the latency without queueing (the base latency), the limit grows.
/// Higher latency or failures cut it, and the next window verifies the cut: if
/// throughput has fallen, the backend server has become slower rather than
/// queueing, so the cut is undone and the base latency is raised. A periodic
/// probe with a lower limit measures the base latency again.
class AdaptiveLimit final : public ConcurrencyLimit {
public:
  /// `Slots` is the upper bound of the limit, from the service file.
  AdaptiveLimit(const base::Clock &Clock, std::uint32_t Slots);

  std::uint32_t limit() const override;
  void tick() override;

  /// Current estimate of the latency without queueing; zero before the first
  /// window has completed.
  base::Duration baseLatency() const;

protected:
  void beforeInFlightChange() override;
  void onCallCompleted(CompletionStatus Completion,
                       base::Duration Latency) override;

private:
  /// Observations of one measurement window; times in seconds.
  struct Window {
    std::uint32_t Responses = 0;
    std::uint32_t Failures = 0;
    double LatencySum = 0;
    double LatencySquareSum = 0;
    double Elapsed = 0;
    /// Time during which all slots of the limit were in use.
    double SaturatedTime = 0;

    double meanLatency() const;
    /// Standard error of the mean latency.
    double latencyError() const;
    double failureShare() const;
    /// Responses per second.
    double throughput() const;
    /// Whether the limit was reached often enough for it to grow.
    bool reachedLimit() const;
    /// Whether the limit, rather than demand, determined the throughput.
    bool saturated() const;
  };

  enum class Phase : std::uint8_t { Steady, VerifyCut, Probe };

  void accumulate();
  bool windowComplete() const;
  void finishWindow();
  void evaluateReducedLimit();
  void recordLatency(double Latency);
  /// Lowest of the recent window latencies in seconds, which is the base
  /// latency; zero if there is none.
  double lowestLatency() const;
  void adjust();
  void adjustForLatency(double Ratio, double LowerBoundRatio);
  bool cutForFailures();
  void startCut(double Factor, Phase Next);
  void changeLimit(double NewLimit);

  const base::Clock &Clock;
  const double Slots;
  double Limit;
  bool SlowStart = true;
  Phase State = Phase::Steady;
  /// Mean latencies of recent windows in seconds.
  std::deque<double> WindowLatencies;
  /// Share of failures that does not depend on the calls in flight.
  double BaseFailureShare = 0;
  Window Current;
  /// The window and the limit before the last cut or probe.
  Window WindowBeforeCut;
  double LimitBeforeCut = 0;
  std::uint32_t WindowsSinceProbe = 0;
  base::BootTime LastUpdate;
  /// Observations before this time are ignored; see `changeLimit`.
  base::BootTime MeasureFrom;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADAPTIVELIMIT_H
