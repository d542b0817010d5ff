#ifndef JACKDAW_TRANSPORT_TYPES_H
#define JACKDAW_TRANSPORT_TYPES_H

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace transport {

/// Identifies a connection to a peer; never reused within a process.
using ConnectionId = base::StrongNumber<struct PeerConnectionTag>;

/// A message on a connection between two daemons. Types from
/// `kFirstReservedType` on are reserved for the transport.
struct Frame {
  std::uint8_t Type = 0;
  std::string Body;
};

/// First frame type that the transport reserves.
inline constexpr std::uint8_t kFirstReservedType = 240;

/// Largest frame accepted from a peer before it is authenticated, in bytes.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 256;

/// Largest frame accepted from an authenticated peer, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 32 << 20;

/// Largest datagram body before encryption, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

} // namespace transport

#endif // JACKDAW_TRANSPORT_TYPES_H
