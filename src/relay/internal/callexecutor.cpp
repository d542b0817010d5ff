#include "relay/callexecutor.h"

#include "overload/fixedlimit.h"
#include "relay/internal/durations.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Idle time after which a persistent connection is not reused if the backend
/// server states none; common servers close after 5 s or more.
constexpr base::Duration kDefaultMaxIdle = 4s;
/// Upper bound of that idle time if the backend server states one.
constexpr base::Duration kLongestMaxIdle = 60s;
/// The server may close a connection up to this much before the time that it
/// states, since it states whole seconds.
constexpr base::Duration kIdleMargin = 1s;
/// Largest response of the backend server, and the memory for the bodies of all
/// responses that are being received. A response must fit into one frame
/// between daemons (`transport::kMaxFrameBytes`).
constexpr std::size_t kMaxResponseBytes = std::size_t{8} << 20;
constexpr std::size_t kMaxBufferedBytes = std::size_t{32} << 20;
/// The memory budget divided by these: for those responses, and for the ones
/// that are stored.
constexpr std::size_t kBufferedDivisor = 4;
constexpr std::size_t kStoredDivisor = 8;
/// Interval of the work in `tick` that need not be done on each tick.
constexpr base::Duration kMaintenanceInterval = 1s;
/// Upper bound of the queue time, in case the entry daemon, which normally
/// bounds it, allows more.
constexpr base::Duration kMaxQueueTime = 10s;
constexpr std::size_t kQueueLength = 512;
/// A call that waits for a slot longer than this counts as congested. The value
/// exceeds the time between two requests of a server that is not overloaded, so
/// the short waits at such a server don't count.
constexpr base::Duration kCongestedQueueTime = 20ms;
constexpr std::uint16_t kMisdirectedRequest = 421;
constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;
constexpr std::uint16_t kFirstServerError = 500;
/// A backend server that has called another one within this time counts as a
/// caller.
constexpr base::Duration kCallerMemory = 10s;
constexpr double kPercent = 100;

bool isSuccess(std::uint16_t Status) {
  return Status >= kFirstSuccess && Status < kFirstRedirect;
}

