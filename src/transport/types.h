#ifndef JACKDAW_TRANSPORT_TYPES_H
#define JACKDAW_TRANSPORT_TYPES_H

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace transport {

/// Identifies a connection to a peer; never reused within a process.
using ConnectionId = base::StrongNumber<struct PeerConnectionTag>;

/// A message on a connection between two daemons. Types from
/// `kFirstReservedType` on are reserved for the transport.
struct Frame {
  std::uint8_t Type = 0;
  std::string Body;
  /// A second part, for data that is too large to be copied, such as the body
  /// of a request; null if there is none. Shared, because the sender may need
  /// it again. Not changed by anyone while it is shared.
  std::shared_ptr<const std::string> Payload = nullptr;
  /// Set by the sender: the receiver may drop the payload if it has no memory
  /// for it. Otherwise it holds the payload in any case.
  bool PayloadIsOptional = false;
  /// The receiver has dropped the payload.
  bool PayloadDropped = false;

  /// Bytes of both parts.
  std::size_t size() const {
    return Body.size() + (Payload ? Payload->size() : 0);
  }
};

/// First frame type that the transport reserves.
inline constexpr std::uint8_t kFirstReservedType = 240;

/// Largest frame accepted from a peer before it is authenticated, in bytes.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 256;

/// Largest frame that is sent to or accepted from an authenticated peer, in
/// bytes: the largest body of a request with its head.
inline constexpr std::size_t kMaxFrameBytes = (64 << 20) + (1 << 20);

/// Limit on the frames that wait to be sent on one connection, and on those
/// that are partially received on it, in bytes. Leaves room for other frames
/// beside the largest one.
inline constexpr std::size_t kMaxQueuedBytes = kMaxFrameBytes + (15 << 20);

/// Largest datagram body before encryption, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

} // namespace transport

#endif // JACKDAW_TRANSPORT_TYPES_H
