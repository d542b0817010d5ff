#include "platformlog/httplogclient.h"

#include "platformlog/internal/httpcall.h"
#include "platformlog/internal/responses.h"

#include <mutex>

namespace platformlog {

namespace {

constexpr long kServiceUnavailable = 503;
constexpr long kContentTooLarge = 413;

bool isSuccess(long Status) { return Status >= 200 && Status < 300; }

/// Whether the status guarantees that the log appended nothing.
bool guaranteesNoAppend(long Status) {
  return (Status >= 400 && Status < 500) || Status == kServiceUnavailable;
}

std::string statusText(long Status) {
  return "the log responded with status " + std::to_string(Status);
}

} // namespace

struct HttpLogClient::Implementation {
  HttpLogSettings Settings;
  std::string RecordsUrl;
  std::mutex AppendMutex;
  HttpConnection AppendConnection{false};
  std::mutex ReadMutex;
  HttpConnection ReadConnection{true};

  base::Result<LogPage> readPage(base::LogOffset From, std::size_t Limit,
                                 std::chrono::milliseconds Wait,
                                 bool &TooLarge);
};

HttpLogClient::HttpLogClient(HttpLogSettings Settings)
    : Impl(std::make_unique<Implementation>()) {
  Impl->Settings = std::move(Settings);
  std::string Url = Impl->Settings.Url;
  while (Url.ends_with('/'))
    Url.pop_back();
  Impl->RecordsUrl = Url + "/streams/" + Impl->Settings.Stream + "/records";
}

HttpLogClient::~HttpLogClient() = default;

base::Result<base::LogOffset> HttpLogClient::append(const std::string &Bytes) {
  if (Bytes.size() > kMaxRecordBytes)
    return fail(LogErrorKind::RecordTooLarge,
                "the record has " + std::to_string(Bytes.size()) +
                    " bytes, more than the log accepts");
  const std::lock_guard Lock(Impl->AppendMutex);
  HttpCall Call;
  Call.Url = Impl->RecordsUrl;
  Call.Body = &Bytes;
  Call.Timeout = Impl->Settings.CallTimeout;
  Call.ConnectTimeout = Impl->Settings.ConnectTimeout;
  Call.MaxResponseBytes = Impl->Settings.MaxResponseBytes;
  const HttpResult Exchange = Impl->AppendConnection.run(Call);
  Impl->AppendConnection.close();
  if (!Exchange.Complete)
    return fail(Exchange.MaybeSent ? LogErrorKind::AppendOutcomeUnknown
                                   : LogErrorKind::Unavailable,
                Exchange.Detail);
  if (Exchange.Status == kContentTooLarge)
    return fail(LogErrorKind::RecordTooLarge, statusText(Exchange.Status));
  if (guaranteesNoAppend(Exchange.Status))
    return fail(LogErrorKind::Unavailable, statusText(Exchange.Status));
  if (!isSuccess(Exchange.Status))
    return fail(LogErrorKind::AppendOutcomeUnknown,
                statusText(Exchange.Status));
  if (const auto Offset = parseAppendResponse(Exchange.Body))
    return *Offset;
  return fail(LogErrorKind::AppendOutcomeUnknown,
              "the response to the append contains no offset");
}

base::Result<LogPage>
HttpLogClient::Implementation::readPage(base::LogOffset From, std::size_t Limit,
                                        std::chrono::milliseconds Wait,
                                        bool &TooLarge) {
  HttpCall Call;
  Call.Url = RecordsUrl + "?from=" + std::to_string(From.value()) +
             "&limit=" + std::to_string(Limit) +
             "&wait_ms=" + std::to_string(Wait.count());
  Call.Timeout = Settings.CallTimeout + Wait;
  Call.ConnectTimeout = Settings.ConnectTimeout;
  Call.MaxResponseBytes = Settings.MaxResponseBytes;
  const HttpResult Exchange = ReadConnection.run(Call);
  TooLarge = Exchange.TooLarge;
  if (Exchange.Complete && isSuccess(Exchange.Status)) {
    std::string Reason;
    auto Page = parseReadResponse(Exchange.Body, From, Limit, Reason);
    if (Page)
      return std::move(*Page);
    ReadConnection.close();
    return fail(LogErrorKind::MalformedResponse, Reason);
  }
  ReadConnection.close();
  if (Exchange.TooLarge)
    return fail(LogErrorKind::MalformedResponse, Exchange.Detail);
  return fail(LogErrorKind::Unavailable, Exchange.Complete
                                             ? statusText(Exchange.Status)
                                             : Exchange.Detail);
}

base::Result<LogPage> HttpLogClient::read(base::LogOffset From,
                                          std::size_t MaxRecords,
                                          std::chrono::milliseconds Wait) {
  const std::lock_guard Lock(Impl->ReadMutex);
  bool TooLarge = false;
  auto Page = Impl->readPage(From, MaxRecords, Wait, TooLarge);
  while (!Page && TooLarge && MaxRecords > 1) {
    MaxRecords /= 2;
    Page = Impl->readPage(From, MaxRecords, Wait, TooLarge);
  }
  return Page;
}

} // namespace platformlog
