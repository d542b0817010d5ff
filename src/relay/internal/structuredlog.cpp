#include "relay/structuredlog.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace relay {

namespace {

/// Sustained rate of lines about requests; about 20 KB per second and under 1 %
/// of a small instance's CPU.
constexpr double kLinesPerSecond = 100;
constexpr double kLineBurst = 300;

} // namespace

StructuredLog::StructuredLog(const base::Clock &Clock,
                             base::MetricsRegistry &Metrics,
                             std::string Instance)
    : Clock(Clock), DroppedLines(Metrics.counter("log_lines_dropped_total")),
      Instance(std::move(Instance)), Tokens(kLineBurst),
      RefilledAt(Clock.now()) {}

bool StructuredLog::takeToken() {
  const base::BootTime Now = Clock.now();
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  RefilledAt = Now;
  Tokens = std::min(kLineBurst, Tokens + Elapsed.count() * kLinesPerSecond);
  if (Tokens < 1) {
    DroppedLines.add();
    return false;
  }
  Tokens -= 1;
  return true;
}

void StructuredLog::request(const char *Event,
                            const nlohmann::ordered_json &Fields) {
  if (takeToken())
    write(Event, Fields);
}

void StructuredLog::state(const char *Event,
                          const nlohmann::ordered_json &Fields) {
  write(Event, Fields);
}

void StructuredLog::write(const char *Event,
                          const nlohmann::ordered_json &Fields) {
  nlohmann::ordered_json Line{{"event", Event}, {"instance", Instance}};
  Line.update(Fields);
  // Standard output is non-blocking, and a slow reader leaves the stream in a
  // failed state: later lines must still be written, although some are lost.
  if (!std::cout)
    std::cout.clear();
  LOG(INFO) << Line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace relay
