#ifndef JACKDAW_HTTP_ASYNCCLIENT_H
#define JACKDAW_HTTP_ASYNCCLIENT_H

#include "base/memorybudget.h"
#include "eventloop/eventloop.h"
#include "http/client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace http {

/// Identifies a transfer: one request and its response.
using TransferId = base::StrongNumber<struct TransferTag>;

struct TransferOptions {
  base::Duration Timeout = std::chrono::seconds(10);
  base::Duration ConnectTimeout = std::chrono::seconds(1);
  std::size_t MaxResponseBytes = std::size_t{64} << 20;
  /// A pooled connection that has been idle for longer is not reused.
  /// Rounded down to whole seconds, at least 1.
  base::Duration MaxIdleTime = std::chrono::seconds(4);
  /// The header by which the response names the request, with its value. A
  /// response in whose body another one with this header begins was cut, and
  /// was sent again from its start: the transfer completes with `Broken`. So
  /// does one in whose body any response begins, if bytes have arrived behind
  /// the stated length. If the value is empty, the body isn't searched.
  Header Identity;
  /// Called with the response headers; may be empty. If it returns false, the
  /// connection is not reused, because its responses no longer match the
  /// requests.
  std::function<bool(const Response &Message)> AllowReuse;
  /// Called with the status and headers of the final response before its body
  /// is read, and not called if the transfer fails before that; may be empty.
  /// Must not start or cancel transfers.
  std::function<void(const Response &Message)> OnHeaders;
  /// Called with the connection on which the request is about to be sent; may
  /// be empty. If it returns false for a pooled one, that one is closed and
  /// another one is used, a new one in the end. Must not start or cancel
  /// transfers.
  std::function<bool(ConnectionNumber Connection)> AcceptConnection;
  /// The request has no effect, so it may be sent twice: if a pooled connection
  /// ends after the request was sent and before anything of the response has
  /// arrived, the request is sent once more, on a new connection. `Timeout`
  /// covers both.
  bool Repeatable = false;
};

struct AsyncClientSettings {
  /// Limit on pooled idle connections to all servers together.
  long MaxIdleConnections = 128;
  /// Limit on the bodies of all responses that are being received. Beyond it, a
  /// transfer whose body is larger than 256 KiB completes with `Broken`.
  std::size_t MaxBodyBytes = std::size_t{64} << 20;
  /// Charged with the bodies of the responses until they have been received.
  /// May be null; must outlive the client.
  base::MemoryBudget *Budget = nullptr;
};

/// An HTTP/1.1 client over libcurl's multi interface on an event loop. A
/// request that isn't `Repeatable` is sent at most once: if a reused connection
/// turns out to be closed by the server after libcurl has started to send the
/// request, the transfer completes with `Broken`. So does one whose response is
/// malformed or ends within its headers.
///
/// A pooled connection on which anything has arrived since its last response is
/// closed instead of reused. Bytes of an earlier response may still arrive
/// while a request is being sent; whether a response belongs to the request is
/// for the caller to check.
class AsyncClient {
public:
  using Callback = std::function<void(ExchangeResult)>;

  explicit AsyncClient(eventloop::EventLoop &Loop,
                       AsyncClientSettings Settings = {});

  /// Cancels all transfers without calling their callbacks.
  ~AsyncClient();

  /// Sends a request to `BaseUrl` (scheme, host and port). `Done` is called
  /// once, from the event loop, unless the transfer is cancelled.
  TransferId start(const std::string &BaseUrl, Request Message,
                   const TransferOptions &Options, Callback Done);

  /// Cancels a transfer and closes its connection. Returns false if the
  /// transfer has already completed.
  bool cancel(TransferId Id);

  /// Number of pooled connections that were closed instead of reused, because
  /// their server had closed them or had sent bytes that belong to no response.
  std::uint64_t rejectedConnections() const;

  /// Number of transfers that have not completed.
  std::size_t activeTransfers() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_ASYNCCLIENT_H
