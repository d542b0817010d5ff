#include "relay/entryhandler.h"

#include "overload/admissionlevel.h"
#include "relay/internal/durations.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Time that a caller is taken to wait if it does not say.
constexpr base::Duration kDefaultCallerTime = 10s;
constexpr base::Duration kMaxCallerTime = std::chrono::hours(1);
/// A new request may wait this share of its objective in a queue: a refusal
/// that comes later leaves the caller too little time for another try.
constexpr int kQueueShare = 8;
constexpr base::Duration kMinQueueTime = 20ms;
/// A call of a request that is under way waits this long at one backend server
/// while others may have a free slot: about a round trip between regions.
constexpr base::Duration kInnerQueueTime = 40ms;
/// Its last wait, as a share of the time left: refusing it wastes the work
/// done so far.
constexpr int kLastInnerQueueShare = 2;
/// Daemons that are asked for one request before it is refused.
constexpr std::size_t kMaxTargets = 4;
/// Bounds of the share of the caller's remaining time after which it may come
/// back; callers follow a `Retry-After` of up to a third.
constexpr double kEarliestReturn = 0.08;
constexpr double kLatestReturn = 0.3;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

/// The key in a credentials header, as in `Scheme KEY`.
std::string keyOf(const std::string &Credentials, const std::string &Scheme) {
  const std::size_t Space = Credentials.find(' ');
  if (Space == std::string::npos ||
      !http::sameHeaderName(Credentials.substr(0, Space), Scheme))
    return Credentials;
  const std::size_t Start = Credentials.find_first_not_of(' ', Space);
  return Start == std::string::npos ? "" : Credentials.substr(Start);
}

std::uint16_t statusOf(base::ErrorKind Kind, base::Outcome Overall) {
  using base::ErrorKind;
  if (Overall != base::Outcome::NotRun)
    return Kind == ErrorKind::DeadlineExceeded ? kGatewayTimeout : kBadGateway;
  switch (Kind) {
  case ErrorKind::KeyMissing:
  case ErrorKind::KeyUnknown:
    return kUnauthorized;
  case ErrorKind::DeadlineExceeded:
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::Internal:
    return kUnavailable;
  default:
    return base::answerFor(Kind).Status;
  }
}

} // namespace

EntryHandler::EntryHandler(EntrySettings Settings, eventloop::EventLoop &Loop,
                           base::MetricsRegistry &Metrics, DecisionLog &Log,
                           CallSender &Calls, UpstreamSelector &Choice,
                           RateLimiter &Rates, CallCorrelator &Graph)
    : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
      Calls(Calls), Choice(Choice), Rates(Rates), Graph(Graph),
      Demand(Loop.clock()), Random(std::random_device()()) {}

void EntryHandler::onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                             http::Request Received) {
  OpenRequest &Request = Requests[Id];
  Request.Server = &Server;
  Request.Exchange = Id;
  Request.Policy = Policy;
  Request.ArrivedAt = Loop.clock().now();
  Request.Message.Request = std::move(Received);
  const http::Request &Sent = Request.Message.Request;
  Request.AttemptId =
      http::findHeader(Sent.Headers, Settings.Headers.AttemptId).value_or("");
  setDeadlines(Request);
  if (Ending)
    return refuse(Request, base::ErrorKind::Draining);
  if (!Policy)
    return refuse(Request, base::ErrorKind::NoUpstream);
  Request.Route = Policy->route(
      http::findHeader(Sent.Headers, "host").value_or(""), Sent.Path);
  if (Request.Route == nullptr || Request.Route->Targets.empty())
    return refuse(Request, base::ErrorKind::RouteUnknown);
  setDeadlines(Request);
  const Identity Caller = identify(Request);
  if (Caller.Refusal)
    return refuse(Request, *Caller.Refusal);
  execution::CallContext &Context = Request.Message.Context;
  Context.Service = pickService(*Request.Route);
  Context.Idempotent = Request.Route->Idempotent;
  Request.Timer = Loop.startTimer(Request.Deadline - Request.ArrivedAt,
                                  [this, Id] { onDeadline(Id); });
  // What the services can't take must not use up the workspace's limit.
  if (!Request.Message.Inner && !admitNew(Request))
    return refuse(Request, base::ErrorKind::Overloaded);
  if (Caller.Workspace == nullptr)
    return begin(Request);
  Rates.admit(*Caller.Workspace, [this, Id](RateLimitResult Verdict) {
    onGateVerdict(Id, Verdict);
  });
}

