#include "model.h"

#include <doctest/doctest.h>

namespace execution::model {

using namespace std::chrono_literals;
using base::Outcome;

namespace {

constexpr base::Duration kTick = 100ms;

ResponsePtr answer(Outcome What) {
  Response Result;
  Result.Outcome = What;
  return std::make_shared<const Response>(Result);
}

} // namespace

World::World(std::uint64_t Seed, base::Duration Length)
    : Engine(Seed), End(Clock.now() + Length) {
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    Entries[Index].Id.Instance = base::InstanceId("e" + std::to_string(Index));
    restart(Entries[Index]);
  }
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    Servers[Index].Id.Instance = base::InstanceId("s" + std::to_string(Index));
    restart(Servers[Index]);
  }
  changeOwner();
  tickAll();
  disturb();
}

void World::run() {
  const base::BootTime LastRequest = End - 5min;
  while (Clock.now() < End && !Events.empty()) {
    auto Next = Events.extract(Events.begin());
    if (Next.key() > Clock.now())
      Clock.advance(Next.key() - Clock.now());
    Next.mapped()();
    if (Clock.now() < LastRequest && chance(4))
      addRequest();
  }
}

void World::at(base::Duration Delay, Step Next) {
  Events.emplace(Clock.now() + Delay, std::move(Next));
}

void World::onHost(Host &Where, base::Duration Delay, Step Next) {
  at(Delay, [this, &Where, Next = std::move(Next)] {
    if (Where.FrozenUntil > Clock.now())
      onHost(Where, Where.FrozenUntil - Clock.now(), Next);
    else
      Next();
  });
}

void World::onProcess(Host &Where, base::Duration Delay, Step Next) {
  onHost(Where, Delay, [&Where, Id = Where.Id, Next = std::move(Next)] {
    if (Where.Id == Id)
      Next();
  });
}

void World::transmit(Host &To, ConnectionId Over, const Step &Arrival) {
  const bool Lost = chance(Broken.contains(Over) ? 60 : 3);
  const int Copies = Lost ? 0 : 1 + static_cast<int>(chance(5));
  for (int Copy = 0; Copy < Copies; ++Copy) {
    base::Duration Delay = upTo(20ms);
    if (chance(5))
      Delay = upTo(chance(20) ? 5min : 3s);
    onHost(To, Delay, Arrival);
  }
}

ConnectionId World::connect(Entry &From) {
  const ConnectionId Id(++LastConnection);
  Openers[Id] = &From;
  if (chance(70))
    return Id;
  const base::Duration Until = upTo(2s);
  at(Until, [this, Id] { Broken.insert(Id); });
  // A connection that breaks is noticed at once, a silent one by its pings.
  onProcess(From, Until + (chance(50) ? 0s : 3s), [this, &From, Id] {
    From.Calls->onConnectionLost(Id);
    drain(From);
  });
  return Id;
}

void World::addRequest() {
  auto New = std::make_unique<Request>();
  Request &Each = *New;
  Requests.push_back(std::move(New));
  Each.Idempotent = chance(30);
  base::fillRandom(Each.Key.Key.Bytes);
  const auto Minted = Clock.wallNow().time_since_epoch() + upTo(5s) - 3s;
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Minted).count();
  for (std::size_t Index = 6; Index-- > 0; Left >>= 8)
    Each.Key.Key.Bytes[Index] = static_cast<std::uint8_t>(Left);
  const int Repeats = Each.Idempotent ? 1 : 1 + static_cast<int>(Engine() % 5);
  for (int Index = 0; Index < Repeats; ++Index) {
    Entry &From = Entries[Engine() % Entries.size()];
    onHost(From, upTo(chance(30) ? 13min : 3s),
           [this, &From, &Each] { startAttempt(From, Each); });
  }
}

void World::startAttempt(Entry &From, Request &Of) {
  auto New = std::make_shared<Attempt>();
  New->Of = &Of;
  if (Of.Idempotent) {
    makeCall(From, New);
    return;
  }
  New->Keyed = From.Attempts->begin(Of.Key, {});
  From.ByAttempt[*New->Keyed] = New;
  drain(From);
}

void World::makeCall(Entry &From, const std::shared_ptr<Attempt> &For) {
  Server &To = Servers[Engine() % Servers.size()];
  CallContext Call;
  const base::Duration TimeLeft = 500ms + upTo(20s);
  Call.Identity =
      From.Calls->open({To.Id, Clock.now() + TimeLeft, For->Of->Idempotent});
  Call.TimeLeftMicros = TimeLeft / 1us;
  const base::RequestId Id = Call.Identity.Id;
  For->Calls.push_back(Id);
  From.ByCall[Id] = For;
  RequestOf[Id] = For->Of;
  if (chance(5))
    From.Calls->cancel(Id);
  if (chance(5))
    From.Calls->onConnectFailed(Id);
  const ConnectionId Over = connect(From);
  if (From.Calls->beginSend(Id, Over))
    transmit(To, Over, [=, this, &To] { onCall(To, Call, Over); });
  if (chance(5))
    onProcess(From, upTo(3s), [this, &From, Id] {
      From.Calls->cancel(Id);
      drain(From);
    });
  drain(From);
}

