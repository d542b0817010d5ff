#ifndef JACKDAW_RELAY_DECISIONLOG_H
#define JACKDAW_RELAY_DECISIONLOG_H

#include "base/clock.h"
#include "base/metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace relay {

/// Structured log of decisions: one line of JSON each, on standard output.
/// Lines about requests are limited in number; lines about the process's own
/// state are not. What is dropped is counted.
class DecisionLog {
public:
  DecisionLog(const base::Clock &Time, base::MetricsRegistry &Metrics,
              std::string Instance);

  /// A line about one request.
  void request(const char *Event, const nlohmann::ordered_json &Fields);

  /// A line about what this process is or believes.
  void state(const char *Event, const nlohmann::ordered_json &Fields);

private:
  void write(const char *Event, const nlohmann::ordered_json &Fields);
  bool takeLine();

  const base::Clock &Time;
  base::Counter &Dropped;
  const std::string Instance;
  double Lines;
  base::BootTime RefilledAt;
};

} // namespace relay

#endif // JACKDAW_RELAY_DECISIONLOG_H
