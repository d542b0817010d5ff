#include "execution/tests/simulation.h"

#include <doctest/doctest.h>

namespace execution::simulation {

using namespace std::chrono_literals;
using base::Outcome;

namespace {

constexpr base::Duration kTickInterval = 100ms;

ResponsePtr makeResponse(Outcome Expected) {
  Response Result;
  Result.Outcome = Expected;
  return std::make_shared<const Response>(Result);
}

} // namespace

Simulation::Simulation(std::uint64_t Seed, base::Duration Length)
    : Engine(Seed), End(Clock.now() + Length) {
  for (std::size_t Index = 0; Index < EntryDaemons.size(); ++Index) {
    EntryDaemons[Index].Id.Instance =
        base::InstanceId("e" + std::to_string(Index));
    restart(EntryDaemons[Index]);
  }
  for (std::size_t Index = 0; Index < ServingDaemons.size(); ++Index) {
    ServingDaemons[Index].Id.Instance =
        base::InstanceId("s" + std::to_string(Index));
    restart(ServingDaemons[Index]);
  }
  changeOwner();
  tickAll();
  injectFault();
}

void Simulation::run() {
  const base::BootTime LastRequest = End - 5min;
  while (Clock.now() < End && !Events.empty()) {
    auto NextEvent = Events.extract(Events.begin());
    if (NextEvent.key() > Clock.now())
      Clock.advance(NextEvent.key() - Clock.now());
    NextEvent.mapped()();
    if (Clock.now() < LastRequest && randomBool(4))
      addRequest();
  }
}

void Simulation::schedule(base::Duration Delay, EventHandler Handler) {
  Events.emplace(Clock.now() + Delay, std::move(Handler));
}

void Simulation::scheduleOnHost(Host &Target, base::Duration Delay,
                                EventHandler Handler) {
  schedule(Delay, [this, &Target, Handler = std::move(Handler)] {
    if (Target.PausedUntil > Clock.now())
      scheduleOnHost(Target, Target.PausedUntil - Clock.now(), Handler);
    else
      Handler();
  });
}

void Simulation::scheduleOnProcess(Host &Target, base::Duration Delay,
                                   EventHandler Handler) {
  scheduleOnHost(Target, Delay,
                 [&Target, Id = Target.Id, Handler = std::move(Handler)] {
                   if (Target.Id == Id)
                     Handler();
                 });
}

void Simulation::transmit(Host &Receiver, ConnectionId Connection,
                          const EventHandler &Handler) {
  const bool Lost = randomBool(BrokenConnections.contains(Connection) ? 60 : 3);
  const int Copies = Lost ? 0 : 1 + static_cast<int>(randomBool(5));
  for (int Copy = 0; Copy < Copies; ++Copy) {
    base::Duration Delay = randomDuration(20ms);
    if (randomBool(5))
      Delay = randomDuration(randomBool(20) ? 5min : 3s);
    scheduleOnHost(Receiver, Delay, Handler);
  }
}

ConnectionId Simulation::connect(EntryDaemon &Daemon) {
  const ConnectionId Id(++LastConnection);
  ConnectionOwners[Id] = &Daemon;
  if (randomBool(70))
    return Id;
  const base::Duration BreakTime = randomDuration(2s);
  schedule(BreakTime, [this, Id] { BrokenConnections.insert(Id); });
  // A closed connection is detected at once, a silent one when its pings time
  // out.
  scheduleOnProcess(Daemon, BreakTime + (randomBool(50) ? 0s : 3s),
                    [this, &Daemon, Id] {
                      Daemon.Calls->onConnectionLost(Id);
                      performActions(Daemon);
                    });
  return Id;
}

void Simulation::addRequest() {
  auto New = std::make_unique<Request>();
  Request &Added = *New;
  Requests.push_back(std::move(New));
  Added.Idempotent = randomBool(30);
  base::fillRandom(Added.Key.Key.Bytes);
  const auto Timestamp =
      Clock.wallNow().time_since_epoch() + randomDuration(5s) - 3s;
  auto Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timestamp).count();
  for (std::size_t Index = 6; Index-- > 0; Remaining >>= 8)
    Added.Key.Key.Bytes[Index] = static_cast<std::uint8_t>(Remaining);
  const int AttemptCount =
      Added.Idempotent ? 1 : 1 + static_cast<int>(Engine() % 5);
  for (int Index = 0; Index < AttemptCount; ++Index) {
    EntryDaemon &Daemon = EntryDaemons[Engine() % EntryDaemons.size()];
    scheduleOnHost(Daemon, randomDuration(randomBool(30) ? 13min : 3s),
                   [this, &Daemon, &Added] { startAttempt(Daemon, Added); });
  }
}