void EntryHandler::onGateVerdict(http::ExchangeId Id, RateLimitResult Verdict) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  OpenRequest &Request = Found->second;
  if (Verdict != RateLimitResult::Admitted)
    return refuse(Request, Verdict == RateLimitResult::RateExceeded
                               ? base::ErrorKind::RateExceeded
                               : base::ErrorKind::LimitUnavailable);
  Request.Charged = true;
  begin(Request);
}

/// Sends a request that has been let in.
void EntryHandler::begin(OpenRequest &Request) {
  Request.Started = true;
  budgetOf(Request.Message.Context.Service)
      .recordFirstAttempt(Request.ArrivedAt);
  attempt(Request);
}

/// Whether the daemons on the way can take another request of this urgency.
bool EntryHandler::admitNew(OpenRequest &Request) {
  const execution::RequestScope &Scope = Request.Message.Context.Scope;
  const auto Draw = static_cast<std::uint8_t>(Random() % overload::kRankCount);
  const std::uint8_t Value =
      Demand.adjustedRank(Scope.Workspace, Scope.Priority, Draw);
  if (throttleOf(Request).admit(double(Value) / overload::kRankCount))
    return true;
  Metrics.counter("requests_throttled_total").add();
  return false;
}

overload::EntryThrottle &EntryHandler::throttleOf(const OpenRequest &Request) {
  const base::PriorityClass Class = Request.Message.Context.Scope.Priority;
  return Throttles
      .try_emplace({Request.Route->Name, Class}, Loop.clock(), Class)
      .first->second;
}

/// Tells the throttle how a request ended that was let in.
void EntryHandler::recordEnd(const OpenRequest &Request, bool Succeeded) {
  if (Request.Started && !Request.Message.Inner)
    throttleOf(Request).recordOutcome(Succeeded, Request.Congested);
}

/// Reads how long the caller waits; the route bounds it once it is known.
void EntryHandler::setDeadlines(OpenRequest &Request) {
  base::Duration Wait = kDefaultCallerTime;
  if (const auto Text = http::findHeader(Request.Message.Request.Headers,
                                         Settings.Headers.TimeLeft)) {
    std::int64_t Count = 0;
    const auto Read =
        std::from_chars(Text->data(), Text->data() + Text->size(), Count);
    if (Read.ec == std::errc() && Count >= 0)
      Wait = std::min<base::Duration>(
          std::chrono::milliseconds(
              std::min<std::int64_t>(Count, milliseconds(kMaxCallerTime))),
          kMaxCallerTime);
  }
  Request.CallerDeadline = Request.ArrivedAt + Wait;
  Request.Deadline = Request.CallerDeadline;
  if (Request.Route != nullptr && Request.Route->Timeout > 0s)
    Request.Deadline =
        std::min(Request.Deadline, Request.ArrivedAt + Request.Route->Timeout);
}

EntryHandler::Identity EntryHandler::identify(OpenRequest &Request) {
  const config::HostRoute &Route = *Request.Route;
  execution::RequestScope &Scope = Request.Message.Context.Scope;
  Scope.Priority = config::classOfRank(Route.Rank);
  const auto Credentials = http::findHeader(Request.Message.Request.Headers,
                                            Settings.Headers.Credentials);
  const std::string Key =
      Credentials ? keyOf(*Credentials, Settings.Headers.AuthScheme) : "";
  const config::WorkspacePolicy *Workspace =
      Key.empty() ? nullptr
                  : Request.Policy->workspaceByKey(config::digestKey(Key));
  prepareHeaders(Request, Key);
  if (Workspace == nullptr) {
    if (!Credentials)
      adoptParent(Request);
    if (Route.OpenToAll || !Request.Policy->usesKeys())
      return {};
    return {Credentials ? base::ErrorKind::KeyUnknown
                        : base::ErrorKind::KeyMissing,
            nullptr};
  }
  Scope.Workspace = Workspace->Name;
  if (Workspace->Rank)
    Scope.Priority = config::classOfRank(*Workspace->Rank);
  Request.Message.Request.Headers.push_back(
      {Settings.Headers.Workspace, Workspace->Name.str()});
  return {std::nullopt, Workspace};
}

