#include "node/idempotencyclient.h"

#include "base/hash.h"

#include <algorithm>

namespace node {

namespace {

using namespace std::chrono_literals;
using execution::IdempotencyVerdict;

constexpr std::size_t kRecordMemoryBytes = 24 << 20;
constexpr base::Duration kAskTimeout = 500ms;
constexpr int kAskAttempts = 3;
constexpr base::Duration kTickInterval = 200ms;

/// What the caller is told; nothing if the attempt may run.
std::optional<execution::Response>
responseTo(const execution::IdempotencyReply &Reply) {
  using base::ErrorKind;
  using base::Outcome;
  switch (Reply.Verdict) {
  case IdempotencyVerdict::Run:
    return std::nullopt;
  case IdempotencyVerdict::Finished:
    if (Reply.Answer)
      return Reply.Answer;
    [[fallthrough]];
  case IdempotencyVerdict::ResponseNotHeld:
    return execution::errorResponse(ErrorKind::AnswerNotHeld, Outcome::Ran);
  case IdempotencyVerdict::InProgress:
    return execution::errorResponse(ErrorKind::IdempotencyInProgress,
                                    Outcome::Unknown);
  case IdempotencyVerdict::OtherRequest:
    return execution::errorResponse(ErrorKind::RequestMalformed,
                                    Outcome::NotRun);
  case IdempotencyVerdict::Full:
    return execution::errorResponse(ErrorKind::Overloaded, Outcome::NotRun);
  case IdempotencyVerdict::OutcomeUnknown:
  case IdempotencyVerdict::CannotVouch:
  case IdempotencyVerdict::AttemptOver:
    break;
  }
  return execution::errorResponse(ErrorKind::OutcomeUnknown, Outcome::Unknown);
}

} // namespace

std::optional<ownership::ShardId>
recordShard(const KeyedAttempt &Attempt, const config::FleetConfig &Fleet) {
  const execution::RequestKey &Key = Attempt.Begin.Request;
  const std::uint64_t WorkspaceHash =
      base::combineHashes(base::stableHash(Key.Service.str()),
                          base::stableHash(Key.Workspace.str()));
  if (Fleet.DataCentres.empty())
    return std::nullopt;
  ownership::ShardId Shard;
  Shard.DataCentre =
      Attempt.RecordDataCentre.empty()
          ? Fleet.DataCentres[WorkspaceHash % Fleet.DataCentres.size()].Name
          : Attempt.RecordDataCentre;
  const std::string_view KeyBytes(
      reinterpret_cast<const char *>(Key.Key.Bytes.data()),
      Key.Key.Bytes.size());
  Shard.Index = static_cast<std::uint16_t>(
      base::combineHashes(WorkspaceHash, base::stableHash(KeyBytes)) %
      ownership::kShardsPerDataCentre);
  return Shard;
}

IdempotencyClient::IdempotencyClient(Runtime &Shared, ControlPlane &Control)
    : Shared(Shared), Control(Control), Memory(kRecordMemoryBytes) {}

std::optional<execution::Response>
IdempotencyClient::begin(const KeyedAttempt &Attempt,
                         const config::Configuration &Config) {
  const auto Shard = recordShard(Attempt, Config.fleet());
  const auto Reply = Shard ? ask(Attempt, *Shard) : std::nullopt;
  if (!Reply) {
    Shared.Metrics.counter("idempotency_owner_unreachable_total").add();
    return execution::errorResponse(base::ErrorKind::OutcomeUnknown,
                                    base::Outcome::Unknown);
  }
  return responseTo(*Reply);
}

std::optional<execution::IdempotencyReply>
IdempotencyClient::ask(const KeyedAttempt &Attempt,
                       const ownership::ShardId &Shard) {
  for (int Try = 0; Try < kAskAttempts; ++Try) {
    const base::Duration Left = Attempt.Deadline - Shared.Time.now();
    if (Left <= base::Duration::zero())
      return std::nullopt;
    if (Control.validOwnership(Shard))
      return decide(Attempt.Begin, Shard);
    const auto Owner = Control.ownerOf(Shard);
    if (!Owner || Owner->Process == Shared.Self)
      return std::nullopt;
    const execution::AttemptId &Id = Attempt.Begin.Attempt;
    Replies.expect(Id);
    const ForShard<execution::IdempotencyBegin> Message{Shard, Attempt.Begin};
    Transport->send(Transport->connectionTo(Owner->Peer),
                    {static_cast<std::uint8_t>(MessageType::IdempotencyBegin),
                     base::encode(Message)});
    if (auto Reply = Replies.wait(Id, std::min(Left, kAskTimeout)))
      return Reply;
  }
  return std::nullopt;
}

void IdempotencyClient::finish(const KeyedAttempt &Attempt,
                               const config::Configuration &Config,
                               const execution::Response &Answer) {
  const auto Shard = recordShard(Attempt, Config.fleet());
  if (!Shard)
    return;
  execution::IdempotencyFinish Report;
  Report.Request = Attempt.Begin.Request;
  Report.Attempt = Attempt.Begin.Attempt;
  Report.What = Answer.What;
  if (Answer.What == base::Outcome::Ran &&
      Answer.size() <= execution::kMaxKeptResponse)
    Report.Answer = Answer;
  if (Control.validOwnership(*Shard))
    return onFinish(Report, *Shard);
  const auto Owner = Control.ownerOf(*Shard);
  if (!Owner || Owner->Process == Shared.Self)
    return;
  const ForShard<execution::IdempotencyFinish> Message{*Shard, Report};
  Transport->send(Transport->connectionTo(Owner->Peer),
                  {static_cast<std::uint8_t>(MessageType::IdempotencyFinish),
                   base::encode(Message)});
}

void IdempotencyClient::onBegin(transport::ConnectionId Connection,
                                const execution::IdempotencyBegin &Request,
                                const ownership::ShardId &Shard) {
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::IdempotencyReply),
                   base::encode(decide(Request, Shard))});
}

