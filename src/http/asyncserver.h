#ifndef JACKDAW_HTTP_ASYNCSERVER_H
#define JACKDAW_HTTP_ASYNCSERVER_H

#include "base/clock.h"
#include "base/errors.h"
#include "eventloop/eventloop.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace http {

/// Identifies a request and its response; never reused by a server.
using ExchangeId = base::StrongNumber<struct ExchangeTag>;

class AsyncServer;

/// Handles requests. The response is passed to `AsyncServer::respond`, during
/// `onRequest` or later.
class AsyncHandler {
public:
  virtual ~AsyncHandler() = default;

  virtual void onRequest(AsyncServer &Server, ExchangeId Id,
                         Request Received) = 0;

  /// The caller has closed its connection, so the response is no longer needed.
  virtual void onCallerDisconnected(ExchangeId Id) = 0;
};

struct AsyncServerSettings {
  /// IPv4 address to listen on.
  std::string Ip = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t Port = 0;
  /// Further connections are closed as soon as they are accepted.
  unsigned MaxConnections = 1000;
};

/// Limits on requests and connections; may be changed while the server runs.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// A connection without pending requests is closed after this time without
  /// activity.
  base::Duration IdleTimeout = std::chrono::seconds(120);
};

/// What is on the open connections of a server.
struct ConnectionSummary {
  std::size_t Open = 0;
  /// Connections on which a part of a request has been read.
  std::size_t WithPartialRequest = 0;
  /// Connections on which bytes have arrived that have not been read. If the
  /// process exits now, they are reset.
  std::size_t WithUnreadBytes = 0;
  /// Connections of which the caller's machine has not acknowledged all bytes
  /// of the responses.
  std::size_t WithUnacknowledgedBytes = 0;
  /// Requests that have been read and have no response yet.
  std::size_t PendingRequests = 0;
  /// Response bytes that have not been passed to the system. They are lost if
  /// the process exits now.
  std::size_t UnsentBytes = 0;
};

/// An HTTP/1.1 server on an event loop. Pipelined requests are passed to the
/// handler as they arrive, so that each request's deadline runs from its
/// arrival, and their responses are sent in order. (libmicrohttpd, which
/// `Server` uses, reads a request only after the response to the previous one.)
/// The server itself responds to malformed requests with 400, and to those over
/// the limits with 413 or 431, and then closes the connection.
class AsyncServer {
public:
  /// Starts listening. Fails with `Internal` if the address can't be bound.
  static base::Result<std::unique_ptr<AsyncServer>>
  start(const AsyncServerSettings &Settings, eventloop::EventLoop &Loop,
        AsyncHandler &RequestHandler);

  /// Closes all connections.
  ~AsyncServer();

  std::uint16_t port() const;

  /// Replaces the limits. A request that is being read keeps its size limits.
  void setLimits(const CallerLimits &NewLimits);

  /// Sends the response, or 502 if one of its headers is longer than 65,000
  /// bytes or its status is not that of a final response. Does nothing if the
  /// caller has disconnected.
  ///
  /// A response with the framing `UntilClose` is sent without a length and ends
  /// with the connection, so the caller is told no more about its end than this
  /// process knows. It must not be sent if `hasRequestBehind`, since the
  /// responses to those requests would be lost. Any other body is sent with its
  /// length. A response to HEAD, or with a status that excludes a body, is sent
  /// with the length that its headers state, if any.
  void respond(ExchangeId Id, Response Message);

  /// Whether further requests were read on the connection of this one.
  bool hasRequestBehind(ExchangeId Id) const;

  /// Number of requests without a response yet.
  std::size_t pendingExchanges() const;

  /// Number of connections on which a request is being received or handled, or
  /// the caller's machine has not acknowledged all bytes of the responses.
  std::size_t busyConnections() const;

  /// Counts what is on the open connections now. Asks the system about each
  /// connection.
  ConnectionSummary connectionSummary() const;

private:
  struct State;
  explicit AsyncServer(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_ASYNCSERVER_H
