#ifndef JACKDAW_HTTP_ASYNCSERVER_H
#define JACKDAW_HTTP_ASYNCSERVER_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/memorybudget.h"
#include "eventloop/eventloop.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace http {

/// Identifies a request and its response; never reused by a server.
using ExchangeId = base::StrongNumber<struct ExchangeTag>;

class AsyncServer;

/// Why the server refuses a request that it has not passed to the handler, or
/// closes the connection of one.
enum class ServerRefusalReason : std::uint8_t {
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  /// The head or the body has not arrived in time.
  HeadTimeout,
  BodyTimeout,
  /// The memory budget is used up.
  OutOfMemory,
  /// The memory budget is exceeded, and the caller doesn't read its response,
  /// so its connection is closed. The request has been passed to the handler.
  UnreadResponse,
  /// There are as many connections as allowed. The one that has been silent for
  /// the longest time is closed; it has no pending request.
  TooManyConnections,
};

/// Name for logs and metrics.
std::string_view refusalReasonName(ServerRefusalReason Reason);

/// A request that the server has refused, and what it decided by.
struct ServerRefusal {
  ServerRefusalReason Reason = ServerRefusalReason::Malformed;
  std::uint16_t Status = 0;
  /// Bytes of the request that had been received.
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  /// All that was held for the connection, in bytes of memory.
  std::size_t HeldBytes = 0;
  /// Since the first byte of the request.
  base::Duration Age{0};
  /// Since 16 KiB of its body arrived last, or since its first byte; of a
  /// response, since its caller read last.
  base::Duration WithoutProgress{0};
};

/// Handles requests. The response is passed to `AsyncServer::respond`, during
/// `onRequest` or later.
class AsyncHandler {
public:
  virtual ~AsyncHandler() = default;

  virtual void onRequest(AsyncServer &Server, ExchangeId Id,
                         Request Received) = 0;

  /// The caller has closed its connection, so the response is no longer needed.
  virtual void onCallerDisconnected(ExchangeId Id) = 0;

  /// The server has refused a request itself. May be used to log it.
  virtual void onServerRefusal(const ServerRefusal &) {}
};

struct AsyncServerSettings {
  /// IPv4 address to listen on.
  std::string Ip = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t Port = 0;
  /// For a further connection, the one that has been silent for the longest
  /// time is closed, if it has no pending request and has been silent for a
  /// second; otherwise the further one.
  unsigned MaxConnections = 1000;
  /// Charged with what is held for callers. May be null; must outlive the
  /// server.
  base::MemoryBudget *Budget = nullptr;
};

/// Limits on requests and connections; may be changed while the server runs.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// A connection without pending requests is closed after this time without
  /// activity.
  base::Duration IdleTimeout = std::chrono::seconds(120);
  /// Time from the first byte of a request to the end of its head.
  base::Duration HeaderTimeout = std::chrono::seconds(10);
  /// Time from the first byte of a request to the end of its body, unless the
  /// request states one.
  base::Duration RequestTimeout = std::chrono::seconds(10);
  /// Name of the header in which a request states how long its caller will wait
  /// for the response, in milliseconds; may be empty.
  std::string TimeLeftHeader;
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
/// the limits with 413, 431 or 408, and then closes the connection. A head may
/// have `MaxHeaderBytes` / 16 lines, or 100 if that is more. Trailers and chunk
/// extensions are dropped; each block of them may have `MaxHeaderBytes` bytes.
///
/// If what a request takes doesn't fit into the memory budget, an incomplete
/// request is refused with 503 and its connection closed: of those that have
/// not arrived any further for a second, the largest; otherwise the newest of
/// the large ones. If responses exceed the budget, the connections of callers
/// that haven't read for some seconds are closed, those with the most bytes
/// first.
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
