#ifndef JACKDAW_RELAY_LOCALSERVERSTATE_H
#define JACKDAW_RELAY_LOCALSERVERSTATE_H

#include "relay/types.h"

#include <optional>
#include <string>

namespace relay {

/// What a report changed.
enum class ReportResult : std::uint8_t {
  /// The report is older than what is known.
  Stale,
  Unchanged,
  /// A new incarnation, or another state of the known one.
  Changed,
};

/// What this daemon believes about the backend server beside it. An
/// incarnation that said that it leaves stays closed to new requests, whatever
/// arrives later under its name.
class LocalServerState {
public:
  ReportResult report(const ServerReport &Received);

  /// The backend server says that it is going. Returns false if another
  /// incarnation is the current one.
  bool leave(const std::string &Id);

  /// Whether new requests may be passed on.
  bool available() const { return Current && !Leaving; }

  /// The newest incarnation, also when it leaves; null before the first report.
  const ServerReport *current() const { return Current ? &*Current : nullptr; }

private:
  std::optional<ServerReport> Current;
  bool Leaving = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_LOCALSERVERSTATE_H
