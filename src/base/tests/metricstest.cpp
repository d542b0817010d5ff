#include "base/metrics.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE("a quantile is at most one bin above the recorded value") {
  base::DurationHistogram Histogram;
  CHECK(Histogram.quantile(0.99) == base::Duration::zero());
  for (int Index = 0; Index < 99; ++Index)
    Histogram.record(1ms);
  Histogram.record(1s);
  CHECK(Histogram.quantile(0.5) >= 1ms);
  CHECK(Histogram.quantile(0.5) < 2ms);
  CHECK(Histogram.quantile(1.0) >= 1s);
}

TEST_CASE(
    "the exposition declares each metric family once, as scrapers require") {
  base::MetricsRegistry Registry;
  Registry.counter("refused_total{kind=\"a\"}").add(2);
  Registry.counter("refused_total{kind=\"b\"}").add();
  Registry.gauge("in_flight").set(-1);
  Registry.histogram("call_seconds").record(5ms);
  const std::string Text = Registry.exposition();
  const std::string Type = "# TYPE refused_total counter";
  CHECK(Text.find(Type) != std::string::npos);
  CHECK(Text.find(Type) == Text.rfind(Type));
  CHECK(Text.find("refused_total{kind=\"a\"} 2") != std::string::npos);
  CHECK(Text.find("in_flight -1") != std::string::npos);
  CHECK(Text.find("call_seconds_count 1") != std::string::npos);
}
