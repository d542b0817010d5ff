#include "relay/callexecutor.h"

#include "overload/fixedlimit.h"
#include "relay/internal/durations.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Idle time after which a kept connection is not used again if the backend
/// server states none; common servers close after 5 s or more.
constexpr base::Duration kDefaultMaxIdle = 4s;
constexpr base::Duration kMaxMaxIdle = 60s;
/// The server may close a connection up to this much before the time it
/// states, since it states whole seconds.
constexpr base::Duration kIdleMargin = 1s;
constexpr base::Duration kSlowTickInterval = 1s;
/// The entry daemon bounds each call's wait; this is a backstop.
constexpr base::Duration kLongestQueueTime = 10s;
constexpr std::size_t kQueueLength = 512;
/// A wait for a slot that counts as congestion: longer than the gaps between
/// requests of a server that keeps up.
constexpr base::Duration kCongestedWait = 20ms;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;

bool isSuccess(std::uint16_t Status) {
  return Status >= kFirstSuccess && Status < kFirstRedirect;
}

/// Seconds in a `Keep-Alive: timeout=N` header.
std::optional<base::Duration> statedIdleTime(const http::Response &Answer) {
  const auto Value = http::findHeader(Answer.Headers, "keep-alive");
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

std::vector<execution::Header>
forwardableHeaders(const std::vector<http::Header> &Headers) {
  std::vector<execution::Header> Result;
  for (const http::Header &Each : Headers)
    if (!http::isHopByHopHeader(Each.Name))
      Result.push_back({Each.Name, Each.Value});
  return Result;
}

} // namespace

CallExecutor::CallExecutor(ExecutorSettings Settings,
                           eventloop::EventLoop &Loop,
                           base::MetricsRegistry &Metrics, DecisionLog &Log,
                           transport::PeerTransport &Peers,
                           CallCorrelator &Graph, const LocalServerState &Known)
    : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
      Peers(Peers), Graph(Graph), Client(Loop), Server(Known),
      Executions(Loop.clock(), this->Settings.Self),
      Queue(Loop.clock(), {kQueueLength, kLongestQueueTime}),
      Limit(std::make_unique<overload::FixedLimit>(
          Known.current() != nullptr ? Known.current()->Slots : 1)),
      MaxIdle(kDefaultMaxIdle) {
  if (Server.current() != nullptr)
    logServer();
}

void CallExecutor::logServer() const {
  const ServerReport &Current = *Server.current();
  Log.state("server_changed", {{"server", Current.Server.Id},
                               {"born", Current.Server.StartTimeMillis},
                               {"sequence", Current.Sequence},
                               {"slots", Current.Slots},
                               {"available", Server.available()}});
}

ReportResult CallExecutor::report(const ServerReport &Received) {
  const ReportResult Verdict = Server.report(Received);
  if (Verdict != ReportResult::Changed)
    return Verdict;
  logServer();
  replaceLimit(Received.Slots);
  if (Server.available())
    pump();
  else
    rejectQueued(base::ErrorKind::NoUpstream);
  return Verdict;
}

bool CallExecutor::leave(const std::string &Id) {
  if (!Server.leave(Id))
    return false;
  Log.state("server_leaving", {{"server", Id}});
  rejectQueued(base::ErrorKind::NoUpstream);
  return true;
}

/// Calls in flight count in the new limit too.
void CallExecutor::replaceLimit(std::uint32_t Slots) {
  const std::uint32_t InFlight = Limit->inFlight();
  Limit = std::make_unique<overload::FixedLimit>(Slots);
  for (std::uint32_t Count = 0; Count < InFlight; ++Count)
    Limit->callStarted();
}

void CallExecutor::rejectQueued(base::ErrorKind Kind) {
  while (const auto Next = Queue.pop())
    refuse(Next->Entry.Id, Kind, "the backend server leaves");
}

