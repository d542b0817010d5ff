#include "http/internal/curlsupport.h"

#include "http/internal/connectionsockets.h"
#include "http/internal/responsehead.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <optional>
#include <utility>

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
  const std::size_t UsedBefore = Budget->Used.fetch_add(Bytes);
  if (Size > kGuaranteedBodyBytes && UsedBefore + Bytes > Budget->Max) {
    Budget->Used -= Bytes;
    return false;
  }
  Collector.BudgetedBytes += Bytes;
  Collector.Charge.resize(Collector.BudgetedBytes);
  return true;
}

/// Reverses `reserveBody`.
void releaseBody(ResponseCollector &Collector, std::size_t Bytes) {
  if (Collector.Budget == nullptr)
    return;
  Collector.Budget->Used -= Bytes;
  Collector.BudgetedBytes -= Bytes;
  Collector.Charge.resize(Collector.BudgetedBytes);
}

/// Whether the body has its stated length.
bool hasStatedLength(const ResponseCollector &Collector) {
  return Collector.StatedLength == Collector.Response.Body.size();
}

/// What has arrived on the connection behind a body with its stated length.
enum class BytesBehind {
  None,
  /// A part of what may become the beginning of another response.
  PartOfResponse,
  /// The beginning of another response, so the body ends where it should.
  Response,
  /// Bytes that belong to no response. Some of them may be in the body.
  Other,
};

BytesBehind bytesBehind(const ResponseCollector &Collector) {
  std::string Behind = Collector.FirstBehind;
  if (Behind.size() < kStatusLineStartBytes)
    Behind +=
        peekInput(Collector.Socket, kStatusLineStartBytes - Behind.size());
  if (Behind.empty())
    return BytesBehind::None;
  if (isPartOfStatusLineStart(Behind))
    return BytesBehind::PartOfResponse;
  return statusLineStart(Behind) > 0 ? BytesBehind::Response
                                     : BytesBehind::Other;
}

/// A body is searched again when it has grown by this, and when it is complete.
constexpr std::size_t kSearchStepBytes = std::size_t{1} << 10;
/// A server may have broken off a response if it then sends nothing for this
/// long. One that is slow does so too.
constexpr base::Duration kBodyPause = std::chrono::milliseconds(20);

constexpr const char *kBeginsAgainInBody =
    "the response begins again within its body";
constexpr const char *kOverrun =
    "bytes that belong to no response follow the stated length of the body";

enum class BodyCheck { Accept, Wait, Reject };

/// Sets why the response is rejected.
BodyCheck reject(ResponseCollector &Collector, ResponseEnd End,
                 const char *Problem) {
  Collector.RejectedAs = End;
  Collector.Problem = Problem;
  return BodyCheck::Reject;
}

/// Determines whether a body with its stated length belongs to one response.
/// `MayHoldOther` tells that bytes of another one may be in it.
BodyCheck checkWholeBody(ResponseCollector &Collector, bool MayHoldOther) {
  const BytesBehind Behind = bytesBehind(Collector);
  if (MayHoldOther && Behind != BytesBehind::None)
    return reject(Collector, ResponseEnd::BeganAgain, kBeginsAgainInBody);
  if (Behind == BytesBehind::Other)
    return reject(Collector, ResponseEnd::Overrun, kOverrun);
  const bool MoreMayTell =
      Behind == BytesBehind::PartOfResponse ||
      (Behind == BytesBehind::None && (MayHoldOther || Collector.PausedInBody));
  return MoreMayTell && !std::exchange(Collector.HasWaited, true)
             ? BodyCheck::Wait
             : BodyCheck::Accept;
}