void IdempotencyClient::onReply(const execution::IdempotencyReply &Reply) {
  Replies.deliver(Reply.Attempt, Reply);
}

void IdempotencyClient::onFinish(const execution::IdempotencyFinish &Report,
                                 const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  if (execution::IdempotencyTable *Records = tableOf(Shard))
    Records->finish(Report);
}

void IdempotencyClient::tick() {
  const base::BootTime Now = Shared.Time.now();
  std::lock_guard Lock(Mutex);
  if (Now < NextTick)
    return;
  NextTick = Now + kTickInterval;
  // A table vouches for keys minted after its start, so it must exist before
  // the first request.
  ownership::ShardId Shard{Shared.DataCentre, 0};
  for (; Shard.Index < ownership::kShardsPerDataCentre; ++Shard.Index)
    tableOf(Shard);
  for (auto &[Each, Current] : Tenures)
    Current.Records->tick();
}

execution::IdempotencyReply
IdempotencyClient::decide(const execution::IdempotencyBegin &Request,
                          const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  if (execution::IdempotencyTable *Records = tableOf(Shard))
    return Records->begin(Request);
  execution::IdempotencyReply Reply;
  Reply.Attempt = Request.Attempt;
  Reply.Verdict = IdempotencyVerdict::CannotVouch;
  return Reply;
}

/// Records of a shard whose ownership is valid now, else null. A new tenure
/// begins with an empty table, since others may have owned the shard between.
execution::IdempotencyTable *
IdempotencyClient::tableOf(const ownership::ShardId &Shard) {
  const auto Valid = Control.validOwnership(Shard);
  if (!Valid)
    return nullptr;
  Tenure &Current = Tenures[Shard];
  if (!Current.Records || Current.Term != Valid->Term) {
    Current.Records =
        std::make_unique<execution::IdempotencyTable>(Shared.Time, Memory);
    Current.Term = Valid->Term;
  }
  return Current.Records.get();
}

} // namespace node
