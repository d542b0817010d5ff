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

/// Time that a caller is assumed to wait if it states none.
constexpr base::Duration kDefaultCallerTimeout = 10s;
constexpr base::Duration kMaxCallerTimeout = std::chrono::hours(1);
/// A new request may wait in a queue for the route's latency objective divided
/// by this: a later refusal would leave the caller too little time to retry.
constexpr int kQueueTimeDivisor = 8;
constexpr base::Duration kMinQueueTime = 20ms;
/// Queue time of an inner call at one upstream while others may have a free
/// slot: about a round trip between regions.
constexpr base::Duration kInnerQueueTime = 40ms;
/// The final attempt of an inner call may wait for the remaining time divided
/// by this: a refusal would waste the work done so far.
constexpr int kFinalQueueTimeDivisor = 2;
/// Queue time at an upstream whose rate limit is used up while others may be
/// able to run the call at once.
constexpr base::Duration kLimitedQueueTime = 20ms;
/// Upstreams that are attempted before a request is refused.
constexpr std::size_t kMaxUpstreams = 4;
/// Bounds of `Retry-After` as a share of the caller's remaining time; callers
/// follow a `Retry-After` of up to a third of it.
constexpr double kMinRetryAfterShare = 0.08;
constexpr double kMaxRetryAfterShare = 0.3;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

/// The key in a credentials header of the form `Scheme KEY`.
std::string keyOf(const std::string &Credentials, const std::string &Scheme) {
  const std::size_t Space = Credentials.find(' ');
  if (Space == std::string::npos ||
      !http::sameHeaderName(Credentials.substr(0, Space), Scheme))
    return Credentials;
  const std::size_t Start = Credentials.find_first_not_of(' ', Space);
  return Start == std::string::npos ? "" : Credentials.substr(Start);
}

std::uint16_t statusOf(base::ErrorKind Kind, base::Outcome CombinedOutcome) {
  using base::ErrorKind;
  if (CombinedOutcome != base::Outcome::NotRun)
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
    return base::errorResponseFor(Kind).Status;
  }
}

} // namespace

EntryHandler::EntryHandler(EntrySettings Settings, eventloop::EventLoop &Loop,
                           base::MetricsRegistry &Metrics, StructuredLog &Log,
                           CallSender &Calls, UpstreamSelector &Upstreams,
                           RateLimiter &Limiter, CallCorrelator &Correlator,
                           const PolicyFreshness &Freshness)
    : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
      Calls(Calls), Upstreams(Upstreams), Limiter(Limiter),
      Correlator(Correlator), Freshness(Freshness), Demand(Loop.clock()),
      Random(std::random_device()()) {}

void EntryHandler::onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                             http::Request Received) {
  OpenRequest &Request = Requests[Id];
  Request.Server = &Server;
  Request.Exchange = Id;
  Request.Policy = Policy;
  Request.ArrivedAt = Loop.clock().now();
  Request.Message.Request = std::move(Received);
  // Each attempt sends a copy of the message.
  Request.Message.Request.shareLargeBody();
  const http::Request &Sent = Request.Message.Request;
  Request.AttemptId =
      http::findHeader(Sent.Headers, Settings.Headers.AttemptId).value_or("");
  setDeadlines(Request);
  if (Stopping)
    return respondWithError(Request, base::ErrorKind::Draining);
  if (!Policy)
    return respondWithError(Request, base::ErrorKind::NoUpstream);
  Request.Route = Policy->route(
      http::findHeader(Sent.Headers, "host").value_or(""), Sent.Path);
  if (Request.Route == nullptr)
    return respondWithError(Request,
                            unlessOutdated(base::ErrorKind::RouteUnknown));
  if (Request.Route->Targets.empty())
    return respondWithError(Request, base::ErrorKind::PolicyOutdated);
  setDeadlines(Request);
  const CallerIdentity Caller = identifyCaller(Request);
  if (Caller.Refusal)
    return respondWithError(Request, *Caller.Refusal);
  if (Stop && Request.ArrivedAt > Stop->RefuseFrom &&
      Request.Deadline > Stop->LastDeadline)
    return respondWithError(Request, base::ErrorKind::Draining);
  execution::CallContext &Context = Request.Message.Context;
  Context.Service = chooseService(*Request.Route);
  Context.Idempotent = Request.Route->Idempotent;
  Request.Timer = Loop.startTimer(Request.Deadline - Request.ArrivedAt,
                                  [this, Id] { onDeadline(Id); });
  // The throttle comes first, so that requests which the services have no
  // capacity for don't use up the workspace's limit.
  if (!Request.Message.Inner && !passesThrottle(Request))
    return respondWithError(Request, base::ErrorKind::Overloaded);
  if (Caller.Workspace == nullptr)
    return dispatch(Request);
  Limiter.admit(*Caller.Workspace, [this, Id](RateLimitResult Result) {
    onRateLimitResult(Id, Result);
  });
}

