#ifndef JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H
#define JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace platformlog {

/// Outcome of one HTTP exchange.
struct HttpReply {
  /// False if no complete response arrived; `Detail` says why.
  bool Complete = false;
  /// Whether any byte of the request may have been sent.
  bool Sent = false;
  /// The response exceeded the limit.
  bool TooLarge = false;
  long Status = 0;
  std::string Body;
  std::string Detail;
};

struct HttpCall {
  std::string Url;
  /// Body of a POST; null for a GET.
  const std::string *Body = nullptr;
  std::chrono::milliseconds Timeout{0};
  std::chrono::milliseconds ConnectTimeout{0};
  std::size_t MaxResponseBytes = 0;
};

/// A libcurl handle with at most one open connection. Not safe for use from
/// several threads at once.
class HttpConnection {
public:
  /// `Reuse` keeps the connection open after a complete exchange.
  explicit HttpConnection(bool Reuse) : Reuse(Reuse) {}

  HttpReply run(const HttpCall &Call);

  /// Closes the connection, since one that has failed once may stay silent.
  void drop() { Handle.reset(); }

private:
  struct Closer {
    void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
  };

  void prepare(const HttpCall &Call);

  const bool Reuse;
  std::unique_ptr<CURL, Closer> Handle;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_INTERNAL_HTTPCALL_H
