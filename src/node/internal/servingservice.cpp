#include "node/servingservice.h"

#include <algorithm>
#include <utility>

namespace node {

namespace {

constexpr std::size_t kQueueEntriesPerSlot = 4;
constexpr std::size_t kMinQueueEntries = 64;
constexpr base::Duration kSlowTickInterval = std::chrono::seconds(1);

/// Converts a duration received from a peer, limited to one hour.
base::Duration fromMicros(std::uint64_t Micros) {
  constexpr std::uint64_t MaxMicros = 3600ULL * 1000 * 1000;
  return std::chrono::microseconds(std::min(Micros, MaxMicros));
}

base::ErrorKind errorKindFor(overload::DequeueReason Reason) {
  return Reason == overload::DequeueReason::DeadlineExpired
             ? base::ErrorKind::DeadlineExceeded
             : base::ErrorKind::Overloaded;
}

} // namespace

ServingService::ServingService(Runtime &Shared)
    : Shared(Shared), Executions(Shared.Clock, Shared.Self),
      Admission(Shared.Clock, {}), Levels(Shared.Clock) {}

ServingService::~ServingService() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  WorkReady.notify_all();
  for (std::thread &Each : Workers)
    Each.join();
}

void ServingService::setBackend(Backend New) {
  std::lock_guard Lock(Mutex);
  const std::uint32_t Slots = std::max<std::uint32_t>(New.Limits.Slots, 1);
  const bool ServerChanged = !LocalBackend ||
                             LocalBackend->Service != New.Service ||
                             LocalBackend->Port != New.Port;
  const bool SlotsChanged =
      ServerChanged || LocalBackend->Limits.Slots != New.Limits.Slots;
  const bool QueueChanged = SlotsChanged || LocalBackend->Limits.MaxQueueTime !=
                                                New.Limits.MaxQueueTime;
  LocalBackend = std::move(New);
  if (SlotsChanged)
    replaceLimit(Slots);
  if (QueueChanged)
    replaceQueue(Slots);
  while (Workers.size() < Slots)
    Workers.emplace_back([this] { workerLoop(); });
}

/// Replaces the concurrency limit. Calls in flight count towards the new one.
void ServingService::replaceLimit(std::uint32_t Slots) {
  auto New = std::make_unique<overload::AdaptiveLimit>(Shared.Clock, Slots);
  const std::uint32_t InFlight = Limit ? Limit->inFlight() : 0;
  for (std::uint32_t Count = 0; Count < InFlight; ++Count)
    New->callStarted();
  Limit = std::move(New);
}

/// Replaces the queue and moves the queued calls to the new one, with the time
/// that they have waited.
void ServingService::replaceQueue(std::uint32_t Slots) {
  overload::QueueSettings Settings;
  Settings.MaxLength = std::max(kMinQueueEntries, kQueueEntriesPerSlot * Slots);
  Settings.MaxWait = LocalBackend->Limits.MaxQueueTime;
  const auto Old = std::exchange(
      Queue, std::make_unique<overload::FairQueue>(Shared.Clock, Settings));
  if (!Old)
    return;
  while (auto Next = Old->pop()) {
    Next->Entry.PriorWait += Next->WaitTime;
    if (const auto Dequeued = Queue->push(std::move(Next->Entry)))
      refuseDequeued(*Dequeued);
  }
  for (const overload::DequeuedEntry &Dequeued : Old->takeExpired())
    refuseDequeued(Dequeued);
}

std::optional<Backend> ServingService::backend() const {
  std::lock_guard Lock(Mutex);
  return LocalBackend;
}

void ServingService::onCall(transport::ConnectionId Connection,
                            CallMessage Message) {
  std::unique_lock Lock(Mutex);
  const execution::CallContext Context = Message.Context;
  const base::CallId Id = Context.Identity.Id;
  switch (
      Executions.admit(Context, execution::ConnectionId(Connection.value()))) {
  case execution::AdmitResult::Queued:
    break;
  case execution::AdmitResult::Refused:
    return refuseUnadmitted(Connection, Message, base::ErrorKind::Overloaded);
  case execution::AdmitResult::Discarded:
    Shared.Metrics.counter("calls_discarded_total").add();
    return;
  }
  const execution::RequestScope &Scope = Context.Scope;
  overload::QueueEntry Entry;
  Entry.Id = Id;
  Entry.Workspace = Scope.Workspace;
  Entry.Class = Scope.Priority;
  Entry.Deadline = execution::deadlineOf(Context, Shared.Clock.now());
  Entry.PriorWait = fromMicros(Message.PriorWaitMicros);
  Pending.emplace(Id, QueuedCall{std::move(Message), Shared.Clock.now(),
                                 std::make_shared<std::atomic<bool>>(false)});
  if (!LocalBackend || LocalBackend->Service != Context.Service)
    return refuse(Id, base::ErrorKind::NoUpstream);
  if (Draining)
    return refuse(Id, base::ErrorKind::Draining);
  if (!Admission.admit(Entry.Class, Scope.AdmissionRank))
    return refuse(Id, base::ErrorKind::Overloaded);
  if (const auto Dequeued = Queue->push(std::move(Entry)))
    refuseDequeued(*Dequeued);
  Lock.unlock();
  WorkReady.notify_one();
}

