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

/// One request that waits for its response.
using ExchangeId = base::StrongNumber<struct ExchangeTag>;

class AsyncServer;

/// Answers requests through `AsyncServer::respond`, at once or later.
class AsyncHandler {
public:
  virtual ~AsyncHandler() = default;

  virtual void onRequest(AsyncServer &Server, ExchangeId Id,
                         Request Received) = 0;

  /// The caller has closed its connection; no response is needed any more.
  virtual void onAbandoned(ExchangeId Id) = 0;
};

struct AsyncServerSettings {
  std::string Ip = "127.0.0.1";
  /// 0 lets the system choose a port.
  std::uint16_t Port = 0;
  unsigned MaxConnections = 1000;
};

/// Limits on what callers send; they may change while the server runs.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  base::Duration IdleTimeout = std::chrono::seconds(120);
};

/// An HTTP/1.1 server on an event loop. Requests that a caller sends behind one
/// another are handed out as they arrive, and answered in their order; so each
/// request's time runs from its arrival. (libmicrohttpd reads a request only
/// after the one before has its response.) Malformed requests are answered
/// with 400, and those over the limits with 413 or 431.
class AsyncServer {
public:
  /// Starts to listen; fails with `Internal` if the address can't be bound.
  static base::Result<std::unique_ptr<AsyncServer>>
  start(const AsyncServerSettings &Settings, eventloop::EventLoop &Loop,
        AsyncHandler &Answering);

  /// Closes all connections.
  ~AsyncServer();

  std::uint16_t port() const;

  void setLimits(const CallerLimits &New);

  /// Sends the response. Does nothing if the caller has gone.
  void respond(ExchangeId Id, Response Answer);

  /// Requests that wait for their response.
  std::size_t openExchanges() const;

private:
  struct State;
  explicit AsyncServer(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_ASYNCSERVER_H
