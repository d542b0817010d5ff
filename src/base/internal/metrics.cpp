#include "base/metrics.h"

#include <boost/histogram.hpp>

#include <cmath>

namespace base {

namespace {

using SecondsAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// The bins of a histogram; the range spans `kDecades` powers of ten.
constexpr unsigned kBinsPerDecade = 10;
constexpr double kShortestSeconds = 1e-5;
constexpr double kLongestSeconds = 1e2;
constexpr unsigned kDecades = 7;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::string familyName(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

template <typename Table>
void appendValues(std::string &Text, const Table &Metrics, const char *Type) {
  std::string LastFamily;
  for (const auto &[Name, Metric] : Metrics) {
    if (familyName(Name) != LastFamily) {
      LastFamily = familyName(Name);
      Text += "# TYPE " + LastFamily + " " + Type + "\n";
    }
    Text += Name + " " + std::to_string(Metric->value()) + "\n";
  }
}

template <typename Metric>
Metric &findOrCreate(std::map<std::string, std::unique_ptr<Metric>> &Table,
                     const std::string &Name) {
  std::unique_ptr<Metric> &Slot = Table[Name];
  if (!Slot)
    Slot = std::make_unique<Metric>();
  return *Slot;
}

} // namespace

struct DurationHistogram::State {
  mutable std::mutex Mutex;
  decltype(boost::histogram::make_histogram(SecondsAxis(1, 1.0, 2.0))) Bins =
      boost::histogram::make_histogram(SecondsAxis(
          kBinsPerDecade * kDecades, kShortestSeconds, kLongestSeconds));
  double SumSeconds = 0;
  std::uint64_t Count = 0;
};

DurationHistogram::DurationHistogram() : Impl(std::make_unique<State>()) {}
DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::record(Duration Value) {
  const double Seconds = toSeconds(Value);
  std::lock_guard Lock(Impl->Mutex);
  Impl->Bins(Seconds);
  Impl->SumSeconds += Seconds;
  ++Impl->Count;
}

Duration DurationHistogram::quantile(double Quantile) const {
  std::lock_guard Lock(Impl->Mutex);
  if (Impl->Count == 0)
    return Duration::zero();
  const double TargetCount = Quantile * static_cast<double>(Impl->Count);
  double Cumulative = 0;
  for (auto &&Bin :
       boost::histogram::indexed(Impl->Bins, boost::histogram::coverage::all)) {
    Cumulative += *Bin;
    if (Cumulative >= TargetCount) {
      const double Upper = std::min(Bin.bin().upper(), kLongestSeconds);
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Upper));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kLongestSeconds));
}

std::uint64_t DurationHistogram::count() const {
  std::lock_guard Lock(Impl->Mutex);
  return Impl->Count;
}

void DurationHistogram::appendTo(std::string &Text,
                                 const std::string &Name) const {
  std::lock_guard Lock(Impl->Mutex);
  Text += "# TYPE " + Name + " histogram\n";
  double Cumulative = 0;
  for (auto &&Bin :
       boost::histogram::indexed(Impl->Bins, boost::histogram::coverage::all)) {
    Cumulative += *Bin;
    if (*Bin == 0 || std::isinf(Bin.bin().upper()))
      continue;
    Text += Name + "_bucket{le=\"" + std::to_string(Bin.bin().upper()) +
            "\"} " + std::to_string(static_cast<std::uint64_t>(Cumulative)) +
            "\n";
  }
  const std::string Count = std::to_string(Impl->Count);
  Text += Name + "_bucket{le=\"+Inf\"} " + Count + "\n";
  Text += Name + "_sum " + std::to_string(Impl->SumSeconds) + "\n";
  Text += Name + "_count " + Count + "\n";
}

Counter &MetricsRegistry::counter(const std::string &Name) {
  std::lock_guard Lock(Mutex);
  return findOrCreate(Counters, Name);
}

Gauge &MetricsRegistry::gauge(const std::string &Name) {
  std::lock_guard Lock(Mutex);
  return findOrCreate(Gauges, Name);
}

DurationHistogram &MetricsRegistry::histogram(const std::string &Name) {
  std::lock_guard Lock(Mutex);
  return findOrCreate(Histograms, Name);
}

std::string MetricsRegistry::exposition() const {
  std::lock_guard Lock(Mutex);
  std::string Text;
  appendValues(Text, Counters, "counter");
  appendValues(Text, Gauges, "gauge");
  for (const auto &[Name, Histogram] : Histograms)
    Histogram->appendTo(Text, Name);
  return Text;
}

} // namespace base
