#include "http/client.h"

#include <curl/curl.h>

#include <mutex>

namespace http {

namespace {

using Clock = std::chrono::steady_clock;

/// State of one exchange that libcurl's callbacks work on.
struct Transfer {
  Response Received;
  const ExchangeOptions *Options = nullptr;
  bool TooLarge = false;
};

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Context) {
  auto &Current = *static_cast<Transfer *>(Context);
  const std::size_t Bytes = Size * Count;
  if (Current.Received.Body.size() + Bytes >
      Current.Options->MaxResponseBytes) {
    Current.TooLarge = true;
    return 0;
  }
  Current.Received.Body.append(Data, Bytes);
  return Bytes;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Context) {
  auto &Current = *static_cast<Transfer *>(Context);
  const std::string_view Line(Data, Size * Count);
  // A status line starts the headers anew, as after an interim response.
  if (Line.starts_with("HTTP/"))
    Current.Received.Headers.clear();
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Line.size();
  std::string_view Value = Line.substr(Colon + 1);
  Value.remove_prefix(std::min(Value.find_first_not_of(" \t"), Value.size()));
  Value = Value.substr(0, Value.find_last_not_of(" \t\r\n") + 1);
  Current.Received.Headers.push_back(
      {std::string(Line.substr(0, Colon)), std::string(Value)});
  return Line.size();
}

int onProgress(void *Context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto &Current = *static_cast<Transfer *>(Context);
  const std::atomic<bool> *Cancel = Current.Options->Cancel;
  return Cancel != nullptr && Cancel->load() ? 1 : 0;
}

long milliseconds(base::Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  return std::max<long>(1, static_cast<long>(Count));
}

ExchangeStatus classify(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return ExchangeStatus::Completed;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
    return ExchangeStatus::NotSent;
  case CURLE_OPERATION_TIMEDOUT:
    return ExchangeStatus::TimedOut;
  case CURLE_ABORTED_BY_CALLBACK:
    return ExchangeStatus::Cancelled;
  default:
    return ExchangeStatus::Broken;
  }
}

} // namespace

struct Client::State {
  CURL *Handle = curl_easy_init();
  ~State() { curl_easy_cleanup(Handle); }

  void applyMethod(const Request &Sent) {
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Sent.Method.c_str());
    if (Sent.Method == "HEAD")
      curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
    if (Sent.Body.empty() && (Sent.Method == "GET" || Sent.Method == "HEAD"))
      return;
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Sent.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Sent.Body.data());
  }

  void applyOptions(const ExchangeOptions &Options) {
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(Handle, CURLOPT_PROXY, "");
    curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, milliseconds(Options.Timeout));
    curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                     milliseconds(Options.ConnectTimeout));
    if (Options.FreshConnection) {
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
    }
  }

  void applyCallbacks(Transfer &Current) {
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Current);
    curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Current);
    if (Current.Options->Cancel == nullptr)
      return;
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, &Current);
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
  }

  /// The timeout also ends an attempt to connect; then nothing was sent. The
  /// number of connections says nothing about an attempt that failed.
  bool nothingSent() {
    curl_off_t TransferMicroseconds = 0;
    curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T,
                      &TransferMicroseconds);
    long RequestBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
    return TransferMicroseconds == 0 && RequestBytes == 0;
  }
};

Client::Client() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  Impl = std::make_unique<State>();
}

Client::~Client() = default;

ExchangeResult Client::exchange(const std::string &BaseUrl, const Request &Sent,
                                const ExchangeOptions &Options) {
  Transfer Current;
  Current.Options = &Options;
  curl_easy_reset(Impl->Handle);
  std::string Url = BaseUrl + Sent.Path;
  if (!Sent.Query.empty())
    Url += "?" + Sent.Query;
  curl_easy_setopt(Impl->Handle, CURLOPT_URL, Url.c_str());
  Impl->applyMethod(Sent);
  Impl->applyOptions(Options);
  Impl->applyCallbacks(Current);

  // Without the empty entries libcurl adds headers of its own.
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  if (!findHeader(Sent.Headers, "content-type"))
    List = curl_slist_append(List, "Content-Type:");
  if (!findHeader(Sent.Headers, "accept"))
    List = curl_slist_append(List, "Accept:");
  for (const Header &Each : Sent.Headers) {
    const std::string Line =
        Each.Value.empty() ? Each.Name + ";" : Each.Name + ": " + Each.Value;
    List = curl_slist_append(List, Line.c_str());
  }
  curl_easy_setopt(Impl->Handle, CURLOPT_HTTPHEADER, List);
  const CURLcode Code = curl_easy_perform(Impl->Handle);
  curl_slist_free_all(List);

  ExchangeResult Result;
  Result.Status = classify(Code);
  if (Result.Status == ExchangeStatus::TimedOut && Impl->nothingSent())
    Result.Status = ExchangeStatus::NotSent;
  if (Code != CURLE_OK)
    Result.Detail =
        Current.TooLarge ? "response too large" : curl_easy_strerror(Code);
  long Status = 0;
  curl_easy_getinfo(Impl->Handle, CURLINFO_RESPONSE_CODE, &Status);
  Result.Received = std::move(Current.Received);
  Result.Received.Status = static_cast<std::uint16_t>(Status);
  return Result;
}

} // namespace http