void World::drain(Entry &From) {
  for (const CallAction &Action : From.Calls->takeActions())
    perform(From, Action);
  for (const AttemptAction &Action : From.Attempts->takeActions())
    perform(From, Action);
}

void World::perform(Entry &From, const CallAction &Action) {
  if (const auto *Fencing = std::get_if<SendFence>(&Action))
    sendFence(From, Fencing->Message);
  else
    onSettled(From, std::get<CallCompleted>(Action));
}

void World::perform(Entry &From, const AttemptAction &Action) {
  if (const auto *Begin = std::get_if<SendBegin>(&Action)) {
    transmit(Shard, {}, [=, this, &From, Message = Begin->Message] {
      onBegin(From, Message);
    });
  } else if (const auto *Finish = std::get_if<SendFinish>(&Action)) {
    transmit(Shard, {}, [=, this, &From, Message = Finish->Message] {
      onFinish(From, Message);
    });
  } else {
    const auto &Decided = std::get<AttemptDecided>(Action);
    const auto Keyed = From.ByAttempt.at(Decided.Attempt);
    ++Seen[Decided.mayRun() ? "attempt runs" : "attempt refused"];
    if (Decided.mayRun())
      onProcess(From, upTo(1s), [=, this, &From] { makeCall(From, Keyed); });
  }
}

void World::sendFence(Entry &From, const Fence &Message) {
  if (chance(10)) {
    From.Calls->onConnectFailed(Message.Identity.Id);
    drain(From);
    return;
  }
  for (Server &To : Servers) {
    if (To.Id.Instance != Message.Identity.Target.Instance)
      continue;
    const ConnectionId Over = connect(From);
    From.Calls->onFenceSent(Message.Identity.Id, Over);
    transmit(To, Over, [=, this, &To] { onFence(To, Message, Over); });
  }
}

void World::onSettled(Entry &From, const CallCompleted &Settled) {
  const auto For = From.ByCall.at(Settled.Id);
  const CallCompletion &Verdict = Settled.Completion;
  ++Seen[std::string("call ") + base::outcomeName(Verdict.Outcome).data()];
  For->What = combineOutcomes(For->What, Verdict.Outcome);
  if (Verdict.Outcome == Outcome::NotRun)
    claimNotRun(Settled.Id);
  if (Verdict.Outcome == Outcome::Ran)
    REQUIRE(Executions[Settled.Id] == 1);
  if (Verdict.MayRetry && For->Calls.size() < 4)
    onProcess(From, upTo(100ms), [=, this, &From] { makeCall(From, For); });
  else
    conclude(From, *For);
}

void World::conclude(Entry &From, Attempt &Done) {
  for (const base::RequestId &Call : Done.Calls)
    if (Done.What == Outcome::NotRun)
      claimNotRun(Call);
  if (Done.Keyed)
    From.Attempts->finish(*Done.Keyed, Done.What, Response{});
}

void World::claimNotRun(const base::RequestId &Call) {
  REQUIRE(Executions[Call] == 0);
  ClaimedNotRun.insert(Call);
}

void World::onCall(Server &At, const CallContext &Call, ConnectionId Over) {
  const base::RequestId Id = Call.Identity.Id;
  const AdmitResult Verdict = At.Table->admit(Call, Over);
  if (Verdict == AdmitResult::Refused)
    respond(At, Id, answer(Outcome::NotRun));
  if (Verdict == AdmitResult::Queued)
    onProcess(At, upTo(chance(20) ? 15s : 200ms),
              [=, this, &At] { onTurn(At, Id); });
}

void World::onTurn(Server &At, const base::RequestId &Call) {
  if (chance(10) && At.Table->withdraw(Call)) {
    respond(At, Call, answer(Outcome::NotRun));
    return;
  }
  const StartResult Verdict = At.Table->start(Call);
  if (Verdict == StartResult::Expired)
    respond(At, Call, answer(Outcome::NotRun));
  if (Verdict != StartResult::Started)
    return;
  const base::Duration RunsAt = upTo(chance(20) ? 20s : 300ms);
  const Outcome What = chance(5)    ? Outcome::NotRun
                       : chance(10) ? Outcome::Unknown
                                    : Outcome::Ran;
  // The backend server executes what it got even if its daemon dies.
  if (What == Outcome::Ran || (What == Outcome::Unknown && chance(50)))
    at(RunsAt, [=, this] { execute(Call); });
  onProcess(At, RunsAt + 1ms, [=, this, &At] {
    REQUIRE(At.Table->finish(Call, answer(What)));
    respond(At, Call, answer(What));
  });
}

