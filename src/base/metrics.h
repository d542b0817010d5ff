#ifndef JACKDAW_BASE_METRICS_H
#define JACKDAW_BASE_METRICS_H

#include "base/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace base {

/// A monotonically increasing counter. Safe to use from any thread.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A value that can increase and decrease. Safe to use from any thread.
class Gauge {
public:
  void set(std::int64_t NewValue) {
    Value.store(NewValue, std::memory_order_relaxed);
  }
  void add(std::int64_t Amount) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value{0};
};

/// Histogram of durations with logarithmic bins from 10 µs to 100 s.
/// Safe to use from any thread.
class DurationHistogram {
public:
  DurationHistogram();
  ~DurationHistogram();

  void record(Duration Value);

  /// Returns the upper bound of the bin that contains the quantile, or zero if
  /// nothing has been recorded. `Quantile` is between 0 and 1.
  Duration quantile(double Quantile) const;

  std::uint64_t count() const;

  /// Appends the histogram in the text exposition format, with cumulative
  /// buckets in seconds.
  void appendTo(std::string &Text, const std::string &Name) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// All metrics of a process, created on first use. References are valid for the
/// lifetime of the registry. A name may include labels, such as
/// `refused_total{kind="overloaded"}`. Safe to use from any thread.
class MetricsRegistry {
public:
  Counter &counter(const std::string &Name);
  Gauge &gauge(const std::string &Name);
  DurationHistogram &histogram(const std::string &Name);

  /// All metrics in the text exposition format.
  std::string exposition() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<Counter>> Counters;
  std::map<std::string, std::unique_ptr<Gauge>> Gauges;
  std::map<std::string, std::unique_ptr<DurationHistogram>> Histograms;
};

} // namespace base

#endif // JACKDAW_BASE_METRICS_H
