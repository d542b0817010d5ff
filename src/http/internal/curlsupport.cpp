#include "http/internal/curlsupport.h"

#include <algorithm>
#include <mutex>

namespace http {

namespace {

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Context) {
  auto &Current = *static_cast<Reception *>(Context);
  const std::size_t Bytes = Size * Count;
  if (Current.Received.Body.size() + Bytes > Current.MaxBytes) {
    Current.TooLarge = true;
    return 0;
  }
  Current.Received.Body.append(Data, Bytes);
  return Bytes;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Context) {
  auto &Current = *static_cast<Reception *>(Context);
  const std::string_view Line(Data, Size * Count);
  // A status line starts the headers anew, as after an interim response.
  if (Line.starts_with("HTTP/"))
    Current.Received.Headers.clear();
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos) {
    const bool End = Line == "\r\n" || Line == "\n";
    if (End && Current.Acceptable && !Current.Acceptable(Current.Received))
      curl_easy_setopt(Current.Handle, CURLOPT_FORBID_REUSE, 1L);
    return Line.size();
  }
  std::string_view Value = Line.substr(Colon + 1);
  Value.remove_prefix(std::min(Value.find_first_not_of(" \t"), Value.size()));
  Value = Value.substr(0, Value.find_last_not_of(" \t\r\n") + 1);
  Current.Received.Headers.push_back(
      {std::string(Line.substr(0, Colon)), std::string(Value)});
  return Line.size();
}

long milliseconds(base::Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  return std::max<long>(1, static_cast<long>(Count));
}

} // namespace

void initializeCurl() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

void collectResponse(CURL *Handle, Reception &Target) {
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Target);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Target);
}

void applyMethod(CURL *Handle, const Request &Sent) {
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Sent.Method.c_str());
  if (Sent.Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  if (Sent.Body.empty() && (Sent.Method == "GET" || Sent.Method == "HEAD"))
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Sent.Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Sent.Body.data());
}

void applyCommonOptions(CURL *Handle, base::Duration Timeout,
                        base::Duration ConnectTimeout) {
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, milliseconds(Timeout));
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   milliseconds(ConnectTimeout));
}

curl_slist *makeHeaderList(const Request &Sent) {
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
  return List;
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

ExchangeResult takeResult(CURL *Handle, CURLcode Code, Reception &Target) {
  ExchangeResult Result;
  Result.Status = classify(Code);
  if (Code != CURLE_OK)
    Result.Detail =
        Target.TooLarge ? "response too large" : curl_easy_strerror(Code);
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Result.Received = std::move(Target.Received);
  Result.Received.Status = static_cast<std::uint16_t>(Status);
  return Result;
}

} // namespace http