/// Determines whether the body received so far may belong to one response.
BodyCheck checkBody(ResponseCollector &Collector) {
  using Result = RepeatedHeadSearch::Result;
  const bool HasLength = hasStatedLength(Collector);
  const std::size_t Size = Collector.Response.Body.size();
  Result Found = Result::None;
  if (Collector.RepeatedHead &&
      (HasLength || Size >= Collector.SearchedBytes + kSearchStepBytes)) {
    Collector.SearchedBytes = Size;
    Found = Collector.RepeatedHead->search(Collector.Response.Body);
  }
  if (Found == Result::Found)
    return reject(Collector, ResponseEnd::BeganAgain, kBeginsAgainInBody);
  return HasLength ? checkWholeBody(Collector, Found != Result::None)
                   : BodyCheck::Accept;
}

/// Notes whether the server paused before the bytes that have just arrived.
void notePause(ResponseCollector &Collector) {
  const base::BootTime Now = Collector.Clock.now();
  Collector.PausedInBody = Now - Collector.LastBytesAt >= kBodyPause;
  Collector.LastBytesAt = Now;
}

/// Whether another copy of the response begins within the whole body, in bytes
/// that were not searched when they arrived.
bool containsHeadOfOwnResponse(ResponseCollector &Collector) {
  const std::string &Body = Collector.Response.Body;
  return Collector.RepeatedHead && Body.size() > Collector.SearchedBytes &&
         Collector.RepeatedHead->search(Body) ==
             RepeatedHeadSearch::Result::Found;
}

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Context) {
  auto &Collector = *static_cast<ResponseCollector *>(Context);
  const std::size_t Bytes = Size * Count;
  if (Collector.Problem != nullptr)
    return 0;
  if (!reserveBody(Collector, Bytes)) {
    Collector.Problem = "response too large";
    return 0;
  }
  if (!Collector.HasWaited)
    notePause(Collector);
  std::string &Body = Collector.Response.Body;
  // Growing step by step would take up to three times the size.
  if (Body.empty() && Collector.StatedLength &&
      *Collector.StatedLength <= Collector.MaxBytes)
    Body.reserve(*Collector.StatedLength);
  Body.append(Data, Bytes);
  BodyCheck Check = checkBody(Collector);
  if (Check == BodyCheck::Wait && !Collector.OnPaused) {
    waitForInput(Collector.Socket, kBytesBehindWait);
    Check = checkBody(Collector);
  }
  if (Check == BodyCheck::Wait) {
    // libcurl passes the same bytes again when the transfer is resumed.
    Body.resize(Body.size() - Bytes);
    releaseBody(Collector, Bytes);
    Collector.OnPaused();
    return CURL_WRITEFUNC_PAUSE;
  }
  return Check == BodyCheck::Accept ? Bytes : 0;
}

/// Called with the bytes of a body as they arrive, before libcurl removes the
/// framing. It drops those behind the stated length.
void onFramedBody(ResponseCollector &Collector, std::string_view Bytes) {
  if (Collector.Response.Framing == BodyFraming::Chunked &&
      !Collector.Chunks.accept(Bytes))
    Collector.Problem = "malformed chunk";
  if (!Collector.StatedLength)
    return;
  const std::size_t Missing =
      *Collector.StatedLength - Collector.Response.Body.size();
  if (Bytes.size() > Missing)
    Collector.FirstBehind += Bytes.substr(
        Missing, kStatusLineStartBytes - Collector.FirstBehind.size());
}

int onDebug(CURL *, curl_infotype Type, char *Data, std::size_t Size,
            void *Context) {
  if (Type == CURLINFO_DATA_IN)
    onFramedBody(*static_cast<ResponseCollector *>(Context), {Data, Size});
  return 0;
}

constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
/// Upper bound of all header lines of a response, in bytes. Less than the 64
/// KiB that `AsyncServer` can write in one header.
constexpr std::size_t kMaxHeaderBytes = 60 << 10;

/// The value of a Content-Length header, if it is a number of bytes that
/// libcurl reads as such. It takes what it can of other values.
std::optional<std::size_t> parseLength(std::string_view Value) {
  curl_off_t Bytes = 0;
  const auto Read =
      std::from_chars(Value.data(), Value.data() + Value.size(), Bytes);
  if (Read.ec != std::errc() || Bytes < 0 ||
      Read.ptr != Value.data() + Value.size())
    return std::nullopt;
  return static_cast<std::size_t>(Bytes);
}

