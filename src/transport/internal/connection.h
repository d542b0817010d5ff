#ifndef JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H
#define JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H

#include "base/clock.h"
#include "transport/internal/session.h"
#include "transport/internal/sockets.h"
#include "transport/types.h"

#include <optional>
#include <string>
#include <vector>

namespace transport {

/// Secrets under which a peer may authenticate.
struct SecretPair {
  std::string Current;
  std::string Previous;
};

/// One TCP connection: framing, handshake and sealing over a non-blocking
/// socket. The caller serialises access.
///
/// Handshake: dialler's hello, acceptor's hello, then a sealed confirmation in
/// each direction. The acceptor finds out from the first sealed frame which of
/// the two secrets the dialler uses.
class Connection {
public:
  enum class State { Connecting, Handshake, Open, Closed };

  /// Connection to `Peer` that this side dials.
  static Connection dial(FileDescriptor Socket, base::PeerAddress Peer,
                         const base::ProcessId &Self, const SecretPair &Secrets,
                         bool UsePrevious, base::BootTime Now);

  /// Connection that was accepted.
  static Connection accept(FileDescriptor Socket, const base::ProcessId &Self,
                           const SecretPair &Secrets, base::BootTime Now);

  int socket() const { return Socket.value(); }
  State state() const { return Current; }
  bool dialled() const { return Dialled; }
  bool wasOpen() const { return OpenedOnce; }
  bool usedPrevious() const { return UsePrevious; }
  const base::PeerAddress &dialledAddress() const { return Target; }
  const base::ProcessId &peer() const { return PeerHello.Sender; }
  bool wantsWrite() const {
    return Current == State::Connecting || OutOffset < Out.size();
  }
  base::BootTime startedAt() const { return StartedAt; }

  /// Queues a frame; false if the queue is full or the connection closed.
  bool send(Frame Message);

  /// Reads what has arrived; returns the complete frames. Closes on errors and
  /// on frames that break the protocol.
  std::vector<Frame> readFrames(base::BootTime Now);

  /// Writes what the socket takes.
  void flush();

  void markClosed() { Current = State::Closed; }

  /// Time of the last byte from the peer.
  base::BootTime LastReceived;
  /// Time of the last frame other than the transport's own, either way.
  base::BootTime LastUsed;
  base::BootTime LastPing;

private:
  Connection(FileDescriptor Socket, const base::ProcessId &Self,
             const SecretPair &Secrets, base::BootTime Now);

  void sendRaw(std::string_view Payload);
  void sendSealed(const Frame &Message);
  void sendHello();
  bool receive(base::BootTime Now);
  std::optional<std::string> nextPayload();
  void onPayload(const std::string &Payload, std::vector<Frame> &Frames);
  bool onHello(const std::string &Payload);
  bool onFirstSealed(const std::string &Payload);
  void makeStreams(const std::string &Secret);
  void becomeOpen();

  FileDescriptor Socket;
  base::PeerAddress Target;
  SecretPair Secrets;
  State Current = State::Handshake;
  bool Dialled = false;
  bool UsePrevious = false;
  bool HaveHello = false;
  bool OpenedOnce = false;
  base::BootTime StartedAt;
  Hello OwnHello;
  Hello PeerHello;
  std::optional<SealedStream> Sending;
  std::optional<SealedStream> Receiving;
  std::vector<Frame> Waiting;
  std::size_t WaitingBytes = 0;
  std::string In;
  std::string Out;
  std::size_t OutOffset = 0;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H