void EntryHandler::onRateLimitResult(http::ExchangeId Id,
                                     RateLimitResult Result) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  OpenRequest &Request = Found->second;
  if (Result != RateLimitResult::Admitted)
    return respondWithError(Request, Result == RateLimitResult::RateExceeded
                                         ? base::ErrorKind::RateExceeded
                                         : base::ErrorKind::LimitUnavailable);
  Request.CountsTowardsLimit = true;
  dispatch(Request);
}

/// Sends the first attempt of an admitted request.
void EntryHandler::dispatch(OpenRequest &Request) {
  Request.Admitted = true;
  retryBudgetFor(Request.Message.Context.Service)
      .recordFirstAttempt(Request.ArrivedAt);
  sendAttempt(Request);
}

/// Whether the throttle admits another request of this priority, given the
/// capacity of the services that it calls.
bool EntryHandler::passesThrottle(OpenRequest &Request) {
  const execution::RequestScope &Scope = Request.Message.Context.Scope;
  const auto Draw = static_cast<std::uint8_t>(Random() % overload::kRankCount);
  const std::uint8_t Rank =
      Demand.adjustedRank(Scope.Workspace, Scope.Priority, Draw);
  if (throttleFor(Request).admit(double(Rank) / overload::kRankCount))
    return true;
  Metrics.counter("requests_throttled_total").add();
  return false;
}

overload::EntryThrottle &EntryHandler::throttleFor(const OpenRequest &Request) {
  const base::PriorityClass Class = Request.Message.Context.Scope.Priority;
  return Throttles
      .try_emplace({Request.Route->Name, Class}, Loop.clock(), Class)
      .first->second;
}

/// Records the outcome of an admitted request in its throttle.
void EntryHandler::updateThrottle(const OpenRequest &Request, bool Succeeded) {
  if (Request.Admitted && !Request.Message.Inner)
    throttleFor(Request).recordOutcome(Succeeded, Request.Congested);
}

/// Sets the deadlines from the time that the caller states and, once the route
/// is known, the route's timeout.
void EntryHandler::setDeadlines(OpenRequest &Request) {
  base::Duration Wait = kDefaultCallerTimeout;
  if (const auto Text = http::findHeader(Request.Message.Request.Headers,
                                         Settings.Headers.TimeLeft)) {
    std::int64_t Count = 0;
    const auto Read =
        std::from_chars(Text->data(), Text->data() + Text->size(), Count);
    if (Read.ec == std::errc() && Count >= 0)
      Wait = std::min<base::Duration>(
          std::chrono::milliseconds(
              std::min<std::int64_t>(Count, milliseconds(kMaxCallerTimeout))),
          kMaxCallerTimeout);
  }
  Request.CallerDeadline = Request.ArrivedAt + Wait;
  Request.Deadline = Request.CallerDeadline;
  if (Request.Route != nullptr && Request.Route->Timeout > 0s)
    Request.Deadline =
        std::min(Request.Deadline, Request.ArrivedAt + Request.Route->Timeout);
}

