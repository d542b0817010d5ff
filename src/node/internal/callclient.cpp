#include "node/callclient.h"

#include <algorithm>
#include <random>
#include <thread>

namespace node {

namespace {

using namespace std::chrono_literals;

/// How often a pending call checks whether its caller has disconnected.
constexpr auto kCallerCheckInterval = 20ms;

execution::CallCompletion failedCompletion(base::ErrorKind Kind) {
  execution::CallCompletion Completion;
  Completion.Outcome = base::Outcome::NotRun;
  Completion.Error = Kind;
  Completion.MayRetry = true;
  return Completion;
}

transport::Frame makeFrame(MessageType Type, std::string Body) {
  return {static_cast<std::uint8_t>(Type), std::move(Body)};
}

std::uint64_t microseconds(base::Duration Value) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Micros));
}

} // namespace

CallClient::CallClient(Runtime &Shared, UpstreamSelector &Selector)
    : Shared(Shared), Selector(Selector), Tracker(Shared.Clock, Shared.Self),
      Budgets(Shared.Clock), Policy(Shared.Clock, std::random_device()()) {}

OutgoingCallResult CallClient::call(const OutgoingCall &Call,
                                    retry::RetryAllowance &Allowance,
                                    const http::CallerConnection &Caller) {
  OutgoingCallResult Result;
  std::vector<base::ProcessId> Attempted;
  base::Outcome CombinedOutcome = base::Outcome::NotRun;
  {
    std::lock_guard Lock(Mutex);
    Budgets.budget(Call.Service, Call.Scope.Workspace)
        .recordFirstAttempt(Shared.Clock.now());
  }
  for (;;) {
    const auto Target = Selector.choose(
        Call.Service, {Call.Deadline, Attempted, Call.Request.Body.size()});
    if (!Target) {
      // The refusal of an earlier attempt tells the caller more than the lack
      // of another upstream.
      if (Result.Attempts == 0)
        Result.Completion = failedCompletion(base::ErrorKind::NoUpstream);
      return Result;
    }
    retry::AllowanceGrant Grant = Allowance.grant();
    ++Result.Attempts;
    Result.Completion =
        attempt(Call, *Target, Grant.units(), Caller, Result.Report);
    const execution::ResponsePtr &Response = Result.Completion.Response;
    Allowance.reclaim(std::move(Grant),
                      Response ? Response->UnusedAllowance : 0);
    // An earlier attempt may have run even if the last one did not.
    CombinedOutcome =
        execution::combineOutcomes(CombinedOutcome, Result.Completion.Outcome);
    Result.Completion.Outcome = CombinedOutcome;
    if (!Result.Completion.Error || !Result.Completion.MayRetry)
      return Result;
    Attempted.push_back(Target->Process);

    retry::RetryDecision Decision;
    {
      std::lock_guard Lock(Mutex);
      Decision = Policy.decide(
          {*Result.Completion.Error, Result.Completion.Outcome, Call.Idempotent,
           Result.Attempts - 1, Call.Deadline},
          Allowance, Budgets.budget(Call.Service, Call.Scope.Workspace));
    }
    if (!Decision.shouldRetry())
      return Result;
    Shared.Metrics.counter("call_retries_total").add();
    std::this_thread::sleep_for(Decision.Delay);
  }
}

execution::CallCompletion CallClient::attempt(
    const OutgoingCall &Call, const routing::UpstreamChoice &Target,
    std::uint32_t GrantedRetries, const http::CallerConnection &Caller,
    std::optional<LoadReport> &Report) {
  const base::BootTime Started = Shared.Clock.now();
  auto Pending = std::make_shared<PendingAttempt>();
  Pending->Target = Target.Peer;
  execution::CallSpec Spec;
  Spec.Target = Target.Process;
  Spec.Deadline = std::min(Call.Deadline, Started + Call.AttemptTimeout);
  Spec.Idempotent = Call.Idempotent;
  std::unique_lock Lock(Mutex);
  const execution::CallIdentity Identity = Tracker.open(Spec);
  PendingAttempts.emplace(Identity.Id, Pending);
  Lock.unlock();
  // Encoding a large body takes milliseconds, so the lock isn't held meanwhile.
  std::string Body = encodeCall(Call, Identity, GrantedRetries);
  Lock.lock();
  sendCall(Target, Identity.Id, std::move(Body));
  runActions();
  execution::CallCompletion Completion =
      waitForCompletion(Lock, *Pending, Identity.Id, Caller);
  PendingAttempts.erase(Identity.Id);
  if (Pending->Report)
    Report = Pending->Report;
  Lock.unlock();
  Selector.recordCompletion(
      Target, Completion,
      Pending->Report ? static_cast<std::int32_t>(Pending->Report->Load) : -1);
  return Completion;
}

