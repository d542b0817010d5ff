#ifndef JACKDAW_TRANSPORT_INTERNAL_SOCKETS_H
#define JACKDAW_TRANSPORT_INTERNAL_SOCKETS_H

#include "base/errors.h"
#include "base/types.h"

#include <netinet/in.h>

#include <optional>
#include <utility>

namespace transport {

/// Owns a file descriptor and closes it.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Value) : Value(Value) {}
  FileDescriptor(FileDescriptor &&Other) noexcept
      : Value(std::exchange(Other.Value, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(Value, Other.Value);
    return *this;
  }
  ~FileDescriptor();

  int value() const { return Value; }
  bool valid() const { return Value >= 0; }

private:
  int Value = -1;
};

/// Converts to a socket address. Returns no value if `Peer.Ip` is not an IPv4
/// address.
std::optional<sockaddr_in> toSocketAddress(const base::Endpoint &Peer);

base::Endpoint fromSocketAddress(const sockaddr_in &Address);

/// A TCP and a UDP socket on the same port, both non-blocking.
struct ListeningSockets {
  FileDescriptor Tcp;
  FileDescriptor Udp;
  base::Endpoint Address;
};

/// Binds both sockets and listens on the TCP socket; port 0 lets the system
/// choose one. Fails with `Internal` if the address can't be bound.
base::Result<ListeningSockets> listenOn(const base::Endpoint &Requested);

/// Starts a non-blocking TCP connection. Returns an invalid descriptor if it
/// fails immediately.
FileDescriptor startConnection(const base::Endpoint &Peer);

/// Accepts one pending connection as a non-blocking socket. Returns an invalid
/// descriptor if there is none.
FileDescriptor acceptConnection(const FileDescriptor &Listening);

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_SOCKETS_H