/// A request without a key that belongs to the backend server's work is a call
/// of its own and has the urgency of that work.
void EntryHandler::adoptParent(OpenRequest &Request) {
  const auto Parent = Graph.workFor(Request.CallerDeadline);
  if (!Parent)
    return;
  Request.Message.Context.Scope = Parent->Scope;
  Request.Message.Inner = true;
  Request.Parent = Parent->Call;
}

/// Removes what concerns one connection, what only this layer may say, and
/// every header that holds the key.
void EntryHandler::prepareHeaders(OpenRequest &Request,
                                  const std::string &Key) const {
  std::vector<http::Header> &Headers = Request.Message.Request.Headers;
  const std::string Named =
      http::findHeader(Headers, "connection").value_or("");
  const HeaderNames &Names = Settings.Headers;
  const auto Dropped = [&](const http::Header &Each) {
    if (http::sameHeaderName(Each.Name, "host"))
      return false;
    if (http::isHopByHopHeader(Each.Name))
      return true;
    for (const std::string *Own :
         {&Names.TimeLeft, &Names.Credentials, &Names.Workspace,
          &Names.CallerService, &Names.ExpectedServer, &Names.NotExecuted})
      if (http::sameHeaderName(Each.Name, *Own))
        return true;
    if (!Key.empty() && Each.Value.find(Key) != std::string::npos)
      return true;
    return !Named.empty() && http::listNames(Named, Each.Name);
  };
  std::erase_if(Headers, Dropped);
  Headers.push_back({Names.CallerService, Settings.Service.str()});
}

const base::ServiceName &
EntryHandler::pickService(const config::HostRoute &Route) {
  double Sum = 0;
  for (const config::WeightedService &Each : Route.Targets)
    Sum += Each.Weight;
  double Draw = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const config::WeightedService &Each : Route.Targets) {
    Draw -= Each.Weight;
    if (Draw < 0)
      return Each.Service;
  }
  return Route.Targets.back().Service;
}

retry::RetryBudget &EntryHandler::budgetOf(const base::ServiceName &Service) {
  retry::RetryBudget &Budget = Budgets[Service];
  Budget.configure({RetryFloor, Settings.RetryPercent});
  return Budget;
}

void EntryHandler::attempt(OpenRequest &Request) {
  const base::BootTime Now = Loop.clock().now();
  execution::CallContext &Context = Request.Message.Context;
  const http::Request &Sent = Request.Message.Request;
  std::optional<routing::UpstreamChoice> Target;
  if (!Request.LastRound)
    Target = Choice.choose(Context.Service,
                           {Request.Deadline, Request.Tried, Sent.Body.size()});
  if (!Target && Request.Message.Inner &&
      Request.LastError == base::ErrorKind::Overloaded) {
    // All are busy: the call waits its turn at one that it has left before.
    Request.LastRound = true;
    Target = Choice.choose(Context.Service,
                           {Request.Deadline, {}, Sent.Body.size()});
  }
  if (!Target)
    return refuse(Request,
                  Request.LastError.value_or(base::ErrorKind::NoUpstream));
  Context.TimeLeftMicros = microseconds(Request.Deadline - Now);
  Request.Message.QueueTimeMicros = microseconds(queueTime(Request, Now));
  Request.Target = *Target;
  Request.Tried.push_back(Target->Process);
  Request.Call =
      Calls.send(*Target, Request.Deadline, Request.Message,
                 [this, Id = Request.Exchange](const CallEnding &Ending) {
                   onCallEnded(Id, Ending);
                 });
}

/// How long the next call may wait in a queue.
base::Duration EntryHandler::queueTime(const OpenRequest &Request,
                                       base::BootTime Now) const {
  if (!Request.Message.Inner)
    return std::max<base::Duration>(kMinQueueTime,
                                    Request.Route->Objective / kQueueShare -
                                        (Now - Request.ArrivedAt));
  if (Request.LastRound)
    return (Request.Deadline - Now) / kLastInnerQueueShare;
  return kInnerQueueTime;
}

void EntryHandler::onCallEnded(http::ExchangeId Id, const CallEnding &Ending) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  OpenRequest &Request = Found->second;
  const execution::CallCompletion &Verdict = Ending.Verdict;
  Choice.finished(Request.Target, Ending);
  Request.Congested |= Ending.Congested;
  if (Request.Parent && Ending.Congested)
    Graph.noteCongestion(*Request.Parent);
  Request.Call.reset();
  const execution::ResponsePtr &Answer = Verdict.Response;
  if (Verdict.Outcome != base::Outcome::NotRun ||
      (Answer && Answer->ReachedServer))
    ++Request.Arrivals;
  Request.Overall =
      execution::combineOutcomes(Request.Overall, Verdict.Outcome);
  if (!Verdict.Error && Answer)
    return answerWith(Request, *Answer, Ending.Times);
  Request.LastError = Verdict.Error.value_or(base::ErrorKind::OutcomeUnknown);
  if (mayTryAgain(Request, Verdict))
    return attempt(Request);
  refuse(Request, *Request.LastError);
}