std::string CallClient::encodeCall(const OutgoingCall &Call,
                                   const execution::CallIdentity &Identity,
                                   std::uint32_t GrantedRetries) const {
  CallMessage Message;
  Message.Context.Identity = Identity;
  Message.Context.Scope = Call.Scope;
  Message.Context.Service = Call.Service;
  Message.Context.TimeLeftMicros =
      microseconds(Call.Deadline - Shared.Clock.now());
  Message.Context.RetryAllowance = GrantedRetries;
  Message.Context.Depth = Call.Depth;
  Message.Context.Idempotent = Call.Idempotent;
  Message.Route = Call.Route;
  Message.PriorWaitMicros = microseconds(Call.PriorWait);
  Message.Request = Call.Request;
  return base::encode(Message);
}

void CallClient::sendCall(const routing::UpstreamChoice &Target,
                          const base::CallId &Id, std::string Body) {
  const transport::ConnectionId Connection =
      Transport->connectionTo(Target.Peer);
  if (!Tracker.beginSend(Id, execution::ConnectionId(Connection.value())))
    return;
  if (!Transport->send(Connection,
                       makeFrame(MessageType::Call, std::move(Body))))
    Tracker.onConnectFailed(Id);
}

execution::CallCompletion
CallClient::waitForCompletion(std::unique_lock<std::mutex> &Lock,
                              PendingAttempt &Pending, const base::CallId &Id,
                              const http::CallerConnection &Caller) {
  bool Cancelled = false;
  while (!Pending.Completion) {
    Pending.Completed.wait_for(Lock, kCallerCheckInterval);
    if (Pending.Completion || Cancelled || !Caller.closed())
      continue;
    Cancelled = true;
    Shared.Metrics.counter("calls_cancelled_total").add();
    Tracker.cancel(Id);
    runActions();
  }
  return *Pending.Completion;
}

void CallClient::runActions() {
  for (execution::CallAction &Action : Tracker.takeActions()) {
    if (auto *Completed = std::get_if<execution::CallCompleted>(&Action)) {
      const auto Found = PendingAttempts.find(Completed->Id);
      if (Found == PendingAttempts.end())
        continue;
      Found->second->Completion = std::move(Completed->Completion);
      Found->second->Completed.notify_all();
      continue;
    }
    const execution::Fence &Fence =
        std::get<execution::SendFence>(Action).Message;
    const auto Found = PendingAttempts.find(Fence.Identity.Id);
    if (Found == PendingAttempts.end())
      continue;
    const transport::ConnectionId Connection =
        Transport->connectionTo(Found->second->Target);
    Tracker.onFenceSent(Fence.Identity.Id,
                        execution::ConnectionId(Connection.value()));
    if (!Transport->send(Connection,
                         makeFrame(MessageType::Fence, base::encode(Fence))))
      Tracker.onConnectFailed(Fence.Identity.Id);
  }
}

void CallClient::onResponse(const CallResponseMessage &Message) {
  std::lock_guard Lock(Mutex);
  const auto Found = PendingAttempts.find(Message.Id);
  if (Found != PendingAttempts.end() && Message.Report.Level.valid())
    Found->second->Report = Message.Report;
  if (!Tracker.onResponse(
          Message.Id, std::make_shared<execution::Response>(Message.Response)))
    Shared.Metrics.counter("responses_unmatched_total").add();
  runActions();
}

void CallClient::onFenceReply(const execution::FenceReply &Reply) {
  std::lock_guard Lock(Mutex);
  Tracker.onFenceReply(Reply);
  runActions();
}

void CallClient::onConnectionClosed(transport::ConnectionId Connection) {
  std::lock_guard Lock(Mutex);
  Tracker.onConnectionLost(execution::ConnectionId(Connection.value()));
  runActions();
}

void CallClient::tick() {
  std::lock_guard Lock(Mutex);
  Tracker.tick();
  runActions();
}

std::size_t CallClient::openCalls() const {
  std::lock_guard Lock(Mutex);
  return Tracker.size();
}

} // namespace node
