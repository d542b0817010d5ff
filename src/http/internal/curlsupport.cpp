#include "http/internal/curlsupport.h"

#include <algorithm>
#include <charconv>
#include <mutex>

namespace http {

namespace {

/// Body bytes of each response that are accepted even if the budget of the
/// client is used up, so that large bodies don't keep out the others.
constexpr std::size_t kGuaranteedBodyBytes = 256 << 10;

/// Whether the response may hold this many more bytes of a body.
bool reserveBody(ResponseCollector &Collector, std::size_t Bytes) {
  const std::size_t Size = Collector.Response.Body.size() + Bytes;
  if (Size > Collector.MaxBytes)
    return false;
  BodyBudget *Budget = Collector.Budget;
  if (Budget == nullptr)
    return true;
  if (Size > kGuaranteedBodyBytes && Budget->Used + Bytes > Budget->Max)
    return false;
  Budget->Used += Bytes;
  Collector.BudgetedBytes += Bytes;
  return true;
}

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Context) {
  auto &Collector = *static_cast<ResponseCollector *>(Context);
  const std::size_t Bytes = Size * Count;
  if (!reserveBody(Collector, Bytes)) {
    Collector.TooLarge = true;
    return 0;
  }
  Collector.Response.Body.append(Data, Bytes);
  return Bytes;
}

constexpr std::uint16_t kFirstFinalStatus = 200;
/// Upper bound of all header lines of a response, in bytes. Less than the 64
/// KiB that `AsyncServer` can write in one header.
constexpr std::size_t kMaxHeaderBytes = 60 << 10;

/// Status in a status line, such as `HTTP/1.1 200 OK`; 0 if there is none.
std::uint16_t statusIn(std::string_view Line) {
  const std::size_t Space = Line.find(' ');
  std::uint16_t Status = 0;
  if (Space != std::string_view::npos)
    std::from_chars(Line.data() + Space + 1, Line.data() + Line.size(), Status);
  return Status;
}

/// Called at the end of the headers of a response.
void onHeadersComplete(ResponseCollector &Collector) {
  if (Collector.AllowReuse && !Collector.AllowReuse(Collector.Response))
    curl_easy_setopt(Collector.Handle, CURLOPT_FORBID_REUSE, 1L);
  if (Collector.Response.Status < kFirstFinalStatus)
    return;
  Collector.HeadersComplete = true;
  if (Collector.OnHeaders)
    Collector.OnHeaders(Collector.Response);
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Context) {
  auto &Collector = *static_cast<ResponseCollector *>(Context);
  const std::string_view Line(Data, Size * Count);
  Collector.HeaderBytes += Line.size();
  if (Collector.HeaderBytes > kMaxHeaderBytes) {
    Collector.TooLarge = true;
    return 0;
  }
  // What follows are trailers. They must not replace missing headers.
  if (Collector.HeadersComplete)
    return Line.size();
  // Each status line starts a new set of headers; those of an interim (1xx)
  // response are dropped.
  if (Line.starts_with("HTTP/")) {
    Collector.Response.Headers.clear();
    Collector.Response.Status = statusIn(Line);
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos) {
    if (Line == "\r\n" || Line == "\n")
      onHeadersComplete(Collector);
    return Line.size();
  }
  std::string_view Value = Line.substr(Colon + 1);
  Value.remove_prefix(std::min(Value.find_first_not_of(" \t"), Value.size()));
  Value = Value.substr(0, Value.find_last_not_of(" \t\r\n") + 1);
  Collector.Response.Headers.push_back(
      {std::string(Line.substr(0, Colon)), std::string(Value)});
  return Line.size();
}

/// At least 1, because 0 means no timeout to libcurl.
long milliseconds(base::Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  return std::max<long>(1, static_cast<long>(Count));
}

} // namespace

ResponseCollector::~ResponseCollector() {
  if (Budget != nullptr)
    Budget->Used -= BudgetedBytes;
}

void initializeCurl() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

void collectResponse(CURL *Handle, ResponseCollector &Collector) {
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Collector);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Collector);
}

void applyMethod(CURL *Handle, const Request &Message) {
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Message.Method.c_str());
  if (Message.Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  if (Message.Body.empty() &&
      (Message.Method == "GET" || Message.Method == "HEAD"))
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Message.Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Message.Body.data());
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

curl_slist *makeHeaderList(const Request &Message) {
  // An entry without a value stops libcurl from adding its own header.
  curl_slist *HeaderList = curl_slist_append(nullptr, "Expect:");
  if (!findHeader(Message.Headers, "content-type"))
    HeaderList = curl_slist_append(HeaderList, "Content-Type:");
  if (!findHeader(Message.Headers, "accept"))
    HeaderList = curl_slist_append(HeaderList, "Accept:");
  for (const Header &Each : Message.Headers) {
    const std::string Line =
        Each.Value.empty() ? Each.Name + ";" : Each.Name + ": " + Each.Value;
    HeaderList = curl_slist_append(HeaderList, Line.c_str());
  }
  return HeaderList;
}

ExchangeStatus statusForCode(CURLcode Code) {
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

ExchangeResult makeResult(CURL *Handle, CURLcode Code,
                          ResponseCollector &Collector) {
  ExchangeResult Result;
  Result.Status = statusForCode(Code);
  if (Code != CURLE_OK)
    Result.Detail =
        Collector.TooLarge ? "response too large" : curl_easy_strerror(Code);
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  long Connects = 0;
  curl_easy_getinfo(Handle, CURLINFO_NUM_CONNECTS, &Connects);
  Result.NewConnection = Connects > 0;
  Result.Response = std::move(Collector.Response);
  Result.Response.Status = static_cast<std::uint16_t>(Status);
  return Result;
}

} // namespace http
