#ifndef JACKDAW_TRANSPORT_PEERTRANSPORT_H
#define JACKDAW_TRANSPORT_PEERTRANSPORT_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/memorybudget.h"
#include "base/metrics.h"
#include "transport/types.h"

#include <memory>
#include <string>

namespace transport {

/// Receives frames, datagrams and connection events. Called on the transport's
/// own thread, so it must not block.
class PeerListener {
public:
  virtual ~PeerListener() = default;

  virtual void onFrame(ConnectionId Connection, const base::ProcessId &Peer,
                       Frame Received) = 0;

  /// The connection has closed. `WasOpen` is false if the peer was never
  /// authenticated; then no frame given to `send` has left this process.
  virtual void onClosed(ConnectionId Connection, bool WasOpen) = 0;

  virtual void onDatagram(const base::Endpoint &From, std::string Body) = 0;
};

struct TransportSettings {
  base::ProcessId Self;
  /// Address to listen on for TCP and UDP; port 0 lets the system choose one.
  base::Endpoint ListenAddress;
  /// Secret shared by all daemons.
  std::string Secret;
  /// Secret before the last rotation, still accepted; may be empty.
  std::string PreviousSecret;
  /// Charged with the payloads that are received, until they are released; must
  /// outlive them. Null if memory isn't limited.
  base::MemoryBudget *Budget = nullptr;
};

/// Authenticated and encrypted connections and datagrams between daemons.
/// Connections are opened on demand and checked by pings. A connection on which
/// a ping remains without reply for two seconds is closed, because a network
/// device between the two ends may have dropped its state. Thread-safe.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Starts listening, and starts the thread that serves all connections. Fails
  /// with `Internal` if the address can't be bound.
  static base::Result<std::unique_ptr<PeerTransport>>
  start(const TransportSettings &Settings, const base::Clock &Clock,
        base::MetricsRegistry &Metrics, PeerListener &Listener);

  /// Address at which peers reach this process.
  virtual base::Endpoint address() const = 0;

  /// Returns the connection to a peer, and opens one if there is none. If it
  /// fails, `PeerListener::onClosed` is called.
  virtual ConnectionId connectionTo(const base::Endpoint &Peer) = 0;

  /// Queues a frame. Returns false if the connection is closed, its queue is
  /// full or the frame is larger than `kMaxFrameBytes`; then the frame is not
  /// sent. Large frames are sent in fragments, so that others may arrive before
  /// one that was queued earlier.
  virtual bool send(ConnectionId Connection, Frame Message) = 0;

  /// Closes a connection; `PeerListener::onClosed` is called.
  virtual void close(ConnectionId Connection) = 0;

  /// Uses another secret from now on. The one before is still accepted, and
  /// open connections stay open.
  virtual void changeSecret(const std::string &NewSecret) = 0;

  /// Sends a datagram without any guarantee of delivery. Bodies larger than
  /// `kMaxDatagramBytes` are dropped and counted.
  virtual void sendDatagram(const base::Endpoint &Peer,
                            const std::string &Body) = 0;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_PEERTRANSPORT_H