void Simulation::startAttempt(EntryDaemon &Daemon, Request &SourceRequest) {
  auto New = std::make_shared<Attempt>();
  New->SourceRequest = &SourceRequest;
  if (SourceRequest.Idempotent) {
    makeCall(Daemon, New);
    return;
  }
  New->KeyedAttempt = Daemon.Attempts->begin(SourceRequest.Key, {});
  Daemon.ByAttempt[*New->KeyedAttempt] = New;
  performActions(Daemon);
}

void Simulation::makeCall(EntryDaemon &Daemon,
                          const std::shared_ptr<Attempt> &CurrentAttempt) {
  ServingDaemon &Receiver = ServingDaemons[Engine() % ServingDaemons.size()];
  CallContext Call;
  const base::Duration TimeLeft = 500ms + randomDuration(20s);
  Call.Identity =
      Daemon.Calls->open({Receiver.Id, Clock.now() + TimeLeft,
                          CurrentAttempt->SourceRequest->Idempotent});
  Call.TimeLeftMicros = TimeLeft / 1us;
  const base::CallId Id = Call.Identity.Id;
  CurrentAttempt->Calls.push_back(Id);
  Daemon.ByCall[Id] = CurrentAttempt;
  RequestByCall[Id] = CurrentAttempt->SourceRequest;
  if (randomBool(5))
    Daemon.Calls->cancel(Id);
  if (randomBool(5))
    Daemon.Calls->onConnectFailed(Id);
  const ConnectionId Connection = connect(Daemon);
  if (Daemon.Calls->beginSend(Id, Connection))
    transmit(Receiver, Connection,
             [=, this, &Receiver] { onCall(Receiver, Call, Connection); });
  if (randomBool(5))
    scheduleOnProcess(Daemon, randomDuration(3s), [this, &Daemon, Id] {
      Daemon.Calls->cancel(Id);
      performActions(Daemon);
    });
  performActions(Daemon);
}

void Simulation::performActions(EntryDaemon &Daemon) {
  for (const CallAction &Action : Daemon.Calls->takeActions())
    perform(Daemon, Action);
  for (const AttemptAction &Action : Daemon.Attempts->takeActions())
    perform(Daemon, Action);
}

void Simulation::perform(EntryDaemon &Daemon, const CallAction &Action) {
  if (const auto *FenceAction = std::get_if<SendFence>(&Action))
    sendFence(Daemon, FenceAction->Message);
  else
    onCallCompleted(Daemon, std::get<CallCompleted>(Action));
}

void Simulation::perform(EntryDaemon &Daemon, const AttemptAction &Action) {
  if (const auto *Begin = std::get_if<SendBegin>(&Action)) {
    transmit(Shard, {}, [=, this, &Daemon, Message = Begin->Message] {
      onBegin(Daemon, Message);
    });
  } else if (const auto *Finish = std::get_if<SendFinish>(&Action)) {
    transmit(Shard, {}, [=, this, &Daemon, Message = Finish->Message] {
      onFinish(Daemon, Message);
    });
  } else {
    const auto &Decision = std::get<AttemptDecided>(Action);
    const auto KeyedAttempt = Daemon.ByAttempt.at(Decision.Attempt);
    ++EventCounts[Decision.mayRun() ? "attempt runs" : "attempt refused"];
    if (Decision.mayRun())
      scheduleOnProcess(Daemon, randomDuration(1s),
                        [=, this, &Daemon] { makeCall(Daemon, KeyedAttempt); });
  }
}

void Simulation::sendFence(EntryDaemon &Daemon, const Fence &Message) {
  if (randomBool(10)) {
    Daemon.Calls->onConnectFailed(Message.Identity.Id);
    performActions(Daemon);
    return;
  }
  for (ServingDaemon &Receiver : ServingDaemons) {
    if (Receiver.Id.Instance != Message.Identity.Target.Instance)
      continue;
    const ConnectionId Connection = connect(Daemon);
    Daemon.Calls->onFenceSent(Message.Identity.Id, Connection);
    transmit(Receiver, Connection,
             [=, this, &Receiver] { onFence(Receiver, Message, Connection); });
  }
}

