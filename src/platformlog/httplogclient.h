#ifndef JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H
#define JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H

#include "platformlog/logclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace platformlog {

struct HttpLogSettings {
  /// Such as `http://10.0.0.1:8080`.
  std::string Url;
  std::string Stream = "fleet";
  /// Limit of a whole call; a read may take its wait in addition.
  std::chrono::milliseconds CallTimeout{2000};
  std::chrono::milliseconds ConnectTimeout{1000};
  std::size_t MaxResponseBytes = std::size_t{16} * 1024 * 1024;
};

/// The platform log over HTTP:
/// `POST /streams/{name}/records` with the record as body is answered with
/// `{"offset":N}`; `GET /streams/{name}/records?from=N&limit=M&wait_ms=W` with
/// `{"first":N,"end":N,"records":[{"offset":N,"data":BASE64}]}`. Status 503
/// and every 4xx say that nothing was appended.
///
/// Safe for use from several threads: a read and an append run side by side,
/// while calls of the same kind wait for each other. Reads reuse one
/// connection until a call fails. Every append opens its own, since libcurl
/// resends a request when a reused connection turns out to be closed, which
/// could append the record twice.
class HttpLogClient final : public LogClient {
public:
  explicit HttpLogClient(HttpLogSettings Settings);
  ~HttpLogClient() override;

  base::Result<base::LogOffset> append(const std::string &Bytes) override;

  /// A page that exceeds the response limit is asked for again in halves.
  base::Result<ReadResult> read(base::LogOffset From, std::size_t MaxRecords,
                                std::chrono::milliseconds Wait) override;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H
