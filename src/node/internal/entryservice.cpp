#include "node/entryservice.h"

#include "node/requestidentity.h"
#include "overload/requestrank.h"

namespace node {

namespace {

constexpr std::string_view kRegisterPath = "/-/register";
constexpr std::uint32_t kRetryAfterSeconds = 1;
constexpr base::Duration kSlowTickInterval = std::chrono::seconds(1);
/// Time without the log after which a daemon counts as isolated. Daemons that
/// don't follow the log read it every 20 s.
constexpr base::Duration kIsolationTime = std::chrono::seconds(60);
/// Calls are refused below this depth, so that a cycle in the call graph ends.
constexpr std::uint16_t kMaxDepth = 64;

execution::Response responseOf(const CallResult &Result) {
  const execution::CallCompletion &Verdict = Result.Verdict;
  if (Verdict.Response) {
    execution::Response Answer = *Verdict.Response;
    Answer.Outcome = Verdict.Outcome;
    return Answer;
  }
  return execution::errorResponse(
      Verdict.Error.value_or(base::ErrorKind::Internal), Verdict.Outcome);
}

/// Counts a request as open while it lives.
class OpenRequest {
public:
  explicit OpenRequest(std::atomic<std::size_t> &Count) : Count(Count) {
    ++Count;
  }
  ~OpenRequest() { --Count; }
  OpenRequest(const OpenRequest &) = delete;

private:
  std::atomic<std::size_t> &Count;
};

} // namespace

EntryService::EntryService(Runtime &Shared, FleetState &Fleet,
                           CallClient &Calls, ServingService &Serving,
                           RateControl &Rates, IdempotencyClient &Idempotency,
                           const LogFollower &Log, RegisterListener OnRegister)
    : Shared(Shared), Fleet(Fleet), Calls(Calls), Serving(Serving),
      Rates(Rates), Idempotency(Idempotency), Log(Log),
      OnRegister(std::move(OnRegister)), Refusals(Shared.Time),
      Admission(Shared.Time), Demand(Shared.Time) {}

http::Response EntryService::handle(http::Request Received,
                                    const http::CallerConnection &Connection) {
  const OpenRequest Counted(Open);
  const base::BootTime Started = Shared.Time.now();
  if (Received.Path == kRegisterPath)
    return registerBackend(Received);
  http::Response Answer = process(std::move(Received), Connection);
  Shared.Metrics.histogram("request_seconds")
      .record(Shared.Time.now() - Started);
  // Callers move to another daemon before this one stops.
  Answer.CloseConnection = Draining;
  return Answer;
}

http::Response EntryService::bodyTooLarge() const {
  return refusal(base::ErrorKind::BodyTooLarge);
}

http::Response EntryService::registerBackend(const http::Request &Received) {
  if (Received.Method != "POST")
    return refusal(base::ErrorKind::RouteUnknown);
  const std::string Problem = OnRegister(Received.Body);
  if (Problem.empty())
    return {200, {}, "registered\n"};
  http::Response Answer = refusal(base::ErrorKind::RequestMalformed);
  Answer.Body = Problem + "\n";
  return Answer;
}

http::Response EntryService::process(http::Request Received,
                                     const http::CallerConnection &Connection) {
  const Credentials Presented = extractCredentials(Received);
  Admitted Request;
  Request.Config = Fleet.configuration();
  if (const auto Kind = findRoute(Received, Request))
    return refuse(Request, *Kind);
  if (const auto Kind = identify(Presented, Request))
    return refuse(Request, *Kind);
  if (const auto Kind = admit(Request, Received)) {
    if (Request.Inner)
      endInner(Request, Request.Inner->Grant.units());
    return refuse(Request, *Kind);
  }
  Request.Call.Request = std::move(Received);
  return toHttp(Request, Request.Key ? runKeyed(Request, Connection)
                                     : run(Request, Connection));
}

std::optional<base::ErrorKind>
EntryService::findRoute(http::Request &Received, Admitted &Request) const {
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
EntryService::identify(const Credentials &Presented, Admitted &Request) {
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
  // The called route may matter less than the request, never more: priority
  // comes from the entry.
  Call.Depth = Inner->Depth;
  Call.Deadline =
      std::min(Inner->Deadline, Shared.Time.now() + Request.Route->Deadline);
  Request.Handle = *Value;
  Request.Inner = std::move(Inner);
  return std::nullopt;
}

std::optional<base::ErrorKind>
EntryService::identifyCaller(const Credentials &Presented, Admitted &Request) {
  execution::RequestScope &Scope = Request.Call.Scope;
  Scope.Root = base::makeRandomId<base::RootId>();
  Scope.Priority = Request.Route->Priority;
  Request.Call.Deadline = Shared.Time.now() + Request.Route->Deadline;
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

/// A daemon without the log can't learn that a key was revoked; the service
/// file chooses whether its workspace is then served.
bool EntryService::mayServeIsolated(
    const config::WorkspaceConfig &Workspace) const {
  return Workspace.Isolated == config::IsolatedBehaviour::Serve ||
         Shared.Time.now() - Log.lastContact() < kIsolationTime;
}

std::optional<base::ErrorKind>
EntryService::admit(Admitted &Request, const http::Request &Received) {
  OutgoingCall &Call = Request.Call;
  execution::RequestScope &Scope = Call.Scope;
  if (Call.Depth > kMaxDepth)
    return base::ErrorKind::RequestMalformed;
  if (!Call.Idempotent) {
    if (const auto Text =
            http::findHeader(Received.Headers, "idempotency-key")) {
      const auto Key = execution::IdempotencyKey::parse(*Text);
      if (!Key)
        return base::ErrorKind::IdempotencyKeyInvalid;
      Request.Key = *Key;
    }
  }
  const overload::RouteKey Route{Call.Service, Call.Route};
  if (Request.Inner)
    return Serving.admitsInner(Route, Scope)
               ? std::nullopt
               : std::optional(base::ErrorKind::Overloaded);
  {
    std::lock_guard Lock(Mutex);
    const std::uint8_t Value =
        overload::requestRank(Scope.Root, Scope.Workspace,
                              overload::rankPeriod(Shared.Time.wallNow()));
    Scope.AdmissionValue =
        Demand.adjustedRank(Scope.Workspace, Scope.Priority, Value);
    if (!Admission.admits(Route, Scope.Priority, Scope.AdmissionValue))
      return base::ErrorKind::Overloaded;
  }
  if (Scope.Workspace.empty())
    return std::nullopt;
  return Rates.take(Call.Service, Scope.Workspace);
}

execution::Response
EntryService::run(Admitted &Request, const http::CallerConnection &Connection) {
  if (!Request.Inner) {
    retry::RetryAllowance Allowance(Request.Config->fleet().RetryAllowance);
    const CallResult Result = Calls.call(Request.Call, Allowance, Connection);
    learnLevel(Request, Result);
    return responseOf(Result);
  }
  retry::RetryAllowance Allowance(Request.Inner->Grant.units());
  const CallResult Result = Calls.call(Request.Call, Allowance, Connection);
  learnLevel(Request, Result);
  endInner(Request, Allowance.close());
  return responseOf(Result);
}

void EntryService::endInner(Admitted &Request, std::uint32_t UnusedRetries) {
  Serving.endInnerCall(*Request.Handle, std::move(*Request.Inner),
                       UnusedRetries);
}

execution::Response
EntryService::runKeyed(Admitted &Request,
                       const http::CallerConnection &Connection) {
  const OutgoingCall &Call = Request.Call;
  const execution::RequestDigest Digest = execution::digestRequest(
      Call.Request.Method, Call.Request.Path + "?" + Call.Request.Query,
      Call.Request.Body);
  auto Decision = Idempotency.begin(
      {Call.Service, Call.Scope.Workspace, *Request.Key}, Digest);
  if (Decision.Refusal) {
    if (Request.Inner)
      endInner(Request, Request.Inner->Grant.units());
    return *Decision.Refusal;
  }
  execution::Response Answer = run(Request, Connection);
  Idempotency.finish(Decision.Attempt, Answer);
  return Answer;
}

http::Response EntryService::refuse(const Admitted &Request,
                                    base::ErrorKind Kind) {
  Refusals.record(Request.Call.Service, Request.Call.Scope.Workspace, Kind,
                  base::answerFor(Kind).DefaultOutcome);
  return refusal(Kind);
}

http::Response EntryService::toHttp(const Admitted &Request,
                                    const execution::Response &Answer) {
  if (Answer.Error) {
    Refusals.record(Request.Call.Service, Request.Call.Scope.Workspace,
                    *Answer.Error, Answer.Outcome);
    http::Response Refused = refusal(*Answer.Error);
    for (http::Header &Each : Refused.Headers)
      if (Each.Name == "Jackdaw-Outcome")
        Each.Value = std::string(base::outcomeName(Answer.Outcome));
    return Refused;
  }
  http::Response Result;
  Result.Status = Answer.Status;
  Result.Body = Answer.Body;
  for (const execution::Header &Each : Answer.Headers)
    Result.Headers.push_back({Each.Name, Each.Value});
  Result.Headers.push_back(
      {"Jackdaw-Outcome", std::string(base::outcomeName(Answer.Outcome))});
  return Result;
}

http::Response EntryService::refusal(base::ErrorKind Kind) const {
  const base::ErrorAnswer &Row = base::answerFor(Kind);
  Shared.Metrics
      .counter("requests_refused_total{kind=\"" + std::string(Row.Name) + "\"}")
      .add();
  http::Response Answer;
  Answer.Status = Row.Status;
  Answer.Headers = {
      {"Content-Type", "text/plain"},
      {"Jackdaw-Error", std::string(Row.Name)},
      {"Jackdaw-Outcome", std::string(base::outcomeName(Row.DefaultOutcome))}};
  if (Row.RepeatMayHelp)
    Answer.Headers.push_back(
        {"Retry-After", std::to_string(kRetryAfterSeconds)});
  Answer.Body = std::string(Row.Text) + "\n";
  return Answer;
}

/// An entry daemon applies what it learns to new requests; a daemon in the
/// middle also passes it on to its own callers.
void EntryService::learnLevel(const Admitted &Request,
                              const CallResult &Result) {
  if (!Result.Report)
    return;
  const overload::RouteKey Route{Request.Call.Service, Request.Call.Route};
  if (Request.Inner)
    return Serving.learnLevel(Request.Inner->Parent, Route,
                              Result.Report->Level);
  std::lock_guard Lock(Mutex);
  Admission.record(Route, Result.Report->Level);
}

void EntryService::tick() {
  const base::BootTime Now = Shared.Time.now();
  std::lock_guard Lock(Mutex);
  if (Now < NextSlowTick)
    return;
  NextSlowTick = Now + kSlowTickInterval;
  Admission.removeStale();
}

} // namespace node