void ServingService::onFence(transport::ConnectionId Connection,
                             const execution::Fence &Request) {
  execution::FenceReply Reply;
  {
    std::lock_guard Lock(Mutex);
    const base::CallId &Id = Request.Identity.Id;
    execution::FenceResult Result =
        Executions.fence(Request, execution::ConnectionId(Connection.value()));
    if (Result.WasQueued) {
      Queue->cancel(Id);
      Pending.erase(Id);
    }
    const auto Found = Running.find(Id);
    if (Request.Cancel && Found != Running.end())
      *Found->second = true;
    Reply.Id = Id;
    Reply.State = Result.State;
    if (Result.Response)
      Reply.StoredResponse = *Result.Response;
  }
  Shared.Metrics.counter("fences_received_total").add();
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::FenceReply),
                   base::encode(Reply)});
}

std::optional<InnerCall>
ServingService::beginInnerCall(const base::Handle &Value) {
  std::lock_guard Lock(Mutex);
  auto Found = Handles.find(Value);
  if (!Found)
    return std::nullopt;
  execution::RequestContext &Context = **Found;
  InnerCall Inner;
  Inner.Scope = Context.Scope;
  Inner.Deadline = Context.Deadline;
  Inner.Depth = static_cast<std::uint16_t>(Context.Depth + 1);
  Inner.Grant = Context.Allowance.grant();
  InnerCallState &State = InnerCallStates[Value];
  Inner.Parent = State.Route;
  if (State.OpenCalls++ == 0)
    State.OpenSince = Shared.Clock.now();
  return Inner;
}

void ServingService::endInnerCall(const base::Handle &Value, InnerCall Inner,
                                  std::uint32_t UnusedRetries) {
  std::lock_guard Lock(Mutex);
  auto Found = Handles.find(Value);
  if (!Found)
    return;
  (*Found)->Allowance.reclaim(std::move(Inner.Grant), UnusedRetries);
  InnerCallState &State = InnerCallStates[Value];
  if (--State.OpenCalls == 0)
    State.TotalTime += Shared.Clock.now() - State.OpenSince;
}

void ServingService::recordLevel(const overload::RouteName &Parent,
                                 const overload::RouteKey &Child,
                                 const overload::AdmissionLevel &Reported) {
  std::lock_guard Lock(Mutex);
  Levels.record(Parent, Child, Reported);
}

bool ServingService::admitsInnerCall(
    const overload::RouteKey &Child,
    const execution::RequestScope &Scope) const {
  std::lock_guard Lock(Mutex);
  return Levels.admits(Child, Scope.Priority, Scope.AdmissionRank);
}

void ServingService::startDraining() {
  std::lock_guard Lock(Mutex);
  Draining = true;
}

std::size_t ServingService::openCalls() const {
  std::lock_guard Lock(Mutex);
  return Pending.size() + Running.size();
}

void ServingService::tick() {
  std::lock_guard Lock(Mutex);
  if (!LocalBackend)
    return;
  Limit->tick();
  for (const overload::DequeuedEntry &Dequeued : Queue->takeExpired())
    refuseDequeued(Dequeued);
  Admission.tick(Queue->oldestWaits());
  if (const base::BootTime Now = Shared.Clock.now(); Now >= NextSlowTick) {
    NextSlowTick = Now + kSlowTickInterval;
    Executions.tick();
    Levels.removeStale();
  }
  WorkReady.notify_one();
}

std::string ServingService::status() const {
  std::lock_guard Lock(Mutex);
  if (!LocalBackend)
    return "backend none\n";
  return "backend " + LocalBackend->Service.str() + " port " +
         std::to_string(LocalBackend->Port) + "\nlimit " +
         std::to_string(Limit->limit()) + "\nin_flight " +
         std::to_string(Limit->inFlight()) + "\nqueued " +
         std::to_string(Queue->size()) + "\nadmission_level " +
         std::to_string(Admission.level().index()) + "\n";
}

void ServingService::workerLoop() {
  std::unique_lock Lock(Mutex);
  for (;;) {
    WorkReady.wait(Lock, [this] {
      return Stopping || (Queue->size() > 0 && Limit->hasFreeSlot());
    });
    if (Stopping)
      return;
    auto Next = startNextCall();
    if (!Next)
      continue;
    Lock.unlock();
    const base::BootTime Started = Shared.Clock.now();
    BackendResult Result = runAtBackend(*Next);
    const base::Duration Latency = Shared.Clock.now() - Started;
    Lock.lock();
    finish(*Next, std::move(Result.Response), Result.Status, Latency);
  }
}

