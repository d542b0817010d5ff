#include "node/entryservice.h"

#include "node/credentials.h"
#include "overload/requestrank.h"

namespace node {

namespace {

constexpr std::string_view kRegisterPath = "/-/register";
constexpr std::uint32_t kRetryAfterSeconds = 1;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr base::Duration kSlowTickInterval = std::chrono::seconds(1);
/// A daemon that hasn't reached the log for this time is isolated. Exceeds the
/// 20 s interval at which daemons that don't follow the log read it.
constexpr base::Duration kIsolationThreshold = std::chrono::seconds(60);
/// Deeper calls are refused, so that a cycle in the call graph ends.
constexpr std::uint16_t kMaxCallDepth = 64;

execution::Response responseOf(const OutgoingCallResult &Result) {
  const execution::CallCompletion &Completion = Result.Completion;
  if (Completion.Response) {
    execution::Response Response = *Completion.Response;
    Response.Outcome = Completion.Outcome;
    return Response;
  }
  return execution::errorResponse(
      Completion.Error.value_or(base::ErrorKind::Internal), Completion.Outcome);
}

/// Counts a request as open during the lifetime of the object.
class OpenRequestCounter {
public:
  explicit OpenRequestCounter(std::atomic<std::size_t> &Count) : Count(Count) {
    ++Count;
  }
  ~OpenRequestCounter() { --Count; }
  OpenRequestCounter(const OpenRequestCounter &) = delete;

private:
  std::atomic<std::size_t> &Count;
};

} // namespace

EntryService::EntryService(Runtime &Shared, FleetState &Fleet,
                           CallClient &Calls, ServingService &Serving,
                           RateLimitService &RateLimits,
                           IdempotencyService &Idempotency,
                           const LogFollower &Log, RegisterListener OnRegister)
    : Shared(Shared), Fleet(Fleet), Calls(Calls), Serving(Serving),
      RateLimits(RateLimits), Idempotency(Idempotency), Log(Log),
      OnRegister(std::move(OnRegister)), Refusals(Shared.Clock),
      Admission(Shared.Clock), Demand(Shared.Clock) {}

http::Response EntryService::handle(http::Request Received,
                                    const http::CallerConnection &Connection) {
  const OpenRequestCounter Counter(OpenRequestCount);
  const base::BootTime Started = Shared.Clock.now();
  if (Received.Path == kRegisterPath)
    return registerBackend(Received);
  http::Response Response = process(std::move(Received), Connection);
  Shared.Metrics.histogram("request_seconds")
      .record(Shared.Clock.now() - Started);
  // Makes callers move to another daemon before this one stops.
  Response.CloseConnection = Draining;
  return Response;
}

http::Response EntryService::bodyTooLarge() const {
  return makeErrorResponse(base::ErrorKind::BodyTooLarge);
}

http::Response EntryService::registerBackend(const http::Request &Received) {
  if (Received.Method != "POST")
    return makeErrorResponse(base::ErrorKind::RouteUnknown);
  const std::string Problem = OnRegister(Received.Body);
  if (Problem.empty())
    return {200, {}, "registered\n"};
  http::Response Response =
      makeErrorResponse(base::ErrorKind::RequestMalformed);
  Response.Body = Problem + "\n";
  return Response;
}

http::Response EntryService::process(http::Request Received,
                                     const http::CallerConnection &Connection) {
  const Credentials Presented = extractCredentials(Received);
  PendingRequest Request;
  Request.Config = Fleet.configuration();
  if (const auto Kind = findRoute(Received, Request))
    return refuse(Request, *Kind);
  if (const auto Kind = identify(Presented, Request))
    return refuse(Request, *Kind);
  if (const auto Kind = admit(Request, Received)) {
    if (Request.Inner)
      endInnerCall(Request, Request.Inner->Grant.units());
    return refuse(Request, *Kind);
  }
  Request.Call.Request = std::move(Received);
  return toHttp(Request, Request.IdempotencyKey
                             ? runWithIdempotencyKey(Request, Connection)
                             : run(Request, Connection));
}

std::optional<base::ErrorKind>
EntryService::findRoute(http::Request &Received,
                        PendingRequest &Request) const {
  const std::size_t Slash = Received.Path.find('/', 1);
  const base::ServiceName Name(
      Received.Path.empty() ? "" : Received.Path.substr(1, Slash - 1));
  Received.Path =
      Slash == std::string::npos ? "/" : Received.Path.substr(Slash);
  Request.Service = Request.Config->service(Name);
  if (Request.Service == nullptr)
    return base::ErrorKind::RouteUnknown;
  Request.Route = Request.Service->routeFor(Received.Method, Received.Path);
  if (Request.Route == nullptr)
    return base::ErrorKind::RouteUnknown;
  if (Received.Body.size() > Request.Service->config().Backend.BodyLimitBytes)
    return base::ErrorKind::BodyTooLarge;
  OutgoingCall &Call = Request.Call;
  Call.Service = Name;
  Call.Route = overload::RouteName(Request.Route->Prefix);
  Call.Idempotent = !Request.Route->NonIdempotent;
  Call.AttemptTimeout = Request.Route->ResponseTimeout;
  return std::nullopt;
}

std::optional<base::ErrorKind>
EntryService::identify(const Credentials &Presented, PendingRequest &Request) {
  if (!Presented.Handle)
    return identifyCaller(Presented, Request);
  const auto Value = execution::parseHandle(*Presented.Handle);
  if (!Value)
    return base::ErrorKind::HandleUnknown;
  auto Inner = Serving.beginInnerCall(*Value);
  if (!Inner)
    return base::ErrorKind::HandleUnknown;
  OutgoingCall &Call = Request.Call;
  Call.Scope = Inner->Scope;
  // An inner call keeps the priority that the request got at its entry daemon,
  // whatever the priority of the called route.
  Call.Depth = Inner->Depth;
  Call.Deadline =
      std::min(Inner->Deadline, Shared.Clock.now() + Request.Route->Deadline);
  Request.Handle = *Value;
  Request.Inner = std::move(Inner);
  return std::nullopt;
}

std::optional<base::ErrorKind>
EntryService::identifyCaller(const Credentials &Presented,
                             PendingRequest &Request) {
  execution::RequestScope &Scope = Request.Call.Scope;
  Scope.Root = base::makeRandomId<base::RootId>();
  Scope.Priority = Request.Route->Priority;
  Request.Call.Deadline = Shared.Clock.now() + Request.Route->Deadline;
  const config::WorkspaceConfig *Workspace =
      Presented.Keys.size() == 1
          ? Request.Service->workspaceByKey(
                config::digestKey(Presented.Keys.front()))
          : nullptr;
  if (Workspace != nullptr) {
    if (!mayServeIsolated(*Workspace))
      return base::ErrorKind::KeyUnverified;
    Scope.Workspace = Workspace->Name;
    return std::nullopt;
  }
  if (Request.Route->OpenToAll)
    return std::nullopt;
  return Presented.Keys.empty() ? base::ErrorKind::KeyMissing
                                : base::ErrorKind::KeyUnknown;
}

/// An isolated daemon can't learn that a key was revoked; the service file
/// determines whether it serves the workspace meanwhile.
bool EntryService::mayServeIsolated(
    const config::WorkspaceConfig &Workspace) const {
  return Workspace.Isolated == config::IsolatedBehaviour::Serve ||
         Shared.Clock.now() - Log.lastContact() < kIsolationThreshold;
}

std::optional<base::ErrorKind>
EntryService::admit(PendingRequest &Request, const http::Request &Received) {
  OutgoingCall &Call = Request.Call;
  execution::RequestScope &Scope = Call.Scope;
  if (Call.Depth > kMaxCallDepth)
    return base::ErrorKind::RequestMalformed;
  if (!Call.Idempotent) {
    if (const auto Text =
            http::findHeader(Received.Headers, "idempotency-key")) {
      const auto Key = execution::IdempotencyKey::parse(*Text);
      if (!Key)
        return base::ErrorKind::IdempotencyKeyInvalid;
      Request.IdempotencyKey = *Key;
    }
  }
  const overload::RouteKey Route{Call.Service, Call.Route};
  if (Request.Inner)
    return Serving.admitsInnerCall(Route, Scope)
               ? std::nullopt
               : std::optional(base::ErrorKind::Overloaded);
  {
    std::lock_guard Lock(Mutex);
    const std::uint8_t Rank =
        overload::requestRank(Scope.Root, Scope.Workspace,
                              overload::rankPeriod(Shared.Clock.wallNow()));
    Scope.AdmissionRank =
        Demand.adjustedRank(Scope.Workspace, Scope.Priority, Rank);
    if (!Admission.admits(Route, Scope.Priority, Scope.AdmissionRank))
      return base::ErrorKind::Overloaded;
  }
  if (Scope.Workspace.empty())
    return std::nullopt;
  return RateLimits.acquire(Call.Service, Scope.Workspace);
}

execution::Response
EntryService::run(PendingRequest &Request,
                  const http::CallerConnection &Connection) {
  if (!Request.Inner) {
    retry::RetryAllowance Allowance(Request.Config->fleet().RetryAllowance);
    const OutgoingCallResult Result =
        Calls.call(Request.Call, Allowance, Connection);
    recordLevel(Request, Result);
    return responseOf(Result);
  }
  retry::RetryAllowance Allowance(Request.Inner->Grant.units());
  const OutgoingCallResult Result =
      Calls.call(Request.Call, Allowance, Connection);
  recordLevel(Request, Result);
  endInnerCall(Request, Allowance.close());
  return responseOf(Result);
}

void EntryService::endInnerCall(PendingRequest &Request,
                                std::uint32_t UnusedRetries) {
  Serving.endInnerCall(*Request.Handle, std::move(*Request.Inner),
                       UnusedRetries);
}

execution::Response
EntryService::runWithIdempotencyKey(PendingRequest &Request,
                                    const http::CallerConnection &Connection) {
  const OutgoingCall &Call = Request.Call;
  const execution::RequestDigest Digest = execution::digestRequest(
      Call.Request.Method, Call.Request.Path + "?" + Call.Request.Query,
      Call.Request.Body);
  auto Decision = Idempotency.begin(
      {Call.Service, Call.Scope.Workspace, *Request.IdempotencyKey}, Digest);
  if (Decision.Refusal) {
    if (Request.Inner)
      endInnerCall(Request, Request.Inner->Grant.units());
    return *Decision.Refusal;
  }
  execution::Response Response = run(Request, Connection);
  Idempotency.finish(Decision.Attempt, Response);
  return Response;
}

http::Response EntryService::refuse(const PendingRequest &Request,
                                    base::ErrorKind Kind) {
  Refusals.record(Request.Call.Service, Request.Call.Scope.Workspace, Kind,
                  base::errorResponseFor(Kind).DefaultOutcome);
  return makeErrorResponse(Kind);
}

http::Response EntryService::toHttp(const PendingRequest &Request,
                                    const execution::Response &Response) {
  if (Response.Error) {
    Refusals.record(Request.Call.Service, Request.Call.Scope.Workspace,
                    *Response.Error, Response.Outcome);
    http::Response Refusal = makeErrorResponse(*Response.Error);
    for (http::Header &Each : Refusal.Headers)
      if (Each.Name == "Jackdaw-Outcome")
        Each.Value = std::string(base::outcomeName(Response.Outcome));
    return Refusal;
  }
  http::Response Result;
  Result.Status = Response.Status;
  Result.Body = Response.Body;
  if (Response.EndedByClose)
    Result.Framing = http::BodyFraming::UntilClose;
  else if (Request.Call.Request.Method == "HEAD" ||
           Response.Status == kNoContent || Response.Status == kNotModified)
    Result.Framing = http::BodyFraming::NoBody;
  for (const execution::Header &Each : Response.Headers)
    Result.Headers.push_back({Each.Name, Each.Value});
  Result.Headers.push_back(
      {"Jackdaw-Outcome", std::string(base::outcomeName(Response.Outcome))});
  return Result;
}

http::Response EntryService::makeErrorResponse(base::ErrorKind Kind) const {
  const base::ErrorResponse &Row = base::errorResponseFor(Kind);
  Shared.Metrics
      .counter("requests_refused_total{kind=\"" + std::string(Row.Name) + "\"}")
      .add();
  http::Response Response;
  Response.Status = Row.Status;
  Response.Headers = {
      {"Content-Type", "text/plain"},
      {"Jackdaw-Error", std::string(Row.Name)},
      {"Jackdaw-Outcome", std::string(base::outcomeName(Row.DefaultOutcome))}};
  if (Row.Retryable)
    Response.Headers.push_back(
        {"Retry-After", std::to_string(kRetryAfterSeconds)});
  Response.Body = std::string(Row.Text) + "\n";
  return Response;
}

/// The level of an entry request applies to new requests at this daemon. The
/// level of an inner call goes to the serving service, which also includes it
/// in the levels that it reports to its callers.
void EntryService::recordLevel(const PendingRequest &Request,
                               const OutgoingCallResult &Result) {
  if (!Result.Report)
    return;
  const overload::RouteKey Route{Request.Call.Service, Request.Call.Route};
  if (Request.Inner)
    return Serving.recordLevel(Request.Inner->Parent, Route,
                               Result.Report->Level);
  std::lock_guard Lock(Mutex);
  Admission.record(Route, Result.Report->Level);
}

void EntryService::tick() {
  const base::BootTime Now = Shared.Clock.now();
  std::lock_guard Lock(Mutex);
  if (Now < NextSlowTick)
    return;
  NextSlowTick = Now + kSlowTickInterval;
  Admission.removeStale();
}

} // namespace node
