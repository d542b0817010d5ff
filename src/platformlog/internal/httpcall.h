#ifndef JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H
#define JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace platformlog {

/// Result of one HTTP exchange.
struct HttpResult {
  /// Whether a complete response arrived; if not, `Detail` gives the reason.
  bool Complete = false;
  /// Whether any byte of the request may have been sent.
  bool MaybeSent = false;
  /// The response exceeded `HttpCall::MaxResponseBytes`.
  bool TooLarge = false;
  long Status = 0;
  std::string Body;
  std::string Detail;
};

/// One HTTP request and its limits.
struct HttpCall {
  std::string Url;
  /// Body of a POST; null for a GET.
  const std::string *Body = nullptr;
  std::chrono::milliseconds Timeout{0};
  std::chrono::milliseconds ConnectTimeout{0};
  std::size_t MaxResponseBytes = 0;
};

/// A libcurl handle with at most one open connection. Not thread-safe.
class HttpConnection {
public:
  /// `Reuse` keeps the connection open after a complete exchange.
  explicit HttpConnection(bool Reuse) : Reuse(Reuse) {}

  HttpResult run(const HttpCall &Call);

  /// Closes the connection. Reads do so after a failure, because a connection
  /// that has failed once may stay silent; appends do so after every call.
  void close() { Handle.reset(); }

private:
  struct HandleDeleter {
    void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
  };

  void prepare(const HttpCall &Call);

  const bool Reuse;
  std::unique_ptr<CURL, HandleDeleter> Handle;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H