/// Whether the headers state one length of the body at most.
bool hasSingleLength(const std::vector<Header> &Headers) {
  std::optional<std::string> Length;
  for (const Header &Each : Headers) {
    if (!sameHeaderName(Each.Name, "content-length"))
      continue;
    if (!parseLength(Each.Value) || (Length && *Length != Each.Value))
      return false;
    Length = Each.Value;
  }
  return !Length || !findHeader(Headers, "transfer-encoding");
}

/// How the body after these headers ends.
BodyFraming framingOf(const http::Response &Received, bool ToHead) {
  const std::uint16_t Status = Received.Status;
  if (ToHead || Status < kFirstFinalStatus || Status == kNoContent ||
      Status == kNotModified)
    return BodyFraming::NoBody;
  if (const auto Codings = findHeader(Received.Headers, "transfer-encoding"))
    return headerListContains(*Codings, "chunked") ? BodyFraming::Chunked
                                                   : BodyFraming::UntilClose;
  return findHeader(Received.Headers, "content-length")
             ? BodyFraming::Length
             : BodyFraming::UntilClose;
}

/// Called at the end of the headers of a response. Returns the problem if they
/// are malformed, or null.
const char *onHeadersComplete(ResponseCollector &Collector) {
  if (!hasSingleLength(Collector.Response.Headers))
    return "no length, or several, where the headers state one";
  Collector.Response.Framing = framingOf(Collector.Response, Collector.ToHead);
  if (Collector.Response.Framing == BodyFraming::Length)
    Collector.StatedLength = parseLength(
        findHeader(Collector.Response.Headers, "content-length").value());
  Collector.LastBytesAt = Collector.Clock.now();
  if (Collector.AllowReuse && !Collector.AllowReuse(Collector.Response))
    curl_easy_setopt(Collector.Handle, CURLOPT_FORBID_REUSE, 1L);
  if (Collector.Response.Status < kFirstFinalStatus) {
    Collector.InHeaders = false;
    return nullptr;
  }
  Collector.HeadersComplete = true;
  if (Collector.OnHeaders)
    Collector.OnHeaders(Collector.Response);
  return nullptr;
}

/// Called for each line from the status line to the empty one. Returns the
/// problem if the response is malformed, or null.
const char *onHeaderLine(ResponseCollector &Collector, std::string_view Line) {
  // Each status line starts a new set of headers; those of an interim (1xx)
  // response are dropped.
  if (!Collector.InHeaders) {
    Collector.InHeaders = true;
    Collector.Response.Headers.clear();
    Collector.Response.Status = statusIn(Line);
    return Collector.Response.Status == 0 ? "malformed status line" : nullptr;
  }
  if (Line.empty())
    return onHeadersComplete(Collector);
  auto Parsed = parseHeader(Line);
  if (!Parsed)
    return "malformed header line";
  Collector.Response.Headers.push_back(std::move(*Parsed));
  return nullptr;
}

std::string_view withoutLineEnd(std::string_view Line) {
  return Line.substr(0, Line.find_last_not_of("\r\n") + 1);
}

/// Whether a line behind the last chunk may stand there.
bool isTrailer(std::string_view Line) {
  const std::string_view Text = withoutLineEnd(Line);
  return Text.empty() || parseHeader(Text);
}

/// Whether a trailer names the request: it is a line of another head.
bool namesRequest(const ResponseCollector &Collector, std::string_view Line) {
  const auto Parsed = parseHeader(withoutLineEnd(Line));
  return Parsed && Collector.RepeatedHead &&
         Collector.RepeatedHead->names(*Parsed);
}

