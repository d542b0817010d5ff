#include "node/backendcall.h"

#include "http/client.h"

#include <utility>

namespace node {

namespace {

constexpr std::uint16_t kServiceUnavailable = 503;

constexpr const char *kLengthHeader = "Content-Length";

/// Headers of the response that go back to the caller. Each hop states the
/// length of a body that it sends; the length in a response without a body
/// describes the resource, so it is kept.
std::vector<execution::Header>
forwardableHeaders(const http::Response &Received) {
  std::vector<execution::Header> Result;
  for (const http::Header &Each : Received.Headers)
    if (!http::isHopByHopHeader(Each.Name))
      Result.push_back({Each.Name, Each.Value});
  if (Received.Framing == http::BodyFraming::NoBody)
    if (auto Length = http::findSingularHeader(Received.Headers, kLengthHeader))
      Result.push_back({kLengthHeader, std::move(*Length)});
  return Result;
}

execution::Response responseOf(const http::ExchangeResult &Result) {
  using http::ExchangeStatus;
  switch (Result.Status) {
  case ExchangeStatus::Completed: {
    execution::Response Response;
    Response.Outcome = base::Outcome::Ran;
    Response.Status = Result.Response.Status;
    Response.Headers = forwardableHeaders(Result.Response);
    Response.Body = Result.Response.Body;
    Response.EndedByClose =
        Result.Response.Framing == http::BodyFraming::UntilClose;
    return Response;
  }
  case ExchangeStatus::NotSent:
    return execution::errorResponse(base::ErrorKind::NoUpstream,
                                    base::Outcome::NotRun);
  case ExchangeStatus::TimedOut:
    return execution::errorResponse(base::ErrorKind::DeadlineExceeded,
                                    base::Outcome::Unknown);
  case ExchangeStatus::Cancelled:
    return execution::errorResponse(base::ErrorKind::Cancelled,
                                    base::Outcome::Unknown);
  case ExchangeStatus::Broken:
    break;
  }
  return execution::errorResponse(base::ErrorKind::OutcomeUnknown,
                                  base::Outcome::Unknown);
}

overload::CompletionStatus
completionStatusOf(const http::ExchangeResult &Result) {
  if (Result.Status == http::ExchangeStatus::Cancelled)
    return overload::CompletionStatus::Cancelled;
  const bool Refused = Result.Response.Status == kServiceUnavailable;
  return Result.Status == http::ExchangeStatus::Completed && !Refused
             ? overload::CompletionStatus::Responded
             : overload::CompletionStatus::Failed;
}

} // namespace

BackendResult callBackend(const BackendCall &Call) {
  thread_local http::Client Client;
  http::Request Outgoing = *Call.Request;
  Outgoing.Headers.push_back(
      {"Jackdaw-Handle", base::toHex(Call.Handle.Bytes)});
  http::ExchangeOptions Options;
  Options.Timeout = Call.TimeLeft;
  Options.FreshConnection = !Call.Idempotent;
  Options.Cancel = Call.Cancel;
  const auto Result = Client.exchange(
      "http://127.0.0.1:" + std::to_string(Call.Port), Outgoing, Options);
  return {responseOf(Result), completionStatusOf(Result)};
}

} // namespace node
