#include "node/idempotencyclient.h"

#include "base/hash.h"

namespace node {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecordMemoryBytes = 24 << 20;
constexpr base::Duration kTableTickInterval = 200ms;
/// Exceeds the time in which all daemons adopt a configuration (10 s), plus the
/// callers' clock error.
constexpr std::chrono::seconds kPlaceOverlap = 15s;

std::uint64_t workspaceHash(const base::ServiceName &Service,
                            const base::WorkspaceName &Workspace) {
  return base::combineHashes(base::stableHash(Service.str()),
                             base::stableHash(Workspace.str()));
}

} // namespace

base::DataCentreId recordDataCentre(const config::Configuration &Config,
                                    const base::ServiceName &Service,
                                    const base::WorkspaceName &Workspace) {
  const auto &Listed = Config.fleet().DataCentres;
  if (Listed.empty())
    return {};
  const config::Service *Known = Config.service(Service);
  const config::WorkspaceConfig *Named =
      Known != nullptr ? Known->workspace(Workspace) : nullptr;
  if (Named != nullptr)
    for (const config::DataCentreConfig &Each : Listed)
      if (Each.Name == Named->RecordDataCentre)
        return Each.Name;
  return Listed[workspaceHash(Service, Workspace) % Listed.size()].Name;
}

std::optional<ownership::ShardId>
recordShard(const config::Configuration &Config,
            const execution::RequestKey &Request) {
  ownership::ShardId Shard;
  Shard.DataCentre =
      recordDataCentre(Config, Request.Service, Request.Workspace);
  if (Shard.DataCentre.empty())
    return std::nullopt;
  const std::string_view KeyBytes(
      reinterpret_cast<const char *>(Request.Key.Bytes.data()),
      Request.Key.Bytes.size());
  const std::uint64_t Hash =
      base::combineHashes(workspaceHash(Request.Service, Request.Workspace),
                          base::stableHash(KeyBytes));
  Shard.Index =
      static_cast<std::uint16_t>(Hash % ownership::kShardsPerDataCentre);
  return Shard;
}

IdempotencyClient::IdempotencyClient(Runtime &Shared, FleetState &Fleet,
                                     ControlPlane &Control)
    : Shared(Shared), Fleet(Fleet), Control(Control), Tracker(Shared.Time),
      Memory(kRecordMemoryBytes) {}

void IdempotencyClient::configure(const config::Configuration &Config) {
  std::lock_guard Lock(Mutex);
  std::map<WorkspaceKey, Place> New;
  for (const auto &[Name, Service] : Config.services())
    for (const config::WorkspaceConfig &Each : Service->config().Workspaces) {
      const WorkspaceKey Key{Name, Each.Name};
      Place Current{recordDataCentre(Config, Name, Each.Name), {}};
      if (const auto Known = Places.find(Key); Known != Places.end())
        Current.VouchedFrom = Known->second.DataCentre == Current.DataCentre
                                  ? Known->second.VouchedFrom
                                  : Shared.Time.wallNow() + kPlaceOverlap;
      New.emplace(Key, std::move(Current));
    }
  Places = std::move(New);
}

IdempotencyClient::Decision
IdempotencyClient::begin(const execution::RequestKey &Request,
                         const execution::RequestDigest &Digest) {
  std::unique_lock Lock(Mutex);
  Decision Result;
  Result.Attempt = Tracker.begin(Request, Digest);
  Waiting.emplace(Result.Attempt, std::nullopt);
  runActions();
  // The tracker decides after a bounded number of timeouts.
  Decided.wait(Lock, [&] { return Waiting.at(Result.Attempt).has_value(); });
  const auto Node = Waiting.extract(Result.Attempt);
  const std::optional<execution::CallCompletion> &Refused =
      Node.mapped()->Refusal;
  if (!Refused)
    return Result;
  Result.Refusal =
      Refused->Response
          ? *Refused->Response
          : execution::errorResponse(
                Refused->Error.value_or(base::ErrorKind::OutcomeUnknown),
                Refused->Outcome);
  return Result;
}

void IdempotencyClient::finish(const execution::AttemptId &Attempt,
                               const execution::Response &Answer) {
  const bool Keep = Answer.Outcome == base::Outcome::Ran &&
                    Answer.size() <= execution::kMaxStoredResponseBytes;
  std::lock_guard Lock(Mutex);
  Tracker.finish(Attempt, Answer.Outcome,
                 Keep ? std::optional(Answer) : std::nullopt);
  runActions();
}

void IdempotencyClient::onBegin(transport::ConnectionId Connection,
                                const execution::IdempotencyBegin &Request,
                                const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::IdempotencyReply),
                   base::encode(decide(Request, Shard))});
}

void IdempotencyClient::onReply(const execution::IdempotencyReply &Reply) {
  std::lock_guard Lock(Mutex);
  Tracker.onReply(Reply);
  runActions();
}

