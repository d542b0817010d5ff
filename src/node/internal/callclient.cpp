#include "node/callclient.h"

#include <algorithm>
#include <random>
#include <thread>

namespace node {

namespace {

using namespace std::chrono_literals;

/// How often a waiting call looks whether its caller has gone.
constexpr auto kCallerCheckInterval = 20ms;

execution::CallCompletion failedVerdict(base::ErrorKind Kind) {
  execution::CallCompletion Verdict;
  Verdict.Outcome = base::Outcome::NotRun;
  Verdict.Error = Kind;
  Verdict.MayRetry = true;
  return Verdict;
}

transport::Frame makeFrame(MessageType Type, std::string Body) {
  return {static_cast<std::uint8_t>(Type), std::move(Body)};
}

std::uint64_t microseconds(base::Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Count));
}

} // namespace

CallClient::CallClient(Runtime &Shared, Upstreams &Choice)
    : Shared(Shared), Choice(Choice), Tracker(Shared.Time, Shared.Self),
      Budgets(Shared.Time), Policy(Shared.Time, std::random_device()()) {}

CallResult CallClient::call(const OutgoingCall &Call,
                            retry::RetryAllowance &Allowance,
                            const http::CallerConnection &Caller) {
  CallResult Result;
  std::vector<base::ProcessId> Tried;
  base::Outcome Overall = base::Outcome::NotRun;
  {
    std::lock_guard Lock(Mutex);
    Budgets.budget(Call.Service, Call.Scope.Workspace)
        .recordFirstAttempt(Shared.Time.now());
  }
  for (;;) {
    const auto Target = Choice.choose(
        Call.Service, {Call.Deadline, Tried, Call.Request.Body.size()});
    if (!Target) {
      // Refusals of earlier attempts say more than that no other is left.
      if (Result.Attempts == 0)
        Result.Verdict = failedVerdict(base::ErrorKind::NoUpstream);
      return Result;
    }
    retry::AllowanceGrant Grant = Allowance.grant();
    ++Result.Attempts;
    Result.Verdict =
        attempt(Call, *Target, Grant.units(), Caller, Result.Report);
    const execution::ResponsePtr &Answer = Result.Verdict.Response;
    Allowance.reclaim(std::move(Grant), Answer ? Answer->UnusedAllowance : 0);
    // An earlier attempt may have run even if the last one did not.
    Overall = execution::combineOutcomes(Overall, Result.Verdict.Outcome);
    Result.Verdict.Outcome = Overall;
    if (!Result.Verdict.Error || !Result.Verdict.MayRetry)
      return Result;
    Tried.push_back(Target->Process);

    retry::RetryDecision Decision;
    {
      std::lock_guard Lock(Mutex);
      Decision = Policy.decide(
          {*Result.Verdict.Error, Result.Verdict.Outcome, Call.Idempotent,
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
    std::uint32_t AllowanceUnits, const http::CallerConnection &Caller,
    std::optional<LoadReport> &Report) {
  const base::BootTime Started = Shared.Time.now();
  auto Waiting = std::make_shared<Waiter>();
  Waiting->Target = Target.Peer;
  execution::CallSpec Spec;
  Spec.Target = Target.Process;
  Spec.Deadline = std::min(Call.Deadline, Started + Call.AttemptTimeout);
  Spec.Idempotent = Call.Idempotent;
  std::unique_lock Lock(Mutex);
  const execution::CallIdentity Identity = Tracker.open(Spec);
  Waiters.emplace(Identity.Id, Waiting);
  Lock.unlock();
  // Encoding a large body takes milliseconds, so it is done without the lock.
  std::string Body = encodeCall(Call, Identity, AllowanceUnits);
  Lock.lock();
  transmit(Target, Identity.Id, std::move(Body));
  runActions();
  execution::CallCompletion Verdict = wait(Lock, *Waiting, Identity.Id, Caller);
  Waiters.erase(Identity.Id);
  if (Waiting->Report)
    Report = Waiting->Report;
  Lock.unlock();
  Choice.finished(
      Target, Verdict,
      Waiting->Report ? static_cast<std::int32_t>(Waiting->Report->Load) : -1);
  return Verdict;
}

std::string CallClient::encodeCall(const OutgoingCall &Call,
                                   const execution::CallIdentity &Identity,
                                   std::uint32_t AllowanceUnits) const {
  CallMessage Message;
  Message.Context.Identity = Identity;
  Message.Context.Scope = Call.Scope;
  Message.Context.Service = Call.Service;
  Message.Context.TimeLeftMicros =
      microseconds(Call.Deadline - Shared.Time.now());
  Message.Context.RetryAllowance = AllowanceUnits;
  Message.Context.Depth = Call.Depth;
  Message.Context.Idempotent = Call.Idempotent;
  Message.Route = Call.Route;
  Message.WaitedMicros = microseconds(Call.WaitedBefore);
  Message.Request = Call.Request;
  return base::encode(Message);
}

void CallClient::transmit(const routing::UpstreamChoice &Target,
                          const base::RequestId &Id, std::string Body) {
  const transport::ConnectionId Connection =
      Transport->connectionTo(Target.Peer);
  if (!Tracker.beginSend(Id, execution::ConnectionId(Connection.value())))
    return;
  if (!Transport->send(Connection,
                       makeFrame(MessageType::Call, std::move(Body))))
    Tracker.onConnectFailed(Id);
}

execution::CallCompletion
CallClient::wait(std::unique_lock<std::mutex> &Lock, Waiter &Waiting,
                 const base::RequestId &Id,
                 const http::CallerConnection &Caller) {
  bool Cancelled = false;
  while (!Waiting.Verdict) {
    Waiting.Settled.wait_for(Lock, kCallerCheckInterval);
    if (Waiting.Verdict || Cancelled || !Caller.closed())
      continue;
    Cancelled = true;
    Shared.Metrics.counter("calls_cancelled_total").add();
    Tracker.cancel(Id);
    runActions();
  }
  return *Waiting.Verdict;
}

void CallClient::runActions() {
  for (execution::CallAction &Action : Tracker.takeActions()) {
    if (auto *Settled = std::get_if<execution::CallCompleted>(&Action)) {
      const auto Found = Waiters.find(Settled->Id);
      if (Found == Waiters.end())
        continue;
      Found->second->Verdict = std::move(Settled->Completion);
      Found->second->Settled.notify_all();
      continue;
    }
    const execution::Fence &Fence =
        std::get<execution::SendFence>(Action).Message;
    const auto Found = Waiters.find(Fence.Identity.Id);
    if (Found == Waiters.end())
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
  const auto Found = Waiters.find(Message.Id);
  if (Found != Waiters.end() && Message.Report.Level.valid())
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