void Simulation::onCallCompleted(EntryDaemon &Daemon,
                                 const CallCompleted &Completed) {
  const auto CurrentAttempt = Daemon.ByCall.at(Completed.Id);
  const CallCompletion &Result = Completed.Completion;
  ++EventCounts[std::string("call ") +
                base::outcomeName(Result.Outcome).data()];
  CurrentAttempt->Outcome =
      combineOutcomes(CurrentAttempt->Outcome, Result.Outcome);
  if (Result.Outcome == Outcome::NotRun)
    recordNotRun(Completed.Id);
  if (Result.Outcome == Outcome::Ran)
    REQUIRE(Executions[Completed.Id] == 1);
  if (Result.MayRetry && CurrentAttempt->Calls.size() < 4)
    scheduleOnProcess(Daemon, randomDuration(100ms),
                      [=, this, &Daemon] { makeCall(Daemon, CurrentAttempt); });
  else
    finishAttempt(Daemon, *CurrentAttempt);
}

void Simulation::finishAttempt(EntryDaemon &Daemon, Attempt &Finished) {
  for (const base::CallId &Call : Finished.Calls)
    if (Finished.Outcome == Outcome::NotRun)
      recordNotRun(Call);
  if (Finished.KeyedAttempt)
    Daemon.Attempts->finish(*Finished.KeyedAttempt, Finished.Outcome,
                            Response{});
}

void Simulation::recordNotRun(const base::CallId &Call) {
  REQUIRE(Executions[Call] == 0);
  ReportedNotRun.insert(Call);
}

void Simulation::onCall(ServingDaemon &Daemon, const CallContext &Call,
                        ConnectionId Connection) {
  const base::CallId Id = Call.Identity.Id;
  const AdmitResult Result = Daemon.Table->admit(Call, Connection);
  if (Result == AdmitResult::Refused)
    respond(Daemon, Id, makeResponse(Outcome::NotRun));
  if (Result == AdmitResult::Queued)
    scheduleOnProcess(Daemon, randomDuration(randomBool(20) ? 15s : 200ms),
                      [=, this, &Daemon] { onDequeued(Daemon, Id); });
}

void Simulation::onDequeued(ServingDaemon &Daemon, const base::CallId &Call) {
  if (randomBool(10) && Daemon.Table->withdraw(Call)) {
    respond(Daemon, Call, makeResponse(Outcome::NotRun));
    return;
  }
  const StartResult Result = Daemon.Table->start(Call);
  if (Result == StartResult::Expired)
    respond(Daemon, Call, makeResponse(Outcome::NotRun));
  if (Result != StartResult::Started)
    return;
  const base::Duration RunTime = randomDuration(randomBool(20) ? 20s : 300ms);
  const Outcome ExecutionOutcome = randomBool(5)    ? Outcome::NotRun
                                   : randomBool(10) ? Outcome::Unknown
                                                    : Outcome::Ran;
  // The backend server executes a call that it has received even if its daemon
  // terminates.
  if (ExecutionOutcome == Outcome::Ran ||
      (ExecutionOutcome == Outcome::Unknown && randomBool(50)))
    schedule(RunTime, [=, this] { execute(Call); });
  scheduleOnProcess(Daemon, RunTime + 1ms, [=, this, &Daemon] {
    REQUIRE(Daemon.Table->finish(Call, makeResponse(ExecutionOutcome)));
    respond(Daemon, Call, makeResponse(ExecutionOutcome));
  });
}

void Simulation::execute(const base::CallId &Call) {
  Request &SourceRequest = *RequestByCall.at(Call);
  REQUIRE(++Executions[Call] == 1);
  REQUIRE_FALSE(ReportedNotRun.contains(Call));
  ++SourceRequest.Executions;
  if (!SourceRequest.Idempotent)
    REQUIRE(SourceRequest.Executions == 1);
}

void Simulation::respond(ServingDaemon &Daemon, const base::CallId &Call,
                         const ResponsePtr &ResponseToSend) {
  const ConnectionId Connection = Daemon.Table->replyConnection(Call).value();
  EntryDaemon &Receiver = *ConnectionOwners.at(Connection);
  transmit(Receiver, Connection, [=, this, &Receiver] {
    ++EventCounts[Receiver.Calls->onResponse(Call, ResponseToSend) ? "response"
                                                                   : "late"];
    performActions(Receiver);
  });
}

