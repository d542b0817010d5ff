#include "node/servingservice.h"

#include <algorithm>
#include <utility>

namespace node {

namespace {

constexpr std::size_t kQueueEntriesPerSlot = 4;
constexpr std::size_t kMinQueueEntries = 64;
constexpr base::Duration kSlowTickInterval = std::chrono::seconds(1);

base::Duration fromMicros(std::uint64_t Micros) {
  constexpr std::uint64_t Limit = 3600ULL * 1000 * 1000;
  return std::chrono::microseconds(std::min(Micros, Limit));
}

base::ErrorKind kindOf(overload::DequeueReason Reason) {
  return Reason == overload::DequeueReason::DeadlineExpired
             ? base::ErrorKind::DeadlineExceeded
             : base::ErrorKind::Overloaded;
}

} // namespace

ServingService::ServingService(Runtime &Shared)
    : Shared(Shared), Executions(Shared.Time, Shared.Self),
      Admission(Shared.Time, {}), Levels(Shared.Time) {}

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
  const bool NewServer =
      !Local || Local->Service != New.Service || Local->Port != New.Port;
  const bool NewSlots = NewServer || Local->Limits.Slots != New.Limits.Slots;
  const bool NewQueue = NewSlots || Local->Limits.Queue != New.Limits.Queue;
  Local = std::move(New);
  if (NewSlots)
    replaceLimit(Slots);
  if (NewQueue)
    replaceQueue(Slots);
  while (Workers.size() < Slots)
    Workers.emplace_back([this] { workerLoop(); });
}

/// Calls in flight count in the new limit too.
void ServingService::replaceLimit(std::uint32_t Slots) {
  auto New = std::make_unique<overload::AdaptiveLimit>(Shared.Time, Slots);
  const std::uint32_t InFlight = Limit ? Limit->inFlight() : 0;
  for (std::uint32_t Count = 0; Count < InFlight; ++Count)
    New->callStarted();
  Limit = std::move(New);
}

/// Moves what is queued, with the time that it has waited.
void ServingService::replaceQueue(std::uint32_t Slots) {
  overload::QueueSettings Settings;
  Settings.MaxLength = std::max(kMinQueueEntries, kQueueEntriesPerSlot * Slots);
  Settings.MaxWait = Local->Limits.Queue;
  const auto Old = std::exchange(
      Queue, std::make_unique<overload::FairQueue>(Shared.Time, Settings));
  if (!Old)
    return;
  while (auto Next = Old->pop()) {
    Next->Entry.PriorWait += Next->WaitTime;
    if (const auto Left = Queue->push(std::move(Next->Entry)))
      dropDeparted(*Left);
  }
  for (const overload::DequeuedEntry &Left : Old->takeExpired())
    dropDeparted(Left);
}

std::optional<Backend> ServingService::backend() const {
  std::lock_guard Lock(Mutex);
  return Local;
}

void ServingService::onCall(transport::ConnectionId Connection,
                            CallMessage Message) {
  std::unique_lock Lock(Mutex);
  const execution::CallContext Context = Message.Context;
  const base::RequestId Id = Context.Identity.Id;
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
  Entry.Deadline = execution::deadlineOf(Context, Shared.Time.now());
  Entry.PriorWait = fromMicros(Message.WaitedMicros);
  Pending.emplace(Id, PendingCall{std::move(Message), Shared.Time.now(),
                                  std::make_shared<std::atomic<bool>>(false)});
  if (!Local || Local->Service != Context.Service)
    return refuse(Id, base::ErrorKind::NoUpstream);
  if (Draining)
    return refuse(Id, base::ErrorKind::Draining);
  if (!Admission.admit(Entry.Class, Scope.AdmissionValue))
    return refuse(Id, base::ErrorKind::Overloaded);
  if (const auto Left = Queue->push(std::move(Entry)))
    dropDeparted(*Left);
  Lock.unlock();
  WorkReady.notify_one();
}

