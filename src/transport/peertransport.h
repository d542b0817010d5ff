#ifndef JACKDAW_TRANSPORT_PEERTRANSPORT_H
#define JACKDAW_TRANSPORT_PEERTRANSPORT_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/metrics.h"
#include "transport/types.h"

#include <memory>
#include <string>

namespace transport {

/// Receives what arrives from peers. Called on the transport's own thread, so
/// it must not block.
class PeerListener {
public:
  virtual ~PeerListener() = default;

  virtual void onFrame(ConnectionId Connection, const base::ProcessId &Peer,
                       Frame Received) = 0;

  /// The connection is gone. `WasOpen` is false if the peer was never
  /// authenticated; then no frame given to `send` has left this process.
  virtual void onClosed(ConnectionId Connection, bool WasOpen) = 0;

  virtual void onDatagram(const base::PeerAddress &From, std::string Body) = 0;
};

struct TransportSettings {
  base::ProcessId Self;
  /// Address to listen on, TCP and UDP; port 0 lets the system choose.
  base::PeerAddress Listen;
  /// Secret that all daemons share.
  std::string Secret;
  /// Secret before the last rotation, still accepted; may be empty.
  std::string PreviousSecret;
};

/// Authenticated and encrypted connections and datagrams between daemons.
/// Connections are made on demand, checked by pings, and closed when nothing
/// arrives for three pings, because something between the two ends may have
/// lost track of them. Safe to use from any thread.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Starts listening and the thread that serves all connections. Fails with
  /// `Internal` if the address can't be bound.
  static base::Result<std::unique_ptr<PeerTransport>>
  start(const TransportSettings &Settings, const base::Clock &Time,
        base::MetricsRegistry &Metrics, PeerListener &Listener);

  /// Address at which peers reach this process.
  virtual base::PeerAddress address() const = 0;

  /// The connection to a peer; starts a new one if there is none. The listener
  /// is told if it fails.
  virtual ConnectionId connectionTo(const base::PeerAddress &Peer) = 0;

  /// Queues a frame. Returns false if the connection is gone or its queue is
  /// full; then the frame is not sent.
  virtual bool send(ConnectionId Connection, Frame Message) = 0;

  /// Closes a connection; the listener is told.
  virtual void close(ConnectionId Connection) = 0;

  /// Sends a datagram; it may get lost. Bodies above `kMaxDatagramBytes` are
  /// dropped and counted.
  virtual void sendDatagram(const base::PeerAddress &Peer,
                            const std::string &Body) = 0;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_PEERTRANSPORT_H
