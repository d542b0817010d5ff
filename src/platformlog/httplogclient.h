#ifndef JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H
#define JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H

#include "platformlog/logclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace platformlog {

struct HttpLogSettings {
  /// Base URL of the log, as in `http://10.0.0.1:8080`.
  std::string Url;
  /// Name of the stream in the log; all daemons of a fleet use the same.
  std::string Stream = "fleet";
  /// Timeout of a whole call. For a read, the time that it waits for records is
  /// added.
  std::chrono::milliseconds CallTimeout{2000};
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Must hold one record of `kMaxRecordBytes` (4 MiB) in base64.
  std::size_t MaxResponseBytes = std::size_t{16} * 1024 * 1024;
};

/// Client of the platform log over HTTP:
/// `POST /streams/{name}/records` with the record as body returns
/// `{"offset":N}`; `GET /streams/{name}/records?from=N&limit=M&wait_ms=W`
/// returns
/// `{"first":N,"end":N,"records":[{"offset":N,"data":BASE64}]}`, where `first`
/// is the oldest offset that the log retains, `end` is the offset of the newest
/// record and `data` is the record in base64. Status 503 and all 4xx statuses
/// guarantee that nothing was appended.
///
/// Thread-safe: a read and an append may run concurrently; calls of the same
/// kind are serialized. Reads reuse one connection until a call fails. Each
/// append opens a new connection, because libcurl resends a request if a reused
/// connection turns out to be closed, which could append the record twice.
class HttpLogClient final : public LogClient {
public:
  explicit HttpLogClient(HttpLogSettings Settings);
  ~HttpLogClient() override;

  base::Result<base::LogOffset> append(const std::string &Bytes) override;

  /// If a response exceeds `MaxResponseBytes`, reads again with half the number
  /// of records, down to one.
  base::Result<LogPage> read(base::LogOffset From, std::size_t MaxRecords,
                             std::chrono::milliseconds Wait) override;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_HTTPLOGCLIENT_H
