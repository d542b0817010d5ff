#ifndef JACKDAW_HTTP_SERVER_H
#define JACKDAW_HTTP_SERVER_H

#include "base/errors.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace http {

/// The connection on which a request was received.
class CallerConnection {
public:
  virtual ~CallerConnection() = default;

  /// Whether the caller has closed the connection, so that the response is no
  /// longer needed.
  virtual bool closed() const = 0;
};

/// Handles requests. Called on one thread per connection, so it may block.
class Handler {
public:
  virtual ~Handler() = default;

  /// A response with the framing `UntilClose` is sent without a length and ends
  /// with the connection; if the server is destroyed or the process ends before
  /// all of it is sent, the connection is reset. `NoBody` means a response to
  /// HEAD or with status 304 whose `Content-Length`, if any, is sent as it is.
  /// Any other body is sent with its length.
  virtual Response handle(Request Received,
                          const CallerConnection &Connection) = 0;

  /// Response to a request whose body exceeds the limit.
  virtual Response bodyTooLarge() const = 0;
};

struct ServerSettings {
  /// IPv4 address to listen on.
  std::string Ip = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t Port = 0;
  std::size_t MaxBodyBytes = 1 << 20;
  unsigned MaxConnections = 1000;
  /// Certificate and key in PEM format; TLS is off if they are empty.
  std::string TlsCertificate;
  std::string TlsKey;
};

/// An HTTP/1.1 server over libmicrohttpd with one thread per connection.
class Server {
public:
  /// Starts listening. Fails with `Internal` if the address can't be bound.
  static base::Result<std::unique_ptr<Server>>
  start(const ServerSettings &Settings, Handler &RequestHandler);

  /// Closes all connections and waits for the handlers to return.
  ~Server();

  std::uint16_t port() const;

  /// Number of requests that are being received or handled, or whose response
  /// has not been sent completely.
  std::size_t openRequests() const;

  /// Stops accepting connections; open ones continue to be served. Blocks for
  /// about 100 ms.
  void stopAccepting();

private:
  struct State;
  explicit Server(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_SERVER_H