void ServingService::onFence(transport::ConnectionId Connection,
                             const execution::Fence &Request) {
  execution::FenceReply Reply;
  {
    std::lock_guard Lock(Mutex);
    const base::RequestId &Id = Request.Identity.Id;
    execution::FenceResult Verdict =
        Executions.fence(Request, execution::ConnectionId(Connection.value()));
    if (Verdict.WasQueued) {
      Queue->cancel(Id);
      Pending.erase(Id);
    }
    const auto Found = Running.find(Id);
    if (Request.Cancel && Found != Running.end())
      *Found->second = true;
    Reply.Id = Id;
    Reply.State = Verdict.State;
    if (Verdict.Response)
      Reply.StoredResponse = *Verdict.Response;
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
  HandleUse &Use = HandleUses[Value];
  Inner.Parent = Use.Route;
  if (Use.InnerCalls++ == 0)
    Use.InnerSince = Shared.Time.now();
  return Inner;
}

void ServingService::endInnerCall(const base::Handle &Value, InnerCall Inner,
                                  std::uint32_t UnusedRetries) {
  std::lock_guard Lock(Mutex);
  auto Found = Handles.find(Value);
  if (!Found)
    return;
  (*Found)->Allowance.reclaim(std::move(Inner.Grant), UnusedRetries);
  HandleUse &Use = HandleUses[Value];
  if (--Use.InnerCalls == 0)
    Use.InnerTime += Shared.Time.now() - Use.InnerSince;
}

void ServingService::learnLevel(const overload::RouteName &Parent,
                                const overload::RouteKey &Child,
                                const overload::AdmissionLevel &Reported) {
  std::lock_guard Lock(Mutex);
  Levels.record(Parent, Child, Reported);
}

bool ServingService::admitsInner(const overload::RouteKey &Child,
                                 const execution::RequestScope &Scope) const {
  std::lock_guard Lock(Mutex);
  return Levels.admits(Child, Scope.Priority, Scope.AdmissionValue);
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
  if (!Local)
    return;
  Limit->tick();
  for (const overload::DequeuedEntry &Left : Queue->takeExpired())
    dropDeparted(Left);
  Admission.tick(Queue->oldestWaits());
  if (const base::BootTime Now = Shared.Time.now(); Now >= NextSlowTick) {
    NextSlowTick = Now + kSlowTickInterval;
    Executions.tick();
    Levels.removeStale();
  }
  WorkReady.notify_one();
}

std::string ServingService::status() const {
  std::lock_guard Lock(Mutex);
  if (!Local)
    return "backend none\n";
  return "backend " + Local->Service.str() + " port " +
         std::to_string(Local->Port) + "\nlimit " +
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
    auto Next = takeNext();
    if (!Next)
      continue;
    Lock.unlock();
    const base::BootTime Started = Shared.Time.now();
    BackendResult Result = runAtBackend(*Next);
    const base::Duration Latency = Shared.Time.now() - Started;
    Lock.lock();
    finish(*Next, std::move(Result.Answer), Result.End, Latency);
  }
}

std::optional<ServingService::RunningCall> ServingService::takeNext() {
  const auto Popped = Queue->pop();
  if (!Popped)
    return std::nullopt;
  const base::RequestId Id = Popped->Entry.Id;
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
  Next.Waited = Popped->WaitTime;
  Next.Target = *Local;
  Next.Handle = Handles.open(execution::requestContextFor(
      Next.Call.Message.Context, Next.Call.ArrivedAt));
  HandleUses[Next.Handle].Route = Next.Call.Message.Route;
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
                  Shared.Time.now();
  Call.Idempotent = Context.Idempotent;
  Call.Cancel = Running.Call.Cancel.get();
  return callBackend(Call);
}

void ServingService::finish(const RunningCall &Ended,
                            execution::Response Answer,
                            overload::CallCompletion End,
                            base::Duration Latency) {
  // The time that the backend server waited for others says nothing about its
  // own capacity.
  HandleUse &Use = HandleUses[Ended.Handle];
  if (Use.InnerCalls > 0)
    Use.InnerTime += Shared.Time.now() - Use.InnerSince;
  Limit->callCompleted(End,
                       std::max(Latency - Use.InnerTime, base::Duration(1)));
  Answer.UnusedAllowance = Handles.close(Ended.Handle);
  HandleUses.erase(Ended.Handle);
  Running.erase(Ended.Id);
  Shared.Metrics.histogram("backend_seconds").record(Latency);
  Shared.Metrics.counter("calls_run_total").add();
  const auto ReplyTo = Executions.replyConnection(Ended.Id);
  const auto Kept = std::make_shared<execution::Response>(std::move(Answer));
  Executions.finish(Ended.Id, Kept);
  if (ReplyTo)
    reply(transport::ConnectionId(ReplyTo->value()), Ended.Id, *Kept,
          Ended.Call.Message.Route);
  WorkReady.notify_one();
}

/// Ends a call that has been admitted but has not started.
void ServingService::refuse(const base::RequestId &Id, base::ErrorKind Kind) {
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
               std::string(base::answerFor(Kind).Name) + "\"}")
      .add();
  if (!ReplyTo)
    return;
  execution::Response Answer =
      execution::errorResponse(Kind, base::Outcome::NotRun);
  Answer.UnusedAllowance = Unused;
  reply(transport::ConnectionId(ReplyTo->value()), Id, Answer, Route);
}

void ServingService::refuseUnadmitted(transport::ConnectionId Connection,
                                      const CallMessage &Message,
                                      base::ErrorKind Kind) {
  execution::Response Answer =
      execution::errorResponse(Kind, base::Outcome::NotRun);
  Answer.UnusedAllowance = Message.Context.RetryAllowance;
  reply(Connection, Message.Context.Identity.Id, Answer, Message.Route);
}

void ServingService::reply(transport::ConnectionId Connection,
                           const base::RequestId &Id,
                           const execution::Response &Answer,
                           const overload::RouteName &Route) {
  CallResponseMessage Message;
  Message.Id = Id;
  Message.Response = Answer;
  Message.Report = reportFor(Route);
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::CallResponse),
                   base::encode(Message)});
}

void ServingService::dropDeparted(const overload::DequeuedEntry &Left) {
  refuse(Left.Entry.Id, kindOf(Left.Reason));
}

LoadReport ServingService::reportFor(const overload::RouteName &Route) const {
  LoadReport Report;
  Report.Level = Levels.responseLevel(Route, Admission.level());
  Report.Load = static_cast<std::uint32_t>(Pending.size() + Running.size());
  return Report;
}

} // namespace node