/// Aborts the transfer by returning 0.
std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Context) {
  auto &Collector = *static_cast<ResponseCollector *>(Context);
  std::string_view Line(Data, Size * Count);
  const std::size_t Length = Line.size();
  if (Collector.Problem != nullptr)
    return 0;
  Collector.HeaderBytes += Length;
  if (Collector.HeaderBytes > kMaxHeaderBytes) {
    Collector.Problem = "response too large";
    return 0;
  }
  // What follows are trailers. They must not replace missing headers.
  if (Collector.HeadersComplete) {
    if (!isTrailer(Line)) {
      Collector.Problem = "malformed trailer";
      return 0;
    }
    if (!namesRequest(Collector, Line))
      return Length;
    reject(Collector, ResponseEnd::BeganAgain,
           "the response begins again within its trailers");
    return 0;
  }
  if (!Line.ends_with('\n')) {
    Collector.Problem = "header line without an end";
    return 0;
  }
  Line.remove_suffix(Line.ends_with("\r\n") ? 2 : 1);
  if (const char *Problem = onHeaderLine(Collector, Line)) {
    Collector.Problem = Problem;
    return 0;
  }
  return Length;
}

/// Rounded up, so that a timeout doesn't end before the deadline that it stands
/// for. At least 1, because 0 means no timeout to libcurl.
long milliseconds(base::Duration Value) {
  const auto Count =
      std::chrono::ceil<std::chrono::milliseconds>(Value).count();
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
  // Only the debug function sees the bytes that libcurl drops.
  curl_easy_setopt(Handle, CURLOPT_DEBUGFUNCTION, &onDebug);
  curl_easy_setopt(Handle, CURLOPT_DEBUGDATA, &Collector);
  curl_easy_setopt(Handle, CURLOPT_VERBOSE, 1L);
}

void applyMethod(CURL *Handle, const Request &Message) {
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Message.Method.c_str());
  if (Message.Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  const std::string &Body = Message.body();
  if (Body.empty() && (Message.Method == "GET" || Message.Method == "HEAD"))
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  // libcurl doesn't copy it.
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body.data());
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

std::string_view responseEndName(ResponseEnd End) {
  switch (End) {
  case ResponseEnd::Complete:
    return "complete";
  case ResponseEnd::Closed:
    return "closed";
  case ResponseEnd::Failed:
    return "failed";
  case ResponseEnd::BeganAgain:
    return "began_again";
  case ResponseEnd::Overrun:
    return "overrun";
  case ResponseEnd::GivenUp:
    break;
  }
  return "given_up";
}

ResponseEnd responseEndFor(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return ResponseEnd::Complete;
  case CURLE_PARTIAL_FILE:
  case CURLE_GOT_NOTHING:
    return ResponseEnd::Closed;
  case CURLE_SEND_ERROR:
  case CURLE_RECV_ERROR:
    return ResponseEnd::Failed;
  default:
    return ResponseEnd::GivenUp;
  }
}

ExchangeResult makeResult(CURL *Handle, CURLcode Code,
                          ResponseCollector &Collector) {
  ExchangeResult Result;
  Result.Status = statusForCode(Code);
  Result.End = responseEndFor(Code);
  if (Code != CURLE_OK)
    Result.Detail = curl_easy_strerror(Code);
  // libcurl reports success if the connection ends within the headers.
  if (Code == CURLE_OK && !Collector.HeadersComplete) {
    Result.Status = ExchangeStatus::Broken;
    Result.End = ResponseEnd::Closed;
    Result.Detail = "the connection ended within the headers of the response";
  }
  // A problem may be found where libcurl can't be told of a failure.
  if (Collector.Problem != nullptr) {
    Result.Status = ExchangeStatus::Broken;
    Result.End = Collector.RejectedAs.value_or(ResponseEnd::GivenUp);
    Result.Detail = Collector.Problem;
  }
  if (Result.Status == ExchangeStatus::Completed &&
      containsHeadOfOwnResponse(Collector)) {
    Result.Status = ExchangeStatus::Broken;
    Result.End = ResponseEnd::BeganAgain;
    Result.Detail = kBeginsAgainInBody;
  }
  long Connects = 0;
  curl_easy_getinfo(Handle, CURLINFO_NUM_CONNECTS, &Connects);
  Result.NewConnection = Connects > 0;
  Result.Response = std::move(Collector.Response);
  return Result;
}

} // namespace http