EntryHandler::CallerIdentity
EntryHandler::identifyCaller(OpenRequest &Request) {
  const config::HostRoute &Route = *Request.Route;
  execution::RequestScope &Scope = Request.Message.Context.Scope;
  Scope.Priority = config::priorityClassFor(Route.Priority);
  const auto Credentials = http::findHeader(Request.Message.Request.Headers,
                                            Settings.Headers.Credentials);
  const std::string Key =
      Credentials ? keyOf(*Credentials, Settings.Headers.AuthScheme) : "";
  const config::WorkspacePolicy *Workspace =
      Key.empty() ? nullptr
                  : Request.Policy->workspaceByKey(config::digestKey(Key));
  rewriteHeaders(Request, Key);
  if (Workspace == nullptr) {
    if (!Credentials)
      inheritScope(Request);
    if (Route.OpenToAll || !Request.Policy->requiresKeys())
      return {};
    if (Credentials && Request.Policy->content().KeysMissing)
      return {base::ErrorKind::PolicyOutdated, nullptr};
    return {unlessOutdated(Credentials ? base::ErrorKind::KeyUnknown
                                       : base::ErrorKind::KeyMissing),
            nullptr};
  }
  if (Workspace->Unusable)
    return {base::ErrorKind::PolicyOutdated, nullptr};
  Scope.Workspace = Workspace->Name;
  if (Workspace->Priority)
    Scope.Priority = config::priorityClassFor(*Workspace->Priority);
  Request.Message.Request.Headers.push_back(
      {Settings.Headers.Workspace, Workspace->Name.str()});
  return {std::nullopt, Workspace};
}

base::ErrorKind EntryHandler::unlessOutdated(base::ErrorKind Kind) const {
  return Freshness.isOutdated() ? base::ErrorKind::PolicyOutdated : Kind;
}

/// A request without a key whose deadline matches a request of the local
/// backend server is an inner call and takes over that request's scope.
void EntryHandler::inheritScope(OpenRequest &Request) {
  const auto Parent = Correlator.findParent(Request.CallerDeadline);
  if (!Parent)
    return;
  Correlator.onCallMade(Request.ArrivedAt);
  Request.Message.Context.Scope = Parent->Scope;
  Request.Message.Inner = true;
  Request.Parent = Parent->CallId;
}

/// Removes hop-by-hop headers, headers that only the daemon may set, and every
/// header that contains the key; then adds the caller's service.
void EntryHandler::rewriteHeaders(OpenRequest &Request,
                                  const std::string &Key) const {
  std::vector<http::Header> &Headers = Request.Message.Request.Headers;
  const std::string ConnectionOptions =
      http::findHeader(Headers, "connection").value_or("");
  const HeaderNames &Names = Settings.Headers;
  const auto ShouldRemove = [&](const http::Header &Each) {
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
    return !ConnectionOptions.empty() &&
           http::headerListContains(ConnectionOptions, Each.Name);
  };
  std::erase_if(Headers, ShouldRemove);
  Headers.push_back({Names.CallerService, Settings.Service.str()});
}

