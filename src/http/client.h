#ifndef JACKDAW_HTTP_CLIENT_H
#define JACKDAW_HTTP_CLIENT_H

#include "base/clock.h"
#include "http/message.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace http {

/// What became of an exchange.
enum class ExchangeStatus {
  Completed,
  /// No connection came about, so no byte of the request was sent.
  NotSent,
  /// The request may have reached the server, but no whole response arrived.
  Broken,
  TimedOut,
  Cancelled,
};

struct ExchangeResult {
  ExchangeStatus Status = ExchangeStatus::NotSent;
  Response Received;
  /// Description of a failure for logs.
  std::string Detail;
};

struct ExchangeOptions {
  base::Duration Timeout = std::chrono::seconds(10);
  base::Duration ConnectTimeout = std::chrono::seconds(1);
  std::size_t MaxResponseBytes = 16 << 20;
  /// Opens a new connection. libcurl sends a request again when a kept
  /// connection closes before the response; a request that is not idempotent
  /// must therefore never go over a kept connection.
  bool FreshConnection = false;
  /// The exchange ends with `Cancelled` soon after this becomes true. May be
  /// null.
  const std::atomic<bool> *Cancel = nullptr;
};

/// An HTTP/1.1 client over one libcurl handle, which keeps its connection.
/// Not safe to use from two threads at once.
class Client {
public:
  Client();
  ~Client();

  /// Sends `Sent` to `BaseUrl` (scheme, host and port) and waits.
  ExchangeResult exchange(const std::string &BaseUrl, const Request &Sent,
                          const ExchangeOptions &Options);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_CLIENT_H