void CallExecutor::onCall(transport::ConnectionId From, CallFrame Message) {
  const execution::CallContext &Context = Message.Context;
  const base::RequestId Id = Context.Identity.Id;
  switch (Executions.admit(Context, execution::ConnectionId(From.value()))) {
  case execution::AdmitResult::Queued:
    break;
  case execution::AdmitResult::Refused:
    return answer(From, Id,
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
  Entry.Deadline =
      std::min(execution::deadlineOf(Context, Now),
               Now + std::chrono::microseconds(std::min<std::uint64_t>(
                         Message.QueueTimeMicros, 3'600'000'000ULL)));
  Queued.emplace(Id, QueuedCall{std::move(Message), Now});
  if (!Server.available())
    return refuse(Id, base::ErrorKind::NoUpstream, "no backend server");
  if (Draining)
    return refuse(Id, base::ErrorKind::Draining, "the daemon stops");
  if (const auto Left = Queue.push(std::move(Entry), Kind))
    refuse(Left->Entry.Id, base::ErrorKind::Overloaded, "the queue is full");
  pump();
}

void CallExecutor::onFence(transport::ConnectionId From,
                           const execution::Fence &Request) {
  const base::RequestId &Id = Request.Identity.Id;
  execution::FenceResult Verdict =
      Executions.fence(Request, execution::ConnectionId(From.value()));
  if (Verdict.WasQueued) {
    Queue.cancel(Id);
    Queued.erase(Id);
  }
  execution::FenceReply Reply;
  Reply.Id = Id;
  Reply.State = Verdict.State;
  if (Verdict.Response)
    Reply.StoredResponse = *Verdict.Response;
  Metrics.counter("fences_received_total").add();
  Peers.send(From, makeFrame(FrameType::FenceReply, Reply));
  const auto Found = Running.find(Id);
  if (!Request.Cancel || Found == Running.end())
    return;
  logCall("call_cancelled", Found->second.Message, "the entry daemon gave up",
          "");
  Client.cancel(Found->second.Transfer);
  finish(Id,
         execution::errorResponse(base::ErrorKind::Cancelled,
                                  base::Outcome::Unknown),
         overload::CallCompletion::Cancelled);
}

void CallExecutor::tick() {
  for (const overload::DequeuedEntry &Left : Queue.takeExpired())
    refuse(Left.Entry.Id, base::ErrorKind::Overloaded,
           "no slot came free in time");
  Limit->tick();
  const base::BootTime Now = Loop.clock().now();
  if (Now < NextSlowTick)
    return;
  NextSlowTick = Now + kSlowTickInterval;
  Executions.tick();
  Metrics.gauge("calls_queued").set(static_cast<std::int64_t>(Queued.size()));
  Metrics.gauge("calls_running").set(static_cast<std::int64_t>(Running.size()));
}

void CallExecutor::pump() {
  while (Limit->hasFreeSlot() && startNext()) {
  }
}

bool CallExecutor::startNext() {
  const auto Popped = Queue.pop();
  if (!Popped)
    return false;
  const base::RequestId Id = Popped->Entry.Id;
  const auto Found = Queued.find(Id);
  if (Found == Queued.end())
    return true;
  switch (Executions.start(Id)) {
  case execution::StartResult::Started:
    break;
  case execution::StartResult::Expired:
    refuse(Id, base::ErrorKind::DeadlineExceeded, "the deadline has passed");
    return true;
  case execution::StartResult::Stopped:
    Queued.erase(Found);
    return true;
  }
  QueuedCall Next = std::move(Found->second);
  Queued.erase(Found);
  Metrics.histogram("queue_seconds").record(Popped->WaitTime);
  pass(Id, std::move(Next), Popped->WaitTime);
  return true;
}

void CallExecutor::pass(const base::RequestId &Id, QueuedCall Call,
                        base::Duration Waited) {
  const base::BootTime Now = Loop.clock().now();
  const base::Duration Left =
      execution::deadlineOf(Call.Message.Context, Call.ArrivedAt) - Now;
  RunningCall Started;
  Started.StartedAt = Now;
  Started.Queued = Waited;
  Started.ServerId = Server.current()->Server.Id;
  http::Request &Sent = Call.Message.Request;
  Started.AttemptId =
      http::findHeader(Sent.Headers, Settings.Headers.AttemptId).value_or("");
  Sent.Headers.push_back(
      {Settings.Headers.TimeLeft,
       std::to_string(std::max<std::int64_t>(1, milliseconds(Left)))});
  Sent.Headers.push_back({Settings.Headers.ExpectedServer, Started.ServerId});
  http::TransferOptions Options;
  Options.Timeout = std::max<base::Duration>(Left, 1ms);
  Options.MaxIdle = MaxIdle;
  Options.Acceptable =
      [this, Attempt = Started.AttemptId](const http::Response &Answer) {
        const auto Echo =
            http::findHeader(Answer.Headers, Settings.Headers.AttemptId);
        return !Echo || *Echo == Attempt;
      };
  Limit->callStarted();
  Graph.started(Id, Now + Left, Call.Message.Context.Scope);
  Started.Transfer = Client.start(Settings.ServerUrl, Sent, Options,
                                  [this, Id](http::ExchangeResult Result) {
                                    onExchangeEnded(Id, std::move(Result));
                                  });
  Started.Message = std::move(Call.Message);
  // The body is with the client now.
  Started.Message.Request.Body = std::string();
  Running.emplace(Id, std::move(Started));
}

void CallExecutor::onExchangeEnded(const base::RequestId &Id,
                                   http::ExchangeResult Result) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const RunningCall &Call = Found->second;
  Metrics.histogram("server_seconds")
      .record(Loop.clock().now() - Call.StartedAt);
  if (const auto Idle = statedIdleTime(Result.Received))
    MaxIdle = std::clamp<base::Duration>(*Idle - kIdleMargin, 1s, kMaxMaxIdle);
  execution::Response Answer = answerOf(Call, Result);
  const overload::CallCompletion End =
      Answer.Error ? overload::CallCompletion::Failed
                   : overload::CallCompletion::Responded;
  finish(Id, std::move(Answer), End);
}

/// Tells from the exchange whether the server ran the request. A response
/// without the request's identity belongs to no request.
execution::Response CallExecutor::answerOf(const RunningCall &Call,
                                           http::ExchangeResult &Result) {
  using base::ErrorKind;
  using base::Outcome;
  using http::ExchangeStatus;
  const auto Failed = [&](ErrorKind Kind, Outcome What, const char *Why) {
    logCall("call_failed", Call.Message, Why, Result.Detail);
    return execution::errorResponse(Kind, What);
  };
  if (Result.Status == ExchangeStatus::NotSent)
    return Failed(ErrorKind::NoUpstream, Outcome::NotRun,
                  "no connection to the backend server");
  if (Result.Status == ExchangeStatus::TimedOut)
    return Failed(ErrorKind::DeadlineExceeded, Outcome::Unknown,
                  "no response before the deadline");
  if (Result.Status != ExchangeStatus::Completed)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the connection broke before a whole response");
  const http::Response &Received = Result.Received;
  const HeaderNames &Names = Settings.Headers;
  const auto Echo = http::findHeader(Received.Headers, Names.AttemptId);
  const bool NotExecuted =
      Received.Status == kMisdirected ||
      http::findHeader(Received.Headers, Names.NotExecuted).has_value();
  if (Echo ? *Echo != Call.AttemptId : !NotExecuted)
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the response belongs to another request");
  if (NotExecuted) {
    execution::Response Answer =
        Failed(Received.Status == kMisdirected ? ErrorKind::NoUpstream
                                               : ErrorKind::Overloaded,
               Outcome::NotRun, "the backend server did not run it");
    Answer.ReachedServer = true;
    return Answer;
  }
  if (isSuccess(Received.Status) &&
      (!http::findHeader(Received.Headers, Names.Signature) ||
       http::findHeader(Received.Headers, "content-encoding")))
    return Failed(ErrorKind::OutcomeUnknown, Outcome::Unknown,
                  "the response is not the backend server's own");
  execution::Response Answer;
  Answer.Outcome = Outcome::Ran;
  Answer.ReachedServer = true;
  Answer.Status = Received.Status;
  Answer.Headers = forwardableHeaders(Received.Headers);
  Answer.Body = std::move(Result.Received.Body);
  return Answer;
}

void CallExecutor::finish(const base::RequestId &Id, execution::Response Answer,
                          overload::CallCompletion End) {
  const auto Found = Running.find(Id);
  const base::Duration Worked = Loop.clock().now() - Found->second.StartedAt;
  const CallTimes Times{microseconds(Found->second.Queued),
                        microseconds(Worked)};
  Limit->callCompleted(End, Worked);
  const bool Congested = Graph.ended(Id) ||
                         Found->second.Queued > kCongestedWait ||
                         Answer.Error == base::ErrorKind::Overloaded;
  Running.erase(Found);
  Metrics.counter("calls_run_total").add();
  const auto ReplyTo = Executions.replyConnection(Id);
  Executions.finish(Id, std::make_shared<execution::Response>(Answer));
  if (ReplyTo)
    answer(transport::ConnectionId(ReplyTo->value()), Id, std::move(Answer),
           Congested, Times);
  pump();
}

/// Ends a call that has been admitted but has not started.
void CallExecutor::refuse(const base::RequestId &Id, base::ErrorKind Kind,
                          const char *Why) {
  const auto ReplyTo = Executions.replyConnection(Id);
  const auto Found = Queued.find(Id);
  if (Found != Queued.end()) {
    logCall("call_refused", Found->second.Message, Why, "");
    Queued.erase(Found);
  }
  Executions.withdraw(Id);
  Metrics
      .counter("calls_refused_total{kind=\"" +
               std::string(base::answerFor(Kind).Name) + "\"}")
      .add();
  if (ReplyTo)
    answer(transport::ConnectionId(ReplyTo->value()), Id,
           execution::errorResponse(Kind, base::Outcome::NotRun),
           Kind == base::ErrorKind::Overloaded);
}

void CallExecutor::answer(transport::ConnectionId To, const base::RequestId &Id,
                          execution::Response Answer, bool Congested,
                          const CallTimes &Times) {
  CallAnswerFrame Message;
  Message.Times = Times;
  Message.Id = Id;
  Message.Answer = std::move(Answer);
  Message.Load = static_cast<std::uint32_t>(openCalls());
  Message.Slots = Limit->limit();
  Message.Congested = Congested;
  Peers.send(To, makeFrame(FrameType::CallAnswer, Message));
}

void CallExecutor::logCall(const char *Event, const CallFrame &Message,
                           const char *Why, const std::string &Detail) const {
  const execution::CallIdentity &Identity = Message.Context.Identity;
  Log.request(Event, {{"request", http::findHeader(Message.Request.Headers,
                                                   Settings.Headers.AttemptId)
                                      .value_or("")},
                      {"call", base::toHex(Identity.Id.Bytes)},
                      {"from", Identity.Sender.Instance.str()},
                      {"why", Why},
                      {"detail", Detail},
                      {"inner", Message.Inner},
                      {"time_left_ms", Message.Context.TimeLeftMicros / 1000},
                      {"queue_time_ms", Message.QueueTimeMicros / 1000},
                      {"queued", Queued.size()},
                      {"running", Running.size()},
                      {"limit", Limit->limit()}});
}

} // namespace relay