std::optional<ServingService::RunningCall> ServingService::startNextCall() {
  const auto Popped = Queue->pop();
  if (!Popped)
    return std::nullopt;
  const base::CallId Id = Popped->Entry.Id;
  const auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return std::nullopt;
  switch (Executions.start(Id)) {
  case execution::StartResult::Started:
    break;
  case execution::StartResult::Expired:
    refuse(Id, base::ErrorKind::DeadlineExceeded);
    return std::nullopt;
  case execution::StartResult::Stopped:
    Pending.erase(Found);
    return std::nullopt;
  }
  RunningCall Next;
  Next.Id = Id;
  Next.Call = std::move(Found->second);
  Pending.erase(Found);
  Next.WaitTime = Popped->WaitTime;
  Next.Target = *LocalBackend;
  Next.Handle = Handles.open(execution::requestContextFor(
      Next.Call.Message.Context, Next.Call.ArrivedAt));
  InnerCallStates[Next.Handle].Route = Next.Call.Message.Route;
  Running.emplace(Id, Next.Call.Cancel);
  Limit->callStarted();
  Admission.recordStart();
  return Next;
}

BackendResult ServingService::runAtBackend(const RunningCall &Running) const {
  const execution::CallContext &Context = Running.Call.Message.Context;
  BackendCall Call;
  Call.Port = Running.Target.Port;
  Call.Request = &Running.Call.Message.Request;
  Call.Handle = Running.Handle;
  Call.TimeLeft = execution::deadlineOf(Context, Running.Call.ArrivedAt) -
                  Shared.Clock.now();
  Call.Idempotent = Context.Idempotent;
  Call.Cancel = Running.Call.Cancel.get();
  return callBackend(Call);
}

void ServingService::finish(const RunningCall &Finished,
                            execution::Response Response,
                            overload::CompletionStatus Status,
                            base::Duration Latency) {
  // Time that the backend server spent waiting for inner calls isn't part of
  // the latency, because it says nothing about the server's own capacity.
  InnerCallState &State = InnerCallStates[Finished.Handle];
  if (State.OpenCalls > 0)
    State.TotalTime += Shared.Clock.now() - State.OpenSince;
  Limit->callCompleted(Status,
                       std::max(Latency - State.TotalTime, base::Duration(1)));
  Response.UnusedAllowance = Handles.close(Finished.Handle);
  InnerCallStates.erase(Finished.Handle);
  Running.erase(Finished.Id);
  Shared.Metrics.histogram("backend_seconds").record(Latency);
  Shared.Metrics.counter("calls_run_total").add();
  if (Response.EndedByClose)
    Shared.Metrics.counter("responses_until_close_total").add();
  const auto ReplyTo = Executions.replyConnection(Finished.Id);
  const auto Stored =
      std::make_shared<execution::Response>(std::move(Response));
  Executions.finish(Finished.Id, Stored);
  if (ReplyTo)
    reply(transport::ConnectionId(ReplyTo->value()), Finished.Id, *Stored,
          Finished.Call.Message.Route);
  WorkReady.notify_one();
}

/// Refuses a call that has been admitted but hasn't started.
void ServingService::refuse(const base::CallId &Id, base::ErrorKind Kind) {
  const auto ReplyTo = Executions.replyConnection(Id);
  const auto Found = Pending.find(Id);
  const overload::RouteName Route = Found != Pending.end()
                                        ? Found->second.Message.Route
                                        : overload::RouteName();
  const std::uint32_t Unused =
      Found != Pending.end() ? Found->second.Message.Context.RetryAllowance : 0;
  Pending.erase(Id);
  Executions.withdraw(Id);
  Shared.Metrics
      .counter("calls_refused_total{kind=\"" +
               std::string(base::errorResponseFor(Kind).Name) + "\"}")
      .add();
  if (!ReplyTo)
    return;
  execution::Response Response =
      execution::errorResponse(Kind, base::Outcome::NotRun);
  Response.UnusedAllowance = Unused;
  reply(transport::ConnectionId(ReplyTo->value()), Id, Response, Route);
}

void ServingService::refuseUnadmitted(transport::ConnectionId Connection,
                                      const CallMessage &Message,
                                      base::ErrorKind Kind) {
  execution::Response Response =
      execution::errorResponse(Kind, base::Outcome::NotRun);
  Response.UnusedAllowance = Message.Context.RetryAllowance;
  reply(Connection, Message.Context.Identity.Id, Response, Message.Route);
}

void ServingService::reply(transport::ConnectionId Connection,
                           const base::CallId &Id,
                           const execution::Response &Response,
                           const overload::RouteName &Route) {
  CallResponseMessage Message;
  Message.Id = Id;
  Message.Response = Response;
  Message.Report = reportFor(Route);
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::CallResponse),
                   base::encode(Message)});
}

void ServingService::refuseDequeued(const overload::DequeuedEntry &Dequeued) {
  refuse(Dequeued.Entry.Id, errorKindFor(Dequeued.Reason));
}

LoadReport ServingService::reportFor(const overload::RouteName &Route) const {
  LoadReport Report;
  Report.Level = Levels.responseLevel(Route, Admission.level());
  Report.Load = static_cast<std::uint32_t>(Pending.size() + Running.size());
  return Report;
}

} // namespace node