/// Idle time in a `Keep-Alive: timeout=SECONDS` header.
std::optional<base::Duration> statedIdleTime(const http::Response &Received) {
  const auto Value = http::findHeader(Received.Headers, "keep-alive");
  if (!Value)
    return std::nullopt;
  const std::size_t At = Value->find("timeout=");
  if (At == std::string::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const char *First = Value->data() + At + 8;
  if (std::from_chars(First, Value->data() + Value->size(), Seconds).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Limit on the bodies of responses: a part of the memory budget, if there is
/// one, but enough for one response.
std::size_t responseBytes(const base::MemoryBudget *Budget, std::size_t Divisor,
                          std::size_t Max) {
  if (Budget == nullptr)
    return Max;
  return std::clamp(Budget->maxBytes() / Divisor, kMaxResponseBytes, Max);
}

http::AsyncClientSettings clientSettings(base::MemoryBudget *Budget) {
  http::AsyncClientSettings Result;
  Result.Budget = Budget;
  Result.MaxBodyBytes =
      responseBytes(Budget, kBufferedDivisor, kMaxBufferedBytes);
  return Result;
}

/// The stored responses are not charged to the budget.
execution::ExecutionLimits executionLimits(const base::MemoryBudget *Budget) {
  execution::ExecutionLimits Result;
  Result.ResponseBytes =
      responseBytes(Budget, kStoredDivisor, Result.ResponseBytes);
  return Result;
}

std::vector<execution::Header>
forwardableHeaders(const std::vector<http::Header> &Headers) {
  std::vector<execution::Header> Result;
  for (const http::Header &Each : Headers)
    if (!http::isHopByHopHeader(Each.Name))
      Result.push_back({Each.Name, Each.Value});
  return Result;
}

/// A response to be stored and sent.
struct ResponseParts {
  execution::ResponsePtr Whole;
  /// The same, without its body if that is large.
  execution::Response Sent;
  /// A part of `Whole`; null if the body isn't large.
  std::shared_ptr<const std::string> LargeBody;
};

ResponseParts shareLargeBody(execution::Response Result) {
  ResponseParts Parts;
  if (Result.Body.size() <= http::kLargeBodyBytes) {
    Parts.Sent = Result;
    Parts.Whole =
        std::make_shared<const execution::Response>(std::move(Result));
    return Parts;
  }
  std::string Body = std::move(Result.Body);
  Result.Body = std::string();
  Parts.Sent = Result;
  Result.Body = std::move(Body);
  Parts.Whole = std::make_shared<const execution::Response>(std::move(Result));
  Parts.LargeBody = {Parts.Whole, &Parts.Whole->Body};
  return Parts;
}

} // namespace

CallExecutor::CallExecutor(ExecutorSettings Settings,
                           eventloop::EventLoop &Loop,
                           base::MetricsRegistry &Metrics, StructuredLog &Log,
                           transport::PeerTransport &Peers,
                           CallCorrelator &Correlator,
                           const LocalServerState &InitialState)
    : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
      Peers(Peers), Correlator(Correlator),
      Client(Loop, clientSettings(this->Settings.Budget)), Server(InitialState),
      LoadMonitor(Loop.clock(), Metrics, Log),
      Executions(Loop.clock(), this->Settings.Self,
                 executionLimits(this->Settings.Budget)),
      Sent(Loop.clock()), Queue(Loop.clock(), {kQueueLength, kMaxQueueTime}),
      RateLimit(Loop.clock()), Notices(Peers),
      Limit(std::make_unique<overload::FixedLimit>(
          InitialState.latestReport() != nullptr
              ? InitialState.latestReport()->Slots
              : 1)),
      Failures(Loop.clock()), MaxIdleTime(kDefaultMaxIdle) {
  if (Server.latestReport() != nullptr)
    logServer();
}

void CallExecutor::logServer() const {
  const ServerReport &Current = *Server.latestReport();
  Log.state("server_changed", {{"server", Current.Server.Id},
                               {"born", Current.Server.StartTimeMillis},
                               {"sequence", Current.Sequence},
                               {"slots", Current.Slots},
                               {"available", Server.available()}});
}

ReportResult CallExecutor::onServerReport(const ServerReport &Received) {
  const ServerReport *Latest = Server.latestReport();
  const ServerIncarnation Before =
      Latest != nullptr ? Latest->Server : ServerIncarnation();
  const ReportResult Result = Server.apply(Received);
  if (Result == ReportResult::Undecided)
    Log.state("server_report_undecided",
              {{"server", Received.Server.Id},
               {"born", Received.Server.StartTimeMillis},
               {"sequence", Received.Sequence},
               {"current", Before.Id},
               {"current_born", Before.StartTimeMillis}});
  if (Result != ReportResult::Changed)
    return Result;
  if (!Server.isCurrent(Before)) {
    RateLimit.reset();
    Failures.reset();
  }
  logServer();
  replaceLimit(Server.latestReport()->Slots);
  if (Server.available())
    startQueuedCalls();
  else
    refuseQueued(RefusalReason::ServerLeft);
  return Result;
}

bool CallExecutor::onServerLeaving(const std::string &Id) {
  if (!Server.markLeaving(Id)) {
    Log.state("server_deregistered", {{"server", Id}, {"current", false}});
    return false;
  }
  stopUsingServer("deregistered");
  return true;
}

void CallExecutor::onStatedShutdown(const ServerIncarnation &Process,
                                    const char *Source) {
  if (!Server.leaving() && Server.markLeaving(Process))
    stopUsingServer(Source);
}

void CallExecutor::stopUsingServer(const char *Source) {
  const ServerIncarnation &Process = Server.latestReport()->Server;
  Log.state("server_leaving", {{"server", Process.Id},
                               {"born", Process.StartTimeMillis},
                               {"source", Source},
                               {"queued", Queued.size()},
                               {"running", Running.size()}});
  refuseQueued(RefusalReason::ServerLeft);
}

/// Calls in flight count towards the new limit too.
void CallExecutor::replaceLimit(std::uint32_t Slots) {
  const std::uint32_t InFlight = Limit->inFlight();
  Limit = std::make_unique<overload::FixedLimit>(Slots);
  for (std::uint32_t Count = 0; Count < InFlight; ++Count)
    Limit->callStarted();
}

void CallExecutor::onServerReminder(transport::ConnectionId From,
                                    const ServerReminder &Reminder) {
  Notices.onReminder(From);
  if (!Server.isCurrent(Reminder.Server)) {
    // The first report of that process may be on its way.
    if (Reminder.Leaving)
      Server.markLeaving(Reminder.Server);
    return;
  }
  if (Reminder.RateLimit)
    RateLimit.adopt(*Reminder.RateLimit);
  if (Reminder.Leaving)
    onStatedShutdown(Reminder.Server, "reminder");
}

ServerNotice CallExecutor::currentNotice() {
  ServerNotice Result;
  if (Server.latestReport() != nullptr)
    Result.Server = Server.latestReport()->Server;
  Result.RateLimit = RateLimit.rate();
  Result.Leaving = Server.leaving();
  Result.AvailableAfterMicros =
      microseconds(RateLimit.inviteAfter(Queue.size()));
  return Result;
}

void CallExecutor::refuseQueued(RefusalReason Reason) {
  while (const auto Next = Queue.pop())
    refuse(Next->Entry.Id, Reason);
}

RefusalReason
CallExecutor::refusalFor(const overload::DequeuedEntry &Removed) const {
  if (Removed.Reason == overload::DequeueReason::QueueFull)
    return RefusalReason::QueueFull;
  const auto Found = Queued.find(Removed.Entry.Id);
  if (Found != Queued.end() &&
      execution::deadlineOf(Found->second.Message.Context,
                            Found->second.ArrivedAt) <= Loop.clock().now())
    return RefusalReason::DeadlineExpired;
  return RateLimit.rate() ? RefusalReason::StatedLimit
                          : RefusalReason::NoSlotInTime;
}

void CallExecutor::onCall(transport::ConnectionId From, CallFrame Message) {
  const execution::CallContext &Context = Message.Context;
  const base::CallId Id = Context.Identity.Id;
  switch (Executions.admit(Context, execution::ConnectionId(From.value()))) {
  case execution::AdmitResult::Queued:
    break;
  case execution::AdmitResult::Refused:
    recordRefusal(Message, RefusalReason::TooManyOpenCalls);
    return sendResponse(From, Id,
                        execution::errorResponse(base::ErrorKind::Overloaded,
                                                 base::Outcome::NotRun),
                        true);
  case execution::AdmitResult::Discarded:
    Metrics.counter("calls_discarded_total").add();
    return;
  }
  const base::BootTime Now = Loop.clock().now();
  overload::QueueEntry Entry;
  Entry.Id = Id;
  Entry.Workspace = Context.Scope.Workspace;
  Entry.Class = Context.Scope.Priority;
  const auto Kind =
      Message.Inner ? overload::WorkKind::Ongoing : overload::WorkKind::New;
  // The queue time is capped at an hour, so that its conversion can't overflow.
  Entry.Deadline =
      std::min(execution::deadlineOf(Context, Now),
               Now + std::chrono::microseconds(std::min<std::uint64_t>(
                         Message.MaxQueueTimeMicros, 3'600'000'000ULL)));
  const bool BodyDropped = Message.BodyDropped;
  Queued.emplace(Id, QueuedCall{std::move(Message), Now});
  if (BodyDropped)
    return refuse(Id, RefusalReason::NoMemory);
  if (!Server.available())
    return refuse(Id, RefusalReason::ServerUnavailable);
  if (Draining)
    return refuse(Id, RefusalReason::DaemonStopping);
  if (exceedsRateLimit(Entry, Kind, Entry.Deadline - Now))
    return refuse(Id, RefusalReason::StatedLimit);
  if (const auto Removed = Queue.push(std::move(Entry), Kind))
    refuse(Removed->Entry.Id, refusalFor(*Removed));
  startQueuedCalls();
}

bool CallExecutor::exceedsRateLimit(const overload::QueueEntry &Entry,
                                    overload::WorkKind Kind,
                                    base::Duration MaxWait) {
  if (!RateLimit.rate())
    return false;
  const std::size_t Ahead = Queue.sizeAhead(Kind, Entry.Class, Entry.Workspace);
  return RateLimit.timeUntilAllowed(Ahead) > MaxWait;
}

void CallExecutor::onFence(transport::ConnectionId From,
                           const execution::Fence &Request) {
  const base::CallId &Id = Request.Identity.Id;
  execution::FenceResult Result =
      Executions.fence(Request, execution::ConnectionId(From.value()));
  if (Result.WasQueued) {
    Queue.cancel(Id);
    Queued.erase(Id);
  }
  execution::FenceReply Reply;
  Reply.Id = Id;
  Reply.State = Result.State;
  if (Result.Response)
    Reply.StoredResponse = *Result.Response;
  Metrics.counter("fences_received_total").add();
  Peers.send(From, makeFrame(FrameType::FenceReply, Reply));
  const auto Found = Running.find(Id);
  if (!Request.Cancel || Found == Running.end())
    return;
  logCall("call_cancelled", Found->second.Message,
          "cancelled by the entry daemon", "");
  Client.cancel(Found->second.Transfer);
  finish(Id,
         execution::errorResponse(base::ErrorKind::Cancelled,
                                  base::Outcome::Unknown),
         overload::CompletionStatus::Cancelled);
}

void CallExecutor::tick() {
  for (const overload::DequeuedEntry &Expired : Queue.takeExpired())
    refuse(Expired.Entry.Id, refusalFor(Expired));
  startQueuedCalls();
  Limit->tick();
  LoadMonitor.tick();
  const base::BootTime Now = Loop.clock().now();
  if (Now < NextMaintenance)
    return;
  NextMaintenance = Now + kMaintenanceInterval;
  Executions.tick();
  Sent.tick();
  Metrics.gauge("server_connections_rejected")
      .set(static_cast<std::int64_t>(Client.rejectedConnections()));
  Metrics.gauge("calls_queued").set(static_cast<std::int64_t>(Queued.size()));
  Metrics.gauge("calls_running").set(static_cast<std::int64_t>(Running.size()));
}

void CallExecutor::startQueuedCalls() {
  while (Limit->hasFreeSlot() && RateLimit.allows() && startNext()) {
  }
}

bool CallExecutor::startNext() {
  const auto Popped = Queue.pop();
  if (!Popped)
    return false;
  const base::CallId Id = Popped->Entry.Id;
  const auto Found = Queued.find(Id);
  if (Found == Queued.end())
    return true;
  switch (Executions.start(Id)) {
  case execution::StartResult::Started:
    break;
  case execution::StartResult::Expired:
    refuse(Id, RefusalReason::DeadlineExpired);
    return true;
  case execution::StartResult::Stopped:
    Queued.erase(Found);
    return true;
  }
  QueuedCall Next = std::move(Found->second);
  Queued.erase(Found);
  Metrics.histogram("queue_seconds").record(Popped->WaitTime);
  forward(Id, std::move(Next), Popped->WaitTime);
  return true;
}

void CallExecutor::forward(const base::CallId &Id, QueuedCall Call,
                           base::Duration QueueTime) {
  const base::BootTime Now = Loop.clock().now();
  const base::Duration Remaining =
      execution::deadlineOf(Call.Message.Context, Call.ArrivedAt) - Now;
  RunningCall NewCall;
  NewCall.StartedAt = Now;
  NewCall.QueueTime = QueueTime;
  NewCall.Server = Server.latestReport()->Server;
  http::Request &Request = Call.Message.Request;
  NewCall.AttemptId =
      http::findHeader(Request.Headers, Settings.Headers.AttemptId)
          .value_or("");
  Request.Headers.push_back(
      {Settings.Headers.TimeLeft,
       std::to_string(std::max<std::int64_t>(1, milliseconds(Remaining)))});
  Request.Headers.push_back(
      {Settings.Headers.ExpectedServer, NewCall.Server.Id});
  http::TransferOptions Options;
  Options.Timeout = std::max<base::Duration>(Remaining, 1ms);
  Options.MaxIdleTime = MaxIdleTime;
  Options.MaxResponseBytes = kMaxResponseBytes;
  Options.Identity = {Settings.Headers.AttemptId, NewCall.AttemptId};
  Options.AcceptConnection =
      [this, Attempt = NewCall.AttemptId,
       Deadline = Now + Remaining](http::ConnectionNumber Connection) {
        return Sent.record(Attempt, Connection, Deadline);
      };
  Options.AllowReuse =
      [this, Attempt = NewCall.AttemptId](const http::Response &Received) {
        return http::findSingularHeader(Received.Headers,
                                        Settings.Headers.AttemptId)
                   .value_or("") == Attempt;
      };
  Options.OnHeaders = [this, Id](const http::Response &Received) {
    onResponseHeaders(Id, Received);
  };
  Limit->callStarted();
  RateLimit.consume();
  LoadMonitor.onForwarded(Call.Message.Inner, QueueTime);
  Correlator.add(Id, Now + Remaining, Call.Message.Context.Scope);
  // The body is needed by the client only.
  std::string Body = std::move(Request.Body);
  Request.Body = std::string();
  http::Request Outgoing = Request;
  Outgoing.Body = std::move(Body);
  Request.SharedBody.reset();
  NewCall.Transfer =
      Client.start(Settings.ServerUrl, std::move(Outgoing), Options,
                   [this, Id](http::ExchangeResult Exchange) {
                     onExchangeCompleted(Id, std::move(Exchange));
                   });
  NewCall.Message = std::move(Call.Message);
  Running.emplace(Id, std::move(NewCall));
}

void CallExecutor::onResponseHeaders(const base::CallId &Id,
                                     const http::Response &Received) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const RunningCall &Call = Found->second;
  // The response of another process, or to another request, says nothing about
  // the current state of the server.
  if (!Server.isCurrent(Call.Server) ||
      Received.Status == kMisdirectedRequest ||
      http::findSingularHeader(Received.Headers, Settings.Headers.AttemptId) !=
          Call.AttemptId)
    return;
  const ServerStatement Stated =
      parseStatement(Received.Headers, Settings.Headers);
  LoadMonitor.onStatement(Call.Server, Stated);
  // A malformed limit, or a failure without one, leaves the current limit in
  // force.
  if (Stated.RateLimit || (!Stated.Malformed && isSuccess(Received.Status)))
    RateLimit.observe(Stated.RateLimit, Call.StartedAt);
  if (Stated.Leaving)
    onStatedShutdown(Call.Server, "response");
}

void CallExecutor::onExchangeCompleted(const base::CallId &Id,
                                       http::ExchangeResult Exchange) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const RunningCall &Call = Found->second;
  Metrics.histogram("server_seconds")
      .record(Loop.clock().now() - Call.StartedAt);
  recordResponse(Call, Exchange);
  if (const auto Idle = statedIdleTime(Exchange.Response))
    MaxIdleTime =
        std::clamp<base::Duration>(*Idle - kIdleMargin, 1s, kLongestMaxIdle);
  execution::Response Result = toCallResponse(Call, Exchange);
  const overload::CompletionStatus Completion =
      Result.Error ? overload::CompletionStatus::Failed
                   : overload::CompletionStatus::Responded;
  Failures.record(failedByServer(Exchange, Result));
  finish(Id, std::move(Result), Completion);
}

bool CallExecutor::failedByServer(const http::ExchangeResult &Exchange,
                                  const execution::Response &Result) const {
  if (Exchange.Response.Status == kMisdirectedRequest)
    return false;
  const bool MayBeDownstream =
      Exchange.Status == http::ExchangeStatus::TimedOut ||
      (!Result.Error && Result.Status >= kFirstServerError);
  if (!MayBeDownstream)
    return Result.Error.has_value();
  // A server that calls others may fail because of them.
  const auto LastCallAt = Correlator.lastCallAt();
  return !LastCallAt || Loop.clock().now() - *LastCallAt > kCallerMemory;
}

/// Counts how the response was framed and how it ended, and logs one whose end
/// says nothing about its completeness.
void CallExecutor::recordResponse(const RunningCall &Call,
                                  const http::ExchangeResult &Exchange) {
  const http::BodyFraming Framing = Exchange.Response.Framing;
  if (Exchange.Response.Status == 0)
    return;
  Metrics
      .counter("server_responses_total{framing=\"" +
               std::string(http::framingName(Framing)) + "\",end=\"" +
               std::string(http::responseEndName(Exchange.End)) + "\"}")
      .add();
  if (Framing == http::BodyFraming::UntilClose &&
      Exchange.End == http::ResponseEnd::Complete)
    Log.request("response_until_close",
                {{"request", Call.AttemptId},
                 {"call", base::toHex(Call.Message.Context.Identity.Id.Bytes)},
                 {"status", Exchange.Response.Status},
                 {"body_bytes", Exchange.Response.Body.size()},
                 {"connection", Exchange.Connection.value()}});
}

/// Determines from the exchange whether the server ran the request. A response
/// that does not echo the attempt id can't be attributed to the request.
execution::Response
CallExecutor::toCallResponse(const RunningCall &Call,
                             http::ExchangeResult &Exchange) {
  using base::ErrorKind;
  using base::Outcome;
  using http::ExchangeStatus;
  const auto Failed = [&](ErrorKind Kind, Outcome RunOutcome,
                          const char *Reason) {
    logFailedCall(Call, Exchange, Reason);
    return execution::errorResponse(Kind, RunOutcome);
  };
  if (Exchange.Status == ExchangeStatus::NotSent)
    return Failed(ErrorKind::NoUpstream, Outcome::NotRun,
                  "no connection to the backend server");
  if (Exchange.Status == ExchangeStatus::TimedOut)
    return Failed(ErrorKind::DeadlineExceeded, Outcome::Unknown,
                  "no response before the deadline");
  if (Exchange.End == http::ResponseEnd::BeganAgain)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the server sent a part of a response and then began again");
  const bool Overrun = Exchange.End == http::ResponseEnd::Overrun;
  if (Exchange.Status != ExchangeStatus::Completed && !Overrun)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the connection broke before a whole response");
  const http::Response &Received = Exchange.Response;
  const HeaderNames &Names = Settings.Headers;
  const auto Echo = http::findSingularHeader(Received.Headers, Names.AttemptId);
  const bool NotExecuted =
      Received.Status == kMisdirectedRequest ||
      http::findHeader(Received.Headers, Names.NotExecuted).has_value();
  // A response without an id may be a late copy of an earlier one, unless
  // nothing was sent on its connection before.
  const bool IsFirstRefusal =
      !http::findHeader(Received.Headers, Names.AttemptId) && NotExecuted &&
      Exchange.NewConnection;
  if (Echo.value_or("") != Call.AttemptId && !IsFirstRefusal)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the response does not echo the attempt id of the request");
  if (NotExecuted) {
    execution::Response Result =
        Failed(Received.Status == kMisdirectedRequest ? ErrorKind::NoUpstream
                                                      : ErrorKind::Overloaded,
               Outcome::NotRun,
               "the backend server refused the request without running it");
    Result.ReachedServer = true;
    return Result;
  }
  // Only the body is in doubt, so the refusals above hold.
  if (Overrun)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "bytes that belong to no response may be in the body");
  if (isSuccess(Received.Status) &&
      (!http::findSingularHeader(Received.Headers, Names.Signature) ||
       http::findHeader(Received.Headers, "content-encoding")))
    return Failed(
        ErrorKind::OutcomeUnknown, Outcome::Unknown,
        "the response is not signed by the backend server or was encoded on "
        "the way");
  execution::Response Result;
  Result.Outcome = Outcome::Ran;
  Result.ReachedServer = true;
  Result.Status = Received.Status;
  Result.Headers = forwardableHeaders(Received.Headers);
  // The length that the body would have had, by what the server states.
  const auto Length = http::findHeader(Received.Headers, "content-length");
  if (Received.Framing == http::BodyFraming::NoBody && Length)
    Result.Headers.push_back({"Content-Length", *Length});
  Result.Body = std::move(Exchange.Response.Body);
  Result.EndedByClose = Received.Framing == http::BodyFraming::UntilClose;
  return Result;
}

void CallExecutor::finish(const base::CallId &Id, execution::Response Result,
                          overload::CompletionStatus Completion) {
  const auto Found = Running.find(Id);
  const base::Duration ServerTime =
      Loop.clock().now() - Found->second.StartedAt;
  const CallTimes Times{microseconds(Found->second.QueueTime),
                        microseconds(ServerTime)};
  Limit->callCompleted(Completion, ServerTime);
  const bool Congested = Correlator.remove(Id) ||
                         Found->second.QueueTime > kCongestedQueueTime ||
                         Result.Error == base::ErrorKind::Overloaded;
  Running.erase(Found);
  Metrics.counter("calls_run_total").add();
  const auto ReplyTo = Executions.replyConnection(Id);
  ResponseParts Parts = shareLargeBody(std::move(Result));
  Executions.finish(Id, Parts.Whole);
  if (ReplyTo)
    sendResponse(transport::ConnectionId(ReplyTo->value()), Id,
                 std::move(Parts.Sent), Congested, Times,
                 std::move(Parts.LargeBody));
  startQueuedCalls();
}

/// Refuses a call that has been admitted but has not started.
void CallExecutor::refuse(const base::CallId &Id, RefusalReason Reason) {
  const auto ReplyTo = Executions.replyConnection(Id);
  const auto Found = Queued.find(Id);
  if (Found != Queued.end()) {
    recordRefusal(Found->second.Message, Reason);
    Queued.erase(Found);
  }
  Executions.withdraw(Id);
  // What a rate limit holds back may run at another server at once.
  const RefusalDescription &Described = describe(Reason);
  if (ReplyTo)
    sendResponse(
        transport::ConnectionId(ReplyTo->value()), Id,
        execution::errorResponse(Described.Kind, base::Outcome::NotRun),
        Described.Congestion && !RateLimit.rate());
}

void CallExecutor::recordRefusal(const CallFrame &Message,
                                 RefusalReason Reason) {
  const RefusalDescription &Described = describe(Reason);
  const std::string Name(Described.Name);
  Metrics
      .counter("calls_refused_total{kind=\"" +
               std::string(base::errorResponseFor(Described.Kind).Name) +
               "\",reason=\"" + Name + "\"}")
      .add();
  logCall("call_refused", Message, Name.c_str(), "");
}

void CallExecutor::sendResponse(transport::ConnectionId To,
                                const base::CallId &Id,
                                execution::Response Result, bool Congested,
                                const CallTimes &Times,
                                std::shared_ptr<const std::string> SharedBody) {
  CallResponseFrame Message;
  Message.SharedBody = std::move(SharedBody);
  Message.Times = Times;
  Message.Id = Id;
  Message.Response = std::move(Result);
  Message.Load = static_cast<std::uint32_t>(openCalls());
  Message.Slots = Limit->limit();
  Message.Congested = Congested;
  Message.FailurePercent =
      static_cast<std::uint8_t>(std::lround(Failures.share() * kPercent));
  Notices.beforeResponse(To, currentNotice());
  Peers.send(To, makeFrame(FrameType::CallResponse, Message));
}

void CallExecutor::logInterruptedCalls() const {
  for (const auto &[Id, Call] : Queued)
    logCall("call_interrupted", Call.Message, "the process exits", "queued");
  for (const auto &[Id, Call] : Running)
    logCall("call_interrupted", Call.Message, "the process exits", "running");
}

void CallExecutor::logFailedCall(const RunningCall &Call,
                                 const http::ExchangeResult &Exchange,
                                 const char *Reason) const {
  const execution::CallIdentity &Identity = Call.Message.Context.Identity;
  const http::Response &Received = Exchange.Response;
  Log.request("call_failed",
              {{"request", Call.AttemptId},
               {"call", base::toHex(Identity.Id.Bytes)},
               {"from", Identity.Sender.Instance.str()},
               {"why", Reason},
               {"detail", Exchange.Detail},
               {"inner", Call.Message.Inner},
               {"status", Received.Status},
               {"framing", http::framingName(Received.Framing)},
               {"end", http::responseEndName(Exchange.End)},
               {"body_bytes", Received.Body.size()},
               {"connection", Exchange.Connection.value()},
               {"new_connection", Exchange.NewConnection},
               {"server_ms", milliseconds(Loop.clock().now() - Call.StartedAt)},
               {"time_left_ms", Call.Message.Context.TimeLeftMicros / 1000},
               {"queued", Queued.size()},
               {"running", Running.size()},
               {"limit", Limit->limit()}});
}

void CallExecutor::logCall(const char *Event, const CallFrame &Message,
                           const char *Reason,
                           const std::string &Detail) const {
  const execution::CallIdentity &Identity = Message.Context.Identity;
  Log.request(Event, {{"request", http::findHeader(Message.Request.Headers,
                                                   Settings.Headers.AttemptId)
                                      .value_or("")},
                      {"call", base::toHex(Identity.Id.Bytes)},
                      {"from", Identity.Sender.Instance.str()},
                      {"why", Reason},
                      {"detail", Detail},
                      {"inner", Message.Inner},
                      {"time_left_ms", Message.Context.TimeLeftMicros / 1000},
                      {"queue_time_ms", Message.MaxQueueTimeMicros / 1000},
                      {"queued", Queued.size()},
                      {"running", Running.size()},
                      {"limit", Limit->limit()}});
}

} // namespace relay
