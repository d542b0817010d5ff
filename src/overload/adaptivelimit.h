#ifndef JACKDAW_OVERLOAD_ADAPTIVELIMIT_H
#define JACKDAW_OVERLOAD_ADAPTIVELIMIT_H

#include "overload/concurrencylimit.h"

#include <cstdint>
#include <deque>

namespace overload {

/// A limit that follows the capacity of the backend server.
///
/// The limit works in measuring windows. Mean latency near the latency without
/// queueing (the base latency) lets the limit grow. Higher latency or failures
/// cut it, and the next window verifies the cut: if throughput has fallen, the
/// backend server is slower rather than queueing, so that the cut is undone and
/// the base latency is raised. From time to time a probe with a lower limit
/// measures the base latency anew.
class AdaptiveLimit final : public ConcurrencyLimit {
public:
  /// `Slots` is the upper bound, from the service file.
  AdaptiveLimit(const base::Clock &Time, std::uint32_t Slots);

  std::uint32_t limit() const override;
  void tick() override;

  /// Current estimate of the latency without queueing; zero before the first
  /// window.
  base::Duration baseLatency() const;

protected:
  void beforeChange() override;
  void ended(CallCompletion End, base::Duration Latency) override;

private:
  /// Observations of one measuring window; times in seconds.
  struct Window {
    std::uint32_t Responses = 0;
    std::uint32_t Failures = 0;
    double LatencySum = 0;
    double LatencySquares = 0;
    double Elapsed = 0;
    double SaturatedTime = 0;

    double meanLatency() const;
    /// Standard error of the mean latency.
    double latencyError() const;
    double failureShare() const;
    /// Responses per second.
    double throughput() const;
    bool reachedLimit() const;
    bool saturated() const;
  };

  enum class Phase : std::uint8_t { Steady, VerifyCut, Probe };

  void accumulate();
  bool windowComplete() const;
  void finishWindow();
  void compareWithBefore();
  void remember(double Latency);
  /// The lowest remembered latency in seconds; zero until known.
  double base() const;
  void adjust();
  void adjustForLatency(double Ratio, double CertainRatio);
  bool cutForFailures();
  void startCut(double Factor, Phase Next);
  void changeLimit(double New);

  const base::Clock &Time;
  const double Slots;
  double Limit;
  bool SlowStart = true;
  Phase State = Phase::Steady;
  /// Mean latencies of recent windows in seconds.
  std::deque<double> Latencies;
  /// Share of failures that does not depend on the calls in flight.
  double BaseFailures = 0;
  Window Current;
  /// The window and the limit before the last cut.
  Window Before;
  double LimitBefore = 0;
  std::uint32_t WindowsSinceProbe = 0;
  base::BootTime LastUpdate;
  base::BootTime SettledAt;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_ADAPTIVELIMIT_H
