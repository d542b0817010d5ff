#ifndef JACKDAW_HTTP_INTERNAL_CONNECTIONSOCKETS_H
#define JACKDAW_HTTP_INTERNAL_CONNECTIONSOCKETS_H

#include "http/asyncclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace http {

/// Bytes received on a connection since it was opened, whether or not they have
/// been read; 0 if the system doesn't tell.
std::uint64_t bytesReceived(curl_socket_t Socket);

/// The first bytes, at most `MaxBytes`, that have arrived on a connection and
/// have not been read. They stay unread.
std::string peekInput(curl_socket_t Socket, std::size_t MaxBytes);

/// Blocks until input or the end of the connection arrives, for `Timeout` at
/// most.
void waitForInput(curl_socket_t Socket, base::Duration Timeout);

/// The sockets of a client's connections. libcurl doesn't tell which socket a
/// transfer will use before it has sent the request; this finds it by the
/// connection's local port. Must outlive the connections.
class ConnectionSockets {
public:
  /// Makes the connections that the handle's transfers open report their end
  /// here. `open` must be called for each of their sockets.
  void attach(CURL *Handle);

  /// Creates the socket of a new connection.
  curl_socket_t open(const curl_sockaddr &Address);

  /// Whether nothing has arrived on the connection between these ports since
  /// the last response: neither its end nor bytes, which would belong to no
  /// response.
  bool isIdle(std::uint16_t LocalPort, std::uint16_t RemotePort);

  struct Connection {
    curl_socket_t Socket = CURL_SOCKET_BAD;
    ConnectionNumber Number;
  };

  /// The connection between these ports; without a socket and a number if there
  /// are several.
  Connection connectionBetween(std::uint16_t LocalPort,
                               std::uint16_t RemotePort);

private:
  static int onClose(void *Self, curl_socket_t Socket);
  void readPorts();

  /// Connections by their ports; see `portKey`.
  std::unordered_multimap<std::uint32_t, Connection> Connected;
  /// Sockets whose ports haven't been read, since they are assigned when the
  /// connection is opened.
  std::vector<curl_socket_t> Opened;
  std::uint64_t LastNumber = 0;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_CONNECTIONSOCKETS_H