bool EntryHandler::mayTryAgain(OpenRequest &Request,
                               const execution::CallCompletion &Verdict) {
  const base::BootTime Now = Loop.clock().now();
  if (!Verdict.MayRetry || Request.LastRound || Now >= Request.Deadline ||
      Verdict.Error == base::ErrorKind::Cancelled)
    return false;
  if (Request.Tried.size() >= kMaxTargets) {
    Request.LastRound = Request.Message.Inner && Request.Arrivals == 0 &&
                        Verdict.Error == base::ErrorKind::Overloaded;
    return Request.LastRound;
  }
  if (Request.Arrivals == 0)
    return true;
  if (Request.Arrivals >= std::max(Request.Route->Attempts, 1U))
    return false;
  if (budgetOf(Request.Message.Context.Service).consume(Now)) {
    Metrics.counter("request_retries_total").add();
    return true;
  }
  Metrics.counter("request_retries_denied_total").add();
  return false;
}

void EntryHandler::answerWith(OpenRequest &Request,
                              const execution::Response &Answer,
                              const CallTimes &Times) {
  const base::Duration Age = Loop.clock().now() - Request.ArrivedAt;
  const bool Late =
      Request.Route->Objective > 0s && Age > Request.Route->Objective;
  if (Late)
    Metrics.counter("requests_late_total").add();
  if (Late || Answer.Status >= kFirstServerError)
    Log.request(
        Late ? "request_late" : "request_failed",
        {{"request", Request.AttemptId},
         {"status", Answer.Status},
         {"route", Request.Route->Name},
         {"service", Request.Message.Context.Service.str()},
         {"workspace", Request.Message.Context.Scope.Workspace.str()},
         {"inner", Request.Message.Inner},
         {"parent", Request.Parent ? base::toHex(Request.Parent->Bytes) : ""},
         {"policy", Request.Policy->version().value()},
         {"served_by", Request.Target.Process.Instance.str()},
         {"tried", Request.Tried.size()},
         {"age_ms", milliseconds(Age)},
         {"objective_ms", milliseconds(Request.Route->Objective)},
         {"queue_ms", Times.QueueMicros / 1000},
         {"server_ms", Times.ServerMicros / 1000}});
  http::Response Final;
  Final.Status = Answer.Status;
  Final.Body = Answer.Body;
  for (const execution::Header &Each : Answer.Headers)
    Final.Headers.push_back({Each.Name, Each.Value});
  Metrics.counter("requests_answered_total").add();
  recordEnd(Request, Answer.Status < kFirstServerError);
  respond(Request, std::move(Final));
}

void EntryHandler::onDeadline(http::ExchangeId Id) {
  const auto Found = Requests.find(Id);
  if (Found != Requests.end())
    end(Found->second, base::ErrorKind::DeadlineExceeded);
}

void EntryHandler::endAll() {
  Ending = true;
  while (!Requests.empty())
    end(Requests.begin()->second, base::ErrorKind::Draining);
}

void EntryHandler::end(OpenRequest &Request, base::ErrorKind Reason) {
  // A call that is out may still run.
  if (Request.Call)
    Request.Overall =
        execution::combineOutcomes(Request.Overall, base::Outcome::Unknown);
  giveUp(Request);
  refuse(Request, Reason);
}

/// Stops the work for a request whose caller no longer needs it.
void EntryHandler::giveUp(OpenRequest &Request) {
  if (!Request.Call)
    return;
  CallEnding Abandoned;
  Abandoned.Verdict.Error = base::ErrorKind::Cancelled;
  Choice.finished(Request.Target, Abandoned);
  const base::RequestId Call = *Request.Call;
  Request.Call.reset();
  // Settling may happen at once and must not find this request.
  const http::ExchangeId Id = Request.Exchange;
  auto Node = Requests.extract(Id);
  Calls.cancel(Call);
  Requests.insert(std::move(Node));
}

