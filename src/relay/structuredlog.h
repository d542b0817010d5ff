#ifndef JACKDAW_RELAY_STRUCTUREDLOG_H
#define JACKDAW_RELAY_STRUCTUREDLOG_H

#include "base/clock.h"
#include "base/metrics.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace relay {

/// Structured log of request events and state changes: one line of JSON each on
/// standard output. Lines about requests are rate-limited, and dropped lines
/// are counted; lines about state changes are always written.
class StructuredLog {
public:
  StructuredLog(const base::Clock &Clock, base::MetricsRegistry &Metrics,
                std::string Instance);

  /// Logs an event of one request. Beyond a burst of 300 lines and 100 lines
  /// per second, the line is dropped and counted instead.
  void request(const char *Event, const nlohmann::ordered_json &Fields);

  /// Logs a change of the state of this process or of what it knows about
  /// the fleet.
  void state(const char *Event, const nlohmann::ordered_json &Fields);

private:
  void write(const char *Event, const nlohmann::ordered_json &Fields);
  bool takeToken();

  const base::Clock &Clock;
  base::Counter &DroppedLines;
  const std::string Instance;
  /// Lines about requests that may be written now; refilled over time.
  double Tokens;
  base::BootTime RefilledAt;
};

} // namespace relay

#endif // JACKDAW_RELAY_STRUCTUREDLOG_H
