#ifndef JACKDAW_HTTP_CLIENT_H
#define JACKDAW_HTTP_CLIENT_H

#include "base/clock.h"
#include "base/types.h"
#include "http/message.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace http {

/// Outcome of an exchange.
enum class ExchangeStatus {
  Completed,
  /// No connection could be opened, so no byte of the request was sent.
  NotSent,
  /// The request may have reached the server, but no complete response arrived.
  Broken,
  TimedOut,
  Cancelled,
};

/// How the receiving of a response ended.
enum class ResponseEnd {
  /// Where its framing says.
  Complete,
  /// The connection was closed before that.
  Closed,
  /// The connection failed before that, for example by a reset.
  Failed,
  /// The client gave up, because the body contains the head of another response
  /// to the same request, or may contain a part of any other response.
  BeganAgain,
  /// The client gave up, because bytes that belong to no response have arrived
  /// behind the stated length of the body, so some may also be in the body. The
  /// status and the headers are those of the response.
  Overrun,
  /// The client gave up: the response is malformed or too large, or the time
  /// was over.
  GivenUp,
};

/// Name for logs and metrics.
std::string_view responseEndName(ResponseEnd End);

/// Identifies a connection of a client; 0 if it can't be told from others.
using ConnectionNumber = base::StrongNumber<struct ConnectionNumberTag>;

struct ExchangeResult {
  ExchangeStatus Status = ExchangeStatus::NotSent;
  /// What was received of the response, also if it is not complete. Its status
  /// is 0 if no status line was received.
  http::Response Response;
  ResponseEnd End = ResponseEnd::GivenUp;
  /// The connection on which the request was sent; 0 for `Client`.
  ConnectionNumber Connection;
  /// Description of a failure for logs; empty on success.
  std::string Detail;
  /// The request was the first one on its connection.
  bool NewConnection = false;
  /// The request was sent a second time; see `TransferOptions::Repeatable`.
  bool Repeated = false;
};

struct ExchangeOptions {
  base::Duration Timeout = std::chrono::seconds(10);
  base::Duration ConnectTimeout = std::chrono::seconds(1);
  std::size_t MaxResponseBytes = 16 << 20;
  /// Uses a new connection and closes it after the response. libcurl repeats a
  /// request when a reused connection closes before the response, so a request
  /// that is not idempotent must never use a reused connection.
  bool FreshConnection = false;
  /// The exchange ends with `Cancelled` soon after this becomes true. May be
  /// null.
  const std::atomic<bool> *Cancel = nullptr;
};

/// A blocking HTTP/1.1 client over one libcurl handle, which reuses its
/// connection. Not thread-safe. If the bodies that all clients of the process
/// are receiving exceed 64 MiB together, an exchange whose body is larger than
/// 256 KiB ends with `Broken`.
class Client {
public:
  Client();
  ~Client();

  /// Sends a request to `BaseUrl` (scheme, host and port) and waits for the
  /// response.
  ExchangeResult exchange(const std::string &BaseUrl, const Request &Message,
                          const ExchangeOptions &Options);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace http

#endif // JACKDAW_HTTP_CLIENT_H
