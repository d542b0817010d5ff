#ifndef JACKDAW_RELAY_SERVERNOTICES_H
#define JACKDAW_RELAY_SERVERNOTICES_H

#include "relay/messages.h"
#include "transport/peertransport.h"

#include <unordered_set>

namespace relay {

/// Tells calling daemons what the local backend server states about itself. A
/// notice is sent on a connection ahead of each response while there is
/// something to tell, and once more when there no longer is, so that it costs
/// nothing otherwise.
class ServerNotices {
public:
  explicit ServerNotices(transport::PeerTransport &Peers) : Peers(Peers) {}

  /// Must be called before each response on `Connection` with the current
  /// state.
  void beforeResponse(transport::ConnectionId Connection,
                      const ServerNotice &Current);

  /// The daemon on `Connection` has reminded this one of an earlier state, so
  /// it needs to be told the current one.
  void onReminder(transport::ConnectionId Connection) {
    Informed.insert(Connection);
  }

  void onConnectionClosed(transport::ConnectionId Connection) {
    Informed.erase(Connection);
  }

private:
  transport::PeerTransport &Peers;
  /// Connections whose daemon knows of a limit or of the shutdown.
  std::unordered_set<transport::ConnectionId> Informed;
};

} // namespace relay

#endif // JACKDAW_RELAY_SERVERNOTICES_H