const base::ServiceName &
EntryHandler::chooseService(const config::HostRoute &Route) {
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

retry::RetryBudget &
EntryHandler::retryBudgetFor(const base::ServiceName &Service) {
  retry::RetryBudget &Budget = Budgets[Service];
  Budget.configure({RetryFloor, Settings.RetryPercent});
  return Budget;
}

void EntryHandler::sendAttempt(OpenRequest &Request) {
  const base::BootTime Now = Loop.clock().now();
  execution::CallContext &Context = Request.Message.Context;
  const http::Request &Sent = Request.Message.Request;
  std::optional<routing::UpstreamChoice> Target;
  if (!Request.FinalAttempt)
    Target = Upstreams.choose(Context.Service,
                              {Request.Deadline, Request.Attempted,
                               Sent.body().size(), Context.Scope.Priority});
  if (!Target && Request.Message.Inner &&
      Request.LastError == base::ErrorKind::Overloaded) {
    // All upstreams are busy: the call queues at one that has refused it
    // before.
    Request.FinalAttempt = true;
    Target = Upstreams.choose(
        Context.Service,
        {Request.Deadline, {}, Sent.body().size(), Context.Scope.Priority});
  }
  if (!Target)
    return respondWithError(
        Request, Request.LastError.value_or(base::ErrorKind::NoUpstream));
  Context.TimeLeftMicros = microseconds(Request.Deadline - Now);
  Request.Target = *Target;
  Request.Attempted.push_back(Target->Process);
  const auto Reminder = Upstreams.reminderFor(Target->Process.Instance);
  if (Reminder)
    Calls.remind(*Target, *Reminder);
  base::Duration QueueTime = maxQueueTime(Request, Now);
  if (Reminder && Reminder->RateLimit && !Target->LastResort)
    QueueTime = std::min(QueueTime, kLimitedQueueTime);
  Request.Message.MaxQueueTimeMicros = microseconds(QueueTime);
  Request.Call =
      Calls.send(*Target, Request.Deadline, Request.Message,
                 [this, Id = Request.Exchange](const CallSummary &Summary) {
                   onCallCompleted(Id, Summary);
                 });
}

/// How long the next call may wait in a queue.
base::Duration EntryHandler::maxQueueTime(const OpenRequest &Request,
                                          base::BootTime Now) const {
  if (!Request.Message.Inner)
    return std::max<base::Duration>(
        kMinQueueTime, Request.Route->LatencyObjective / kQueueTimeDivisor -
                           (Now - Request.ArrivedAt));
  if (Request.FinalAttempt)
    return (Request.Deadline - Now) / kFinalQueueTimeDivisor;
  return kInnerQueueTime;
}

void EntryHandler::onCallCompleted(http::ExchangeId Id,
                                   const CallSummary &Summary) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  OpenRequest &Request = Found->second;
  execution::CallCompletion Completion = Summary.Completion;
  Upstreams.recordCompletion(Request.Target, Summary);
  Request.Congested |= Summary.Congested;
  if (Request.Parent && Summary.Congested)
    Correlator.markCongested(*Request.Parent);
  Request.Call.reset();
  const execution::ResponsePtr &Response = Completion.Response;
  if (Completion.Outcome != base::Outcome::NotRun ||
      (Response && Response->ReachedServer))
    ++Request.DeliveredAttempts;
  Request.CombinedOutcome =
      execution::combineOutcomes(Request.CombinedOutcome, Completion.Outcome);
  if (!Completion.Error && Response) {
    if (!endsConnectionOfOthers(Request, *Response))
      return forwardResponse(Request, *Response, Summary.Times);
    logDiscardedResponse(Request, *Response);
    Completion.MayRetry = Request.Message.Context.Idempotent;
  }
  Request.LastError =
      Completion.Error.value_or(base::ErrorKind::OutcomeUnknown);
  if (canRetry(Request, Completion))
    return sendAttempt(Request);
  respondWithError(Request, *Request.LastError);
}

bool EntryHandler::canRetry(OpenRequest &Request,
                            const execution::CallCompletion &Completion) {
  const base::BootTime Now = Loop.clock().now();
  if (!Completion.MayRetry || Request.FinalAttempt || Now >= Request.Deadline ||
      Completion.Error == base::ErrorKind::Cancelled)
    return false;
  if (Request.Attempted.size() >= kMaxUpstreams) {
    Request.FinalAttempt = Request.Message.Inner &&
                           Request.DeliveredAttempts == 0 &&
                           Completion.Error == base::ErrorKind::Overloaded;
    return Request.FinalAttempt;
  }
  if (Request.DeliveredAttempts == 0)
    return true;
  if (Request.DeliveredAttempts >= std::max(Request.Route->MaxAttempts, 1U))
    return false;
  if (retryBudgetFor(Request.Message.Context.Service).consume(Now)) {
    Metrics.counter("request_retries_total").add();
    return true;
  }
  Metrics.counter("request_retries_denied_total").add();
  return false;
}

void EntryHandler::forwardResponse(OpenRequest &Request,
                                   const execution::Response &Received,
                                   const CallTimes &Times) {
  const base::Duration Age = Loop.clock().now() - Request.ArrivedAt;
  const bool Late = Request.Route->LatencyObjective > 0s &&
                    Age > Request.Route->LatencyObjective;
  if (Late)
    Metrics.counter("requests_late_total").add();
  if (Late || Received.Status >= kFirstServerError)
    Log.request(
        Late ? "request_late" : "request_failed",
        {{"request", Request.AttemptId},
         {"status", Received.Status},
         {"route", Request.Route->Name},
         {"service", Request.Message.Context.Service.str()},
         {"workspace", Request.Message.Context.Scope.Workspace.str()},
         {"inner", Request.Message.Inner},
         {"parent", Request.Parent ? base::toHex(Request.Parent->Bytes) : ""},
         {"policy", Request.Policy->version().value()},
         {"served_by", Request.Target.Process.Instance.str()},
         {"tried", attemptedInstances(Request)},
         {"age_ms", milliseconds(Age)},
         {"objective_ms", milliseconds(Request.Route->LatencyObjective)},
         {"queue_ms", Times.QueueMicros / 1000},
         {"server_ms", Times.ServerMicros / 1000}});
  http::Response Final;
  Final.Status = Received.Status;
  Final.Body = Received.Body;
  for (const execution::Header &Each : Received.Headers)
    Final.Headers.push_back({Each.Name, Each.Value});
  if (Received.EndedByClose)
    Final.Framing = http::BodyFraming::UntilClose;
  Metrics.counter("requests_answered_total").add();
  updateThrottle(Request, Received.Status < kFirstServerError);
  respond(Request, std::move(Final));
}