void IdempotencyClient::onFinish(transport::ConnectionId Connection,
                                 const execution::IdempotencyFinish &Report,
                                 const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  if (finishLocally(Report, Shard))
    Transport->send(Connection,
                    {static_cast<std::uint8_t>(MessageType::IdempotencyAck),
                     base::encode(execution::IdempotencyAck{Report.Attempt})});
}

void IdempotencyClient::onAck(const execution::IdempotencyAck &Ack) {
  std::lock_guard Lock(Mutex);
  Tracker.onFinishAck(Ack.Attempt);
  runActions();
}

void IdempotencyClient::tick() {
  const base::BootTime Now = Shared.Time.now();
  std::lock_guard Lock(Mutex);
  Tracker.tick();
  runActions();
  if (Now < NextTableTick)
    return;
  NextTableTick = Now + kTableTickInterval;
  // A table vouches for keys minted after its start, so it must exist before
  // the first request.
  ownership::ShardId Shard{Shared.DataCentre, 0};
  for (; Shard.Index < ownership::kShardsPerDataCentre; ++Shard.Index)
    tableOf(Shard);
  for (auto &[Each, Current] : Tenures)
    Current.Records->tick();
}

void IdempotencyClient::runActions() {
  for (auto Actions = Tracker.takeActions(); !Actions.empty();
       Actions = Tracker.takeActions())
    for (execution::AttemptAction &Action : Actions) {
      if (auto *Begin = std::get_if<execution::SendBegin>(&Action))
        sendBegin(Begin->Message);
      else if (auto *Finish = std::get_if<execution::SendFinish>(&Action))
        sendFinish(Finish->Message);
      else if (auto *End = std::get_if<execution::AttemptDecided>(&Action)) {
        const auto Found = Waiting.find(End->Attempt);
        if (Found != Waiting.end())
          Found->second = std::move(*End);
        Decided.notify_all();
      }
    }
}

void IdempotencyClient::sendBegin(const execution::IdempotencyBegin &Message) {
  const auto Shard = recordShard(*Fleet.configuration(), Message.Request);
  if (!Shard)
    return;
  if (Control.validOwnership(*Shard))
    Tracker.onReply(decide(Message, *Shard));
  else
    sendToOwner(*Shard, MessageType::IdempotencyBegin, Message);
}

void IdempotencyClient::sendFinish(
    const execution::IdempotencyFinish &Message) {
  const auto Shard = recordShard(*Fleet.configuration(), Message.Request);
  if (!Shard)
    return;
  if (finishLocally(Message, *Shard))
    Tracker.onFinishAck(Message.Attempt);
  else
    sendToOwner(*Shard, MessageType::IdempotencyFinish, Message);
}

template <typename Message>
void IdempotencyClient::sendToOwner(const ownership::ShardId &Shard,
                                    MessageType Type, const Message &Content) {
  const auto Owner = Control.ownerOf(Shard);
  if (!Owner || Owner->Process == Shared.Self) {
    Shared.Metrics.counter("idempotency_owner_unknown_total").add();
    return;
  }
  Transport->send(Transport->connectionTo(Owner->Peer),
                  {static_cast<std::uint8_t>(Type),
                   base::encode(ForShard<Message>{Shard, Content})});
}

execution::IdempotencyReply
IdempotencyClient::decide(const execution::IdempotencyBegin &Request,
                          const ownership::ShardId &Shard) {
  execution::IdempotencyTable *Records = tableOf(Shard);
  if (Records != nullptr && placeVouches(Request.Request, Shard))
    return Records->begin(Request);
  execution::IdempotencyReply Reply;
  Reply.Attempt = Request.Attempt;
  Reply.Decision = execution::IdempotencyDecision::Indeterminate;
  return Reply;
}

bool IdempotencyClient::finishLocally(
    const execution::IdempotencyFinish &Report,
    const ownership::ShardId &Shard) {
  execution::IdempotencyTable *Records = tableOf(Shard);
  if (Records == nullptr)
    return false;
  Records->finish(Report);
  return true;
}

/// Whether this daemon's configuration places the record here, and did so
/// before the key was minted.
bool IdempotencyClient::placeVouches(const execution::RequestKey &Request,
                                     const ownership::ShardId &Shard) const {
  const auto Found = Places.find({Request.Service, Request.Workspace});
  return Found != Places.end() &&
         Found->second.DataCentre == Shard.DataCentre &&
         Request.Key.timestamp() >= Found->second.VouchedFrom;
}

/// Records of a shard whose ownership is valid now, else null. A new tenure
/// begins with an empty table, since others may have owned the shard between.
execution::IdempotencyTable *
IdempotencyClient::tableOf(const ownership::ShardId &Shard) {
  if (Shard.DataCentre != Shared.DataCentre)
    return nullptr;
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
