#ifndef JACKDAW_HTTP_ASYNCCLIENT_H
#define JACKDAW_HTTP_ASYNCCLIENT_H

#include "eventloop/eventloop.h"
#include "http/client.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace http {

/// One request under way.
using TransferId = base::StrongNumber<struct TransferTag>;

struct TransferOptions {
  base::Duration Timeout = std::chrono::seconds(10);
  base::Duration ConnectTimeout = std::chrono::seconds(1);
  std::size_t MaxResponseBytes = std::size_t{64} << 20;
  /// A kept connection that has been idle for longer is not used again.
  base::Duration MaxIdle = std::chrono::seconds(4);
  /// Asked once the headers are there; if it returns false, the connection is
  /// closed after the response, since what it carries is out of step.
  std::function<bool(const Response &Answer)> Acceptable;
  /// Opens a connection and closes it afterwards.
  bool FreshConnection = false;
};

struct AsyncClientSettings {
  /// Idle connections that are kept for all servers together.
  long KeptConnections = 128;
};

/// An HTTP/1.1 client over libcurl's multi interface on an event loop. A
/// request is sent at most once: if a kept connection turns out to be dead
/// after the request was handed to it, the transfer ends as `Broken`.
class AsyncClient {
public:
  using Callback = std::function<void(ExchangeResult)>;

  explicit AsyncClient(eventloop::EventLoop &Loop,
                       AsyncClientSettings Settings = {});

  /// Ends all transfers without calling back.
  ~AsyncClient();

  /// Sends `Sent` to `BaseUrl` (scheme, host and port). `Done` is called once,
  /// from the loop, unless the transfer is cancelled.
  TransferId start(const std::string &BaseUrl, const Request &Sent,
                   const TransferOptions &Options, Callback Done);

  /// Closes the transfer's connection. Returns false if it has ended.
  bool cancel(TransferId Id);

  std::size_t openTransfers() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_ASYNCCLIENT_H
