#ifndef JACKDAW_RELAY_LOCALSERVERSTATE_H
#define JACKDAW_RELAY_LOCALSERVERSTATE_H

#include "relay/types.h"

#include <optional>
#include <string>

namespace relay {

/// Effect of a report on the known state.
enum class ReportResult : std::uint8_t {
  /// The report is older than the known state and was ignored.
  Stale,
  Unchanged,
  /// The report is of a new incarnation, or its slots or draining state differ.
  Changed,
};

/// State of the local backend server by its reports. An incarnation that is
/// shutting down accepts no new requests again, whatever it reports later.
class LocalServerState {
public:
  ReportResult apply(const ServerReport &Received);

  /// Records that the backend server is shutting down. Returns false if `Id` is
  /// not the current incarnation.
  bool markLeaving(const std::string &Id);

  /// Records the same about exactly this process of the backend server.
  bool markLeaving(const ServerIncarnation &Process);

  /// Whether new requests may be passed to the server.
  bool available() const { return Current && !Leaving; }

  /// Whether `Process` is the current incarnation.
  bool isCurrent(const ServerIncarnation &Process) const {
    return Current && Current->Server == Process;
  }

  /// Whether the current incarnation is shutting down.
  bool leaving() const { return Leaving; }

  /// The last report of the newest incarnation, also when it is shutting down;
  /// null before the first report.
  const ServerReport *latestReport() const {
    return Current ? &*Current : nullptr;
  }

private:
  std::optional<ServerReport> Current;
  bool Leaving = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_LOCALSERVERSTATE_H