void World::execute(const base::RequestId &Call) {
  Request &Of = *RequestOf.at(Call);
  REQUIRE(++Executions[Call] == 1);
  REQUIRE_FALSE(ClaimedNotRun.contains(Call));
  ++Of.Executions;
  if (!Of.Idempotent)
    REQUIRE(Of.Executions == 1);
}

void World::respond(Server &At, const base::RequestId &Call,
                    const ResponsePtr &Answer) {
  const ConnectionId Over = At.Table->replyConnection(Call).value();
  Entry &To = *Openers.at(Over);
  transmit(To, Over, [=, this, &To] {
    ++Seen[To.Calls->onResponse(Call, Answer) ? "response" : "late"];
    drain(To);
  });
}

void World::onFence(Server &At, const Fence &Message, ConnectionId Over) {
  const FenceResult Verdict = At.Table->fence(Message, Over);
  FenceReply Reply{Message.Identity.Id, Verdict.State, {}};
  if (Verdict.Response)
    Reply.StoredResponse = *Verdict.Response;
  ++Seen["fence " + std::to_string(static_cast<int>(Reply.State))];
  Entry &To = *Openers.at(Over);
  transmit(To, Over, [=, this, &To] {
    To.Calls->onFenceReply(Reply);
    drain(To);
  });
}

void World::onBegin(Entry &From, const IdempotencyBegin &Message) {
  const IdempotencyReply Reply = Shard.Table->begin(Message);
  ++Seen["begin " + std::to_string(static_cast<int>(Reply.Decision))];
  // What the owner claims has to be true when it decides.
  if (const auto Asking = From.ByAttempt.find(Message.Attempt);
      Asking != From.ByAttempt.end()) {
    using enum IdempotencyDecision;
    const int Count = Asking->second->Of->Executions;
    if (Reply.Decision == Full)
      REQUIRE(Count == 0);
    if (Reply.Decision == Finished || Reply.Decision == ResponseNotHeld)
      REQUIRE(Count == 1);
  }
  transmit(From, {}, [=, this, &From] {
    From.Attempts->onReply(Reply);
    drain(From);
  });
}

void World::onFinish(Entry &From, const IdempotencyFinish &Message) {
  Shard.Table->finish(Message);
  transmit(From, {},
           [=, &From] { From.Attempts->onFinishAck(Message.Attempt); });
}

void World::restart(Entry &Which) {
  Which.Id.Epoch = base::Incarnation(Which.Id.Epoch.value() + 1);
  Which.FrozenUntil = Clock.now();
  Which.Calls = std::make_unique<CallTracker>(Clock, Which.Id);
  Which.Attempts = std::make_unique<AttemptTracker>(Clock);
  Which.ByCall.clear();
  Which.ByAttempt.clear();
}

void World::restart(Server &Which) {
  // Far below the real limits, so that records are forgotten while frames
  // about them are still under way.
  const ExecutionLimits Limits{.ResponseRetention = 2s,
                               .ResponseBytes = 2000,
                               .OutcomeRetention = 30s,
                               .SettledCalls = 50,
                               .OpenCalls = 12};
  Which.Id.Epoch = base::Incarnation(Which.Id.Epoch.value() + 1);
  Which.FrozenUntil = Clock.now();
  Which.Table = std::make_unique<ExecutionTable>(Clock, Which.Id, Limits);
}

void World::changeOwner() {
  Shard.Table.reset();
  Shard.Time = std::make_unique<SkewedClock>(Clock, upTo(2s) - 1s);
  Shard.Table = std::make_unique<IdempotencyTable>(*Shard.Time, Memory);
}

void World::disturb() {
  Entry &SomeEntry = Entries[Engine() % Entries.size()];
  Server &SomeServer = Servers[Engine() % Servers.size()];
  switch (Engine() % 8) {
  case 0:
    restart(SomeEntry);
    break;
  case 1:
    restart(SomeServer);
    break;
  case 2:
    changeOwner();
    break;
  case 3:
    SomeEntry.FrozenUntil = Clock.now() + upTo(chance(5) ? 80min : 15s);
    break;
  case 4:
    SomeServer.FrozenUntil = Clock.now() + upTo(15s);
    break;
  case 5:
    Shard.FrozenUntil = Clock.now() + upTo(15s);
    break;
  default:
    break;
  }
  at(upTo(40s), [this] { disturb(); });
}

void World::tickAll() {
  for (Entry &Each : Entries)
    if (Each.FrozenUntil <= Clock.now()) {
      Each.Calls->tick();
      Each.Attempts->tick();
      drain(Each);
    }
  for (Server &Each : Servers)
    if (Each.FrozenUntil <= Clock.now())
      Each.Table->tick();
  Shard.Table->tick();
  at(kTick, [this] { tickAll(); });
}

} // namespace execution::model