/// Whether the response would end the caller's connection, on which further
/// requests wait for their responses. They may already be running.
bool EntryHandler::endsConnectionOfOthers(const OpenRequest &Request,
                                          const execution::Response &Received) {
  return Received.EndedByClose &&
         Request.Server->hasRequestBehind(Request.Exchange);
}

void EntryHandler::logDiscardedResponse(const OpenRequest &Request,
                                        const execution::Response &Received) {
  Metrics.counter("responses_discarded_total").add();
  Log.request("response_discarded",
              {{"request", Request.AttemptId},
               {"why", "it ends with its connection, and requests behind it "
                       "have been read"},
               {"status", Received.Status},
               {"body_bytes", Received.Body.size()},
               {"served_by", Request.Target.Process.Instance.str()}});
}

void EntryHandler::onDeadline(http::ExchangeId Id) {
  const auto Found = Requests.find(Id);
  if (Found != Requests.end())
    abort(Found->second, base::ErrorKind::DeadlineExceeded);
}

void EntryHandler::failOpenRequests() {
  Stopping = true;
  while (!Requests.empty())
    abort(Requests.begin()->second, base::ErrorKind::Draining);
}

void EntryHandler::abort(OpenRequest &Request, base::ErrorKind Reason) {
  // A call that has been sent may still run.
  if (Request.Call)
    Request.CombinedOutcome = execution::combineOutcomes(
        Request.CombinedOutcome, base::Outcome::Unknown);
  cancelCall(Request);
  respondWithError(Request, Reason);
}

/// Cancels the call of a request whose caller no longer needs the response.
void EntryHandler::cancelCall(OpenRequest &Request) {
  if (!Request.Call)
    return;
  CallSummary Abandoned;
  Abandoned.Completion.Error = base::ErrorKind::Cancelled;
  Upstreams.recordCompletion(Request.Target, Abandoned);
  const base::CallId Call = *Request.Call;
  Request.Call.reset();
  // The call may complete within `cancel`; the completion must not find this
  // request.
  const http::ExchangeId Id = Request.Exchange;
  auto Node = Requests.extract(Id);
  Calls.cancel(Call);
  Requests.insert(std::move(Node));
}

void EntryHandler::onCallerDisconnected(http::ExchangeId Id) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Metrics.counter("requests_abandoned_total").add();
  logRequest("request_abandoned", Found->second, base::ErrorKind::Cancelled, 0);
  Loop.cancelTimer(Found->second.Timer);
  cancelCall(Found->second);
  Requests.erase(Id);
}

/// Responds that the request failed, or was refused if it has not run.
void EntryHandler::respondWithError(OpenRequest &Request,
                                    base::ErrorKind Kind) {
  const std::uint16_t Status = statusOf(Kind, Request.CombinedOutcome);
  // A single server whose rate limit is used up isn't congestion; a service
  // without any server that takes the call is.
  if (Kind == base::ErrorKind::Overloaded && Request.Admitted) {
    Request.Congested = true;
    if (Request.Parent)
      Correlator.markCongested(*Request.Parent);
  }
  updateThrottle(Request, false);
  if (Request.CountsTowardsLimit &&
      Request.CombinedOutcome == base::Outcome::NotRun)
    Limiter.returnPermit(Request.Message.Context.Scope.Workspace);
  Metrics
      .counter("requests_refused_total{kind=\"" +
               std::string(base::errorResponseFor(Kind).Name) + "\",status=\"" +
               std::to_string(Status) + "\"}")
      .add();
  logRequest("request_refused", Request, Kind, Status);
  respond(Request, makeErrorResponse(Request, Kind, Status));
}

