#include "platformlog/internal/httpcall.h"

#include <mutex>

namespace platformlog {

namespace {

/// Target of the response body.
struct BodySink {
  HttpResult &Result;
  std::size_t Limit;
};

/// Write callback of libcurl. Returns 0 to abort a response above the limit.
std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Target) {
  auto &Sink = *static_cast<BodySink *>(Target);
  const std::size_t Bytes = Size * Count;
  if (Sink.Result.Body.size() + Bytes > Sink.Limit) {
    Sink.Result.TooLarge = true;
    return 0;
  }
  Sink.Result.Body.append(Data, Bytes);
  return Bytes;
}

bool mayHaveBeenSent(CURL *Handle, CURLcode Code) {
  if (Code == CURLE_COULDNT_CONNECT || Code == CURLE_COULDNT_RESOLVE_HOST ||
      Code == CURLE_URL_MALFORMAT || Code == CURLE_UNSUPPORTED_PROTOCOL)
    return false;
  long RequestBytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  return RequestBytes > 0;
}

void initializeCurl() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

void HttpConnection::prepare(const HttpCall &Call) {
  CURL *Curl = Handle.get();
  curl_easy_reset(Curl);
  curl_easy_setopt(Curl, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Curl, CURLOPT_PROXY, "");
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call.Timeout.count()));
  curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Call.ConnectTimeout.count()));
  if (!Reuse) {
    curl_easy_setopt(Curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Curl, CURLOPT_FORBID_REUSE, 1L);
  }
  if (Call.Body) {
    curl_easy_setopt(Curl, CURLOPT_POST, 1L);
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDS, Call.Body->data());
    curl_easy_setopt(Curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body->size()));
  }
}

HttpResult HttpConnection::run(const HttpCall &Call) {
  initializeCurl();
  HttpResult Result;
  if (!Handle)
    Handle.reset(curl_easy_init());
  if (!Handle) {
    Result.Detail = "libcurl failed to create a handle";
    return Result;
  }
  prepare(Call);
  CURL *Curl = Handle.get();
  BodySink Sink{Result, Call.MaxResponseBytes};
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Sink);
  // An empty Expect header avoids the wait for "100 Continue".
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Headers(
      curl_slist_append(nullptr, "Expect:"), curl_slist_free_all);
  Headers.reset(curl_slist_append(Headers.release(),
                                  "Content-Type: application/octet-stream"));
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers.get());
  const CURLcode Code = curl_easy_perform(Curl);
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Result.Status);
  Result.Complete = Code == CURLE_OK;
  Result.MaybeSent = mayHaveBeenSent(Curl, Code);
  if (!Result.Complete)
    Result.Detail = Result.TooLarge ? "the response exceeds the size limit"
                                    : curl_easy_strerror(Code);
  return Result;
}

} // namespace platformlog