void Simulation::onFence(ServingDaemon &Daemon, const Fence &Message,
                         ConnectionId Connection) {
  const FenceResult Result = Daemon.Table->fence(Message, Connection);
  FenceReply Reply{Message.Identity.Id, Result.State, {}};
  if (Result.Response)
    Reply.StoredResponse = *Result.Response;
  ++EventCounts["fence " + std::to_string(static_cast<int>(Reply.State))];
  EntryDaemon &Receiver = *ConnectionOwners.at(Connection);
  transmit(Receiver, Connection, [=, this, &Receiver] {
    Receiver.Calls->onFenceReply(Reply);
    performActions(Receiver);
  });
}

void Simulation::onBegin(EntryDaemon &Daemon, const IdempotencyBegin &Message) {
  const IdempotencyReply Reply = Shard.Table->begin(Message);
  ++EventCounts["begin " + std::to_string(static_cast<int>(Reply.Decision))];
  // The shard owner's decision must be true at the time it is made.
  if (const auto Known = Daemon.ByAttempt.find(Message.Attempt);
      Known != Daemon.ByAttempt.end()) {
    using enum IdempotencyDecision;
    const int Count = Known->second->SourceRequest->Executions;
    if (Reply.Decision == Full)
      REQUIRE(Count == 0);
    if (Reply.Decision == Finished || Reply.Decision == ResponseNotStored)
      REQUIRE(Count == 1);
  }
  transmit(Daemon, {}, [=, this, &Daemon] {
    Daemon.Attempts->onReply(Reply);
    performActions(Daemon);
  });
}

void Simulation::onFinish(EntryDaemon &Daemon,
                          const IdempotencyFinish &Message) {
  Shard.Table->finish(Message);
  transmit(Daemon, {},
           [=, &Daemon] { Daemon.Attempts->onFinishAck(Message.Attempt); });
}

void Simulation::restart(EntryDaemon &Target) {
  Target.Id.Incarnation = base::Incarnation(Target.Id.Incarnation.value() + 1);
  Target.PausedUntil = Clock.now();
  Target.Calls = std::make_unique<CallTracker>(Clock, Target.Id);
  Target.Attempts = std::make_unique<AttemptTracker>(Clock);
  Target.ByCall.clear();
  Target.ByAttempt.clear();
}

void Simulation::restart(ServingDaemon &Target) {
  // Far below the default limits, so that records are removed while frames
  // about them are still in transit.
  const ExecutionLimits Limits{.ResponseRetention = 2s,
                               .ResponseBytes = 2000,
                               .OutcomeRetention = 30s,
                               .CompletedCalls = 50,
                               .OpenCalls = 12};
  Target.Id.Incarnation = base::Incarnation(Target.Id.Incarnation.value() + 1);
  Target.PausedUntil = Clock.now();
  Target.Table = std::make_unique<ExecutionTable>(Clock, Target.Id, Limits);
}

void Simulation::changeOwner() {
  Shard.Table.reset();
  Shard.Clock = std::make_unique<SkewedClock>(Clock, randomDuration(2s) - 1s);
  Shard.Table = std::make_unique<IdempotencyTable>(*Shard.Clock, Memory);
}

void Simulation::injectFault() {
  EntryDaemon &SomeEntryDaemon = EntryDaemons[Engine() % EntryDaemons.size()];
  ServingDaemon &SomeServingDaemon =
      ServingDaemons[Engine() % ServingDaemons.size()];
  switch (Engine() % 8) {
  case 0:
    restart(SomeEntryDaemon);
    break;
  case 1:
    restart(SomeServingDaemon);
    break;
  case 2:
    changeOwner();
    break;
  case 3:
    SomeEntryDaemon.PausedUntil =
        Clock.now() + randomDuration(randomBool(5) ? 80min : 15s);
    break;
  case 4:
    SomeServingDaemon.PausedUntil = Clock.now() + randomDuration(15s);
    break;
  case 5:
    Shard.PausedUntil = Clock.now() + randomDuration(15s);
    break;
  default:
    break;
  }
  schedule(randomDuration(40s), [this] { injectFault(); });
}

void Simulation::tickAll() {
  for (EntryDaemon &Daemon : EntryDaemons)
    if (Daemon.PausedUntil <= Clock.now()) {
      Daemon.Calls->tick();
      Daemon.Attempts->tick();
      performActions(Daemon);
    }
  for (ServingDaemon &Daemon : ServingDaemons)
    if (Daemon.PausedUntil <= Clock.now())
      Daemon.Table->tick();
  Shard.Table->tick();
  schedule(kTickInterval, [this] { tickAll(); });
}

} // namespace execution::simulation