http::Response EntryHandler::makeErrorResponse(const OpenRequest &Request,
                                               base::ErrorKind Kind,
                                               std::uint16_t Status) {
  http::Response Result;
  Result.Status = Status;
  Result.Headers = {
      {"Content-Type", "text/plain"},
      {"Jackdaw-Error", std::string(base::errorResponseFor(Kind).Name)},
      {"Jackdaw-Outcome",
       std::string(base::outcomeName(Request.CombinedOutcome))}};
  Result.Body = std::string(base::errorResponseFor(Kind).Text) + "\n";
  if (Request.CombinedOutcome != base::Outcome::NotRun ||
      (Status != kUnavailable &&
       Status != base::errorResponseFor(base::ErrorKind::RateExceeded).Status))
    return Result;
  // Randomised, so that callers don't retry all at once.
  const std::chrono::duration<double> Remaining =
      Request.CallerDeadline - Loop.clock().now();
  const double Share = std::uniform_real_distribution<double>(
      kMinRetryAfterShare, kMaxRetryAfterShare)(Random);
  const auto Delay =
      static_cast<long>(std::max(0.0, Remaining.count()) * Share * 1000);
  Result.Headers.push_back(
      {"Retry-After", std::to_string(Delay / 1000) + "." +
                          std::to_string(1000 + Delay % 1000).substr(1)});
  return Result;
}

void EntryHandler::respond(OpenRequest &Request, http::Response Final) {
  Loop.cancelTimer(Request.Timer);
  Final.CloseConnection = Draining;
  Metrics.histogram("request_seconds")
      .record(Loop.clock().now() - Request.ArrivedAt);
  const http::ExchangeId Id = Request.Exchange;
  http::AsyncServer &Server = *Request.Server;
  Requests.erase(Id);
  Server.respond(Id, std::move(Final));
}

/// Share of the requests of this route and priority that the throttle admits
/// now.
double EntryHandler::admittedShare(const OpenRequest &Request) const {
  if (Request.Route == nullptr)
    return 1;
  const auto Found = Throttles.find(
      {Request.Route->Name, Request.Message.Context.Scope.Priority});
  return Found == Throttles.end() ? 1 : Found->second.admittedShare();
}

/// Instances of the daemons that were attempted, in order, separated by commas.
std::string EntryHandler::attemptedInstances(const OpenRequest &Request) {
  std::string Result;
  for (const base::ProcessId &Each : Request.Attempted)
    Result += (Result.empty() ? "" : ",") + Each.Instance.str();
  return Result;
}

void EntryHandler::logRequest(const char *Event, const OpenRequest &Request,
                              base::ErrorKind Kind,
                              std::uint16_t Status) const {
  const base::BootTime Now = Loop.clock().now();
  const execution::CallContext &Context = Request.Message.Context;
  const auto Rejected = Freshness.rejectedVersion();
  Log.request(
      Event,
      {{"request", Request.AttemptId},
       {"error", base::errorResponseFor(Kind).Name},
       {"status", Status},
       {"outcome", base::outcomeName(Request.CombinedOutcome)},
       {"route", Request.Route != nullptr ? Request.Route->Name : ""},
       {"service", Context.Service.str()},
       {"workspace", Context.Scope.Workspace.str()},
       {"inner", Request.Message.Inner},
       {"parent", Request.Parent ? base::toHex(Request.Parent->Bytes) : ""},
       {"admitted_share", admittedShare(Request)},
       {"congested", Request.Congested},
       {"policy", Request.Policy ? Request.Policy->version().value() : 0},
       {"policy_age_ms", milliseconds(Freshness.age())},
       {"policy_behind_ms", milliseconds(Freshness.behindFor())},
       {"policy_unreadable",
        Request.Policy ? Request.Policy->content().Unreadable.size() : 0},
       {"policy_rejected_version", Rejected ? Rejected->value() : 0},
       {"tried", attemptedInstances(Request)},
       {"arrivals", Request.DeliveredAttempts},
       {"age_ms", milliseconds(Now - Request.ArrivedAt)},
       {"caller_time_left_ms", milliseconds(Request.CallerDeadline - Now)}});
}

} // namespace relay
