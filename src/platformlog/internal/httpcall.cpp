#include "platformlog/internal/httpcall.h"

#include <mutex>

namespace platformlog {

namespace {

struct Collector {
  HttpReply &Reply;
  std::size_t Limit;
};

std::size_t collect(char *Data, std::size_t Size, std::size_t Count,
                    void *Target) {
  auto &Into = *static_cast<Collector *>(Target);
  const std::size_t Bytes = Size * Count;
  if (Into.Reply.Body.size() + Bytes > Into.Limit) {
    Into.Reply.TooLarge = true;
    return 0;
  }
  Into.Reply.Body.append(Data, Bytes);
  return Bytes;
}

bool wasSent(CURL *Handle, CURLcode Code) {
  if (Code == CURLE_COULDNT_CONNECT || Code == CURLE_COULDNT_RESOLVE_HOST ||
      Code == CURLE_URL_MALFORMAT || Code == CURLE_UNSUPPORTED_PROTOCOL)
    return false;
  long RequestBytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  return RequestBytes > 0;
}

void initialiseOnce() {
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

HttpReply HttpConnection::run(const HttpCall &Call) {
  initialiseOnce();
  HttpReply Reply;
  if (!Handle)
    Handle.reset(curl_easy_init());
  if (!Handle) {
    Reply.Detail = "libcurl can't make a handle";
    return Reply;
  }
  prepare(Call);
  CURL *Curl = Handle.get();
  Collector Into{Reply, Call.MaxResponseBytes};
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Into);
  // An empty Expect header saves the wait for "100 Continue".
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Headers(
      curl_slist_append(nullptr, "Expect:"), curl_slist_free_all);
  Headers.reset(curl_slist_append(Headers.release(),
                                  "Content-Type: application/octet-stream"));
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers.get());
  const CURLcode Code = curl_easy_perform(Curl);
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Reply.Status);
  Reply.Complete = Code == CURLE_OK;
  Reply.Sent = wasSent(Curl, Code);
  if (!Reply.Complete)
    Reply.Detail = Reply.TooLarge ? "the response exceeds the size limit"
                                  : curl_easy_strerror(Code);
  return Reply;
}

} // namespace platformlog