void EntryHandler::onAbandoned(http::ExchangeId Id) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Metrics.counter("requests_abandoned_total").add();
  logRequest("request_abandoned", Found->second, base::ErrorKind::Cancelled, 0);
  Loop.cancelTimer(Found->second.Timer);
  giveUp(Found->second);
  Requests.erase(Id);
}

void EntryHandler::refuse(OpenRequest &Request, base::ErrorKind Kind) {
  const std::uint16_t Status = statusOf(Kind, Request.Overall);
  recordEnd(Request, false);
  if (Request.Charged && Request.Overall == base::Outcome::NotRun)
    Rates.giveBack(Request.Message.Context.Scope.Workspace);
  Metrics
      .counter("requests_refused_total{kind=\"" +
               std::string(base::answerFor(Kind).Name) + "\",status=\"" +
               std::to_string(Status) + "\"}")
      .add();
  logRequest("request_refused", Request, Kind, Status);
  respond(Request, refusal(Request, Kind, Status));
}

http::Response EntryHandler::refusal(const OpenRequest &Request,
                                     base::ErrorKind Kind,
                                     std::uint16_t Status) {
  http::Response Answer;
  Answer.Status = Status;
  Answer.Headers = {
      {"Content-Type", "text/plain"},
      {"Jackdaw-Error", std::string(base::answerFor(Kind).Name)},
      {"Jackdaw-Outcome", std::string(base::outcomeName(Request.Overall))}};
  Answer.Body = std::string(base::answerFor(Kind).Text) + "\n";
  if (Request.Overall != base::Outcome::NotRun ||
      (Status != kUnavailable &&
       Status != base::answerFor(base::ErrorKind::RateExceeded).Status))
    return Answer;
  // Spread, so that the callers who return do not come as one wave.
  const std::chrono::duration<double> Left =
      Request.CallerDeadline - Loop.clock().now();
  const double Share = std::uniform_real_distribution<double>(
      kEarliestReturn, kLatestReturn)(Random);
  const auto Delay =
      static_cast<long>(std::max(0.0, Left.count()) * Share * 1000);
  Answer.Headers.push_back(
      {"Retry-After", std::to_string(Delay / 1000) + "." +
                          std::to_string(1000 + Delay % 1000).substr(1)});
  return Answer;
}

void EntryHandler::respond(OpenRequest &Request, http::Response Answer) {
  Loop.cancelTimer(Request.Timer);
  Answer.CloseConnection = Draining;
  Metrics.histogram("request_seconds")
      .record(Loop.clock().now() - Request.ArrivedAt);
  const http::ExchangeId Id = Request.Exchange;
  http::AsyncServer &Server = *Request.Server;
  Requests.erase(Id);
  Server.respond(Id, std::move(Answer));
}

/// Share of requests like this one that the throttle lets in now.
double EntryHandler::admittedShare(const OpenRequest &Request) const {
  if (Request.Route == nullptr)
    return 1;
  const auto Found = Throttles.find(
      {Request.Route->Name, Request.Message.Context.Scope.Priority});
  return Found == Throttles.end() ? 1 : Found->second.admittedShare();
}

void EntryHandler::logRequest(const char *Event, const OpenRequest &Request,
                              base::ErrorKind Kind,
                              std::uint16_t Status) const {
  const base::BootTime Now = Loop.clock().now();
  std::string Tried;
  for (const base::ProcessId &Each : Request.Tried)
    Tried += (Tried.empty() ? "" : ",") + Each.Instance.str();
  const execution::CallContext &Context = Request.Message.Context;
  Log.request(
      Event,
      {{"request", Request.AttemptId},
       {"error", base::answerFor(Kind).Name},
       {"status", Status},
       {"outcome", base::outcomeName(Request.Overall)},
       {"route", Request.Route != nullptr ? Request.Route->Name : ""},
       {"service", Context.Service.str()},
       {"workspace", Context.Scope.Workspace.str()},
       {"inner", Request.Message.Inner},
       {"parent", Request.Parent ? base::toHex(Request.Parent->Bytes) : ""},
       {"admitted_share", admittedShare(Request)},
       {"congested", Request.Congested},
       {"policy", Request.Policy ? Request.Policy->version().value() : 0},
       {"tried", Tried},
       {"arrivals", Request.Arrivals},
       {"age_ms", milliseconds(Now - Request.ArrivedAt)},
       {"caller_time_left_ms", milliseconds(Request.CallerDeadline - Now)}});
}

} // namespace relay
