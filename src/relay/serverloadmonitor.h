#ifndef JACKDAW_RELAY_SERVERLOADMONITOR_H
#define JACKDAW_RELAY_SERVERLOADMONITOR_H

#include "base/metrics.h"
#include "relay/serverstatement.h"
#include "relay/structuredlog.h"
#include "relay/types.h"

namespace relay {

/// Logs what the local backend server states about itself next to the rate at
/// which this daemon passes calls to it: one line a second while it states
/// something, and one when it stops.
class ServerLoadMonitor {
public:
  ServerLoadMonitor(const base::Clock &Clock, base::MetricsRegistry &Metrics,
                    StructuredLog &Log);

  /// Records the statement in the headers of a response of `Server`.
  void onStatement(const ServerIncarnation &Server,
                   const ServerStatement &Stated);

  /// Records that a call was passed to the server after `QueueTime` in the
  /// queue.
  void onForwarded(bool Inner, base::Duration QueueTime);

  /// Writes the line that is due; must be called at least once a second.
  void tick();

private:
  /// Calls passed to the server since the last line.
  struct Counts {
    int Forwarded = 0;
    int Inner = 0;
    /// Calls that waited in the queue first.
    int Queued = 0;
  };

  const base::Clock &Clock;
  StructuredLog &Log;
  base::Counter &Malformed;
  ServerIncarnation Server;
  ServerStatement Last;
  Counts Current;
  base::BootTime CountedSince;
  bool Reporting = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_SERVERLOADMONITOR_H
