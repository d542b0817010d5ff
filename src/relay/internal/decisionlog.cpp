#include "relay/decisionlog.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace relay {

namespace {

/// Lines about requests in a second; about 20 KB, and under 1 % of a small
/// instance's processor.
constexpr double kLinesPerSecond = 100;
constexpr double kLineBurst = 300;

} // namespace

DecisionLog::DecisionLog(const base::Clock &Time,
                         base::MetricsRegistry &Metrics, std::string Instance)
    : Time(Time), Dropped(Metrics.counter("log_lines_dropped_total")),
      Instance(std::move(Instance)), Lines(kLineBurst), RefilledAt(Time.now()) {
}

bool DecisionLog::takeLine() {
  const base::BootTime Now = Time.now();
  const std::chrono::duration<double> Passed = Now - RefilledAt;
  RefilledAt = Now;
  Lines = std::min(kLineBurst, Lines + Passed.count() * kLinesPerSecond);
  if (Lines < 1) {
    Dropped.add();
    return false;
  }
  Lines -= 1;
  return true;
}

void DecisionLog::request(const char *Event,
                          const nlohmann::ordered_json &Fields) {
  if (takeLine())
    write(Event, Fields);
}

void DecisionLog::state(const char *Event,
                        const nlohmann::ordered_json &Fields) {
  write(Event, Fields);
}

void DecisionLog::write(const char *Event,
                        const nlohmann::ordered_json &Fields) {
  nlohmann::ordered_json Line{{"event", Event}, {"instance", Instance}};
  Line.update(Fields);
  // Standard output does not block; a reader that is too slow loses lines.
  if (!std::cout)
    std::cout.clear();
  LOG(INFO) << Line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace relay
