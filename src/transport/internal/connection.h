#ifndef JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H
#define JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H

#include "base/clock.h"
#include "transport/internal/fragments.h"
#include "transport/internal/keepalive.h"
#include "transport/internal/session.h"
#include "transport/internal/sockets.h"
#include "transport/types.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace transport {

/// The shared secrets that a peer may use to authenticate itself.
struct SecretPair {
  std::string Current;
  /// Empty if no earlier secret is accepted.
  std::string Previous;
};

/// One TCP connection to a peer: framing, handshake and frame encryption over a
/// non-blocking socket. Not thread-safe.
///
/// A large frame is sent in fragments. The next one is encrypted when
/// everything before it has been passed to the system, so that a large frame is
/// held once, and small frames don't wait for the rest of it.
///
/// Handshake: the dialler's hello, the acceptor's hello, then one encrypted
/// confirmation frame in each direction. The acceptor determines which of the
/// two secrets the dialler uses by decrypting its confirmation.
class Connection {
public:
  enum class State { Connecting, Handshake, Open, Closed };

  /// Creates the dialling side of a connection to `Peer`. `Socket` is a
  /// connection attempt in progress; the result is closed if it is invalid.
  /// `Budget` is charged with received payloads; may be null.
  static Connection dial(FileDescriptor Socket, base::Endpoint Peer,
                         const base::ProcessId &Self, const SecretPair &Secrets,
                         bool UsePreviousSecret, base::BootTime Now,
                         base::MemoryBudget *Budget = nullptr);

  /// Creates the accepting side.
  static Connection accept(FileDescriptor Socket, const base::ProcessId &Self,
                           const SecretPair &Secrets, base::BootTime Now,
                           base::MemoryBudget *Budget = nullptr);

  int socket() const { return Socket.value(); }
  State state() const { return CurrentState; }
  bool isDialler() const { return IsDialler; }
  /// Whether the handshake has ever completed.
  bool everOpen() const { return EverOpen; }
  bool usedPreviousSecret() const { return UsePreviousSecret; }
  /// Address of the peer; set on the dialling side only.
  const base::Endpoint &dialledAddress() const { return DialledAddress; }
  /// Identity of the peer; authenticated once the connection is open.
  const base::ProcessId &peer() const { return PeerHello.Sender; }
  bool wantsWrite() const {
    return CurrentState == State::Connecting ||
           WriteOffset < WriteBuffer.size() || !Fragments.empty();
  }
  base::BootTime startedAt() const { return StartedAt; }

  /// Queues a frame. Returns false if the queue is full, the connection is
  /// closed or the frame is too large; the frame is dropped then.
  bool send(Frame Message);

  /// Reads from the socket and returns the complete frames. Closes the
  /// connection on socket errors and protocol violations.
  std::vector<Frame> readFrames(base::BootTime Now);

  /// Writes queued bytes until the socket would block, or a limit on the work
  /// of one call is reached.
  void flush();

  void markClosed() { CurrentState = State::Closed; }

  /// When the peer was heard from, and when the connection was used.
  KeepAlive Liveness;

private:
  Connection(FileDescriptor Socket, const base::ProcessId &Self,
             const SecretPair &Secrets, base::BootTime Now,
             base::MemoryBudget *Budget);

  void queuePayload(std::string_view Payload);
  void queueFrame(Frame Message);
  template <typename Append> void queueSealed(const Append &AppendPlain);
  void sendHello();
  bool writeBuffered();
  std::optional<std::span<char>> nextPayload();
  void consumeBuffered(std::vector<Frame> &Frames);
  void onPayload(std::span<char> Payload, std::vector<Frame> &Frames);
  bool onOpened(std::string_view Plain, std::vector<Frame> &Frames);
  bool onHello(std::string_view Payload);
  bool onConfirmation(std::string_view Payload);
  void deriveCiphers(const std::string &Secret);
  void onAuthenticated();

  FileDescriptor Socket;
  base::Endpoint DialledAddress;
  SecretPair Secrets;
  State CurrentState = State::Handshake;
  bool IsDialler = false;
  bool UsePreviousSecret = false;
  bool HelloReceived = false;
  bool EverOpen = false;
  base::BootTime StartedAt;
  Hello OwnHello;
  Hello PeerHello;
  std::optional<FrameCipher> SendCipher;
  std::optional<FrameCipher> ReceiveCipher;
  /// Frames that are sent once the connection is open, and their size.
  std::vector<Frame> PendingFrames;
  std::size_t PendingBytes = 0;
  std::string ReadBuffer;
  std::size_t ReadOffset = 0;
  std::string WriteBuffer;
  std::size_t WriteOffset = 0;
  FragmentQueue Fragments;
  FragmentAssembler Assembler;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_CONNECTION_H
