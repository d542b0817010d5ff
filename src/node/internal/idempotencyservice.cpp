#include "node/idempotencyservice.h"

#include "base/hash.h"

namespace node {

namespace {

using namespace std::chrono_literals;

/// Memory budget of the records of all shards.
constexpr std::size_t kRecordMemoryBytes = 24 << 20;
constexpr base::Duration kTableTickInterval = 200ms;
/// After the data centre that stores the records of a workspace has changed,
/// the new one decides only about keys whose timestamp is at least this much
/// later than the change. Exceeds the time in which all daemons apply a
/// configuration (10 s) plus the clock error of callers.
constexpr std::chrono::seconds kDataCentreChangeMargin = 15s;

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
  const config::WorkspaceConfig *Configured =
      Known != nullptr ? Known->workspace(Workspace) : nullptr;
  if (Configured != nullptr)
    for (const config::DataCentreConfig &Each : Listed)
      if (Each.Name == Configured->RecordDataCentre)
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

IdempotencyService::IdempotencyService(Runtime &Shared, FleetState &Fleet,
                                       ControlPlane &Control)
    : Shared(Shared), Fleet(Fleet), Control(Control), Tracker(Shared.Clock),
      Memory(kRecordMemoryBytes) {}

void IdempotencyService::configure(const config::Configuration &Config) {
  std::lock_guard Lock(Mutex);
  std::map<WorkspaceKey, RecordLocation> New;
  for (const auto &[Name, Service] : Config.services())
    for (const config::WorkspaceConfig &Each : Service->config().Workspaces) {
      const WorkspaceKey Key{Name, Each.Name};
      RecordLocation Current{recordDataCentre(Config, Name, Each.Name), {}};
      if (const auto Known = RecordLocations.find(Key);
          Known != RecordLocations.end())
        Current.CompleteSince =
            Known->second.DataCentre == Current.DataCentre
                ? Known->second.CompleteSince
                : Shared.Clock.wallNow() + kDataCentreChangeMargin;
      New.emplace(Key, std::move(Current));
    }
  RecordLocations = std::move(New);
}

IdempotencyService::Decision
IdempotencyService::begin(const execution::RequestKey &Request,
                          const execution::RequestDigest &Digest) {
  std::unique_lock Lock(Mutex);
  Decision Result;
  Result.Attempt = Tracker.begin(Request, Digest);
  PendingDecisions.emplace(Result.Attempt, std::nullopt);
  runActions();
  // The wait ends, because the tracker decides after a bounded number of
  // timeouts.
  DecisionArrived.wait(
      Lock, [&] { return PendingDecisions.at(Result.Attempt).has_value(); });
  const auto Node = PendingDecisions.extract(Result.Attempt);
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

void IdempotencyService::finish(const execution::AttemptId &Attempt,
                                const execution::Response &Response) {
  const bool StoreResponse =
      Response.Outcome == base::Outcome::Ran &&
      Response.size() <= execution::kMaxStoredResponseBytes;
  std::lock_guard Lock(Mutex);
  Tracker.finish(Attempt, Response.Outcome,
                 StoreResponse ? std::optional(Response) : std::nullopt);
  runActions();
}

void IdempotencyService::onBegin(transport::ConnectionId Connection,
                                 const execution::IdempotencyBegin &Request,
                                 const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  Transport->send(Connection,
                  {static_cast<std::uint8_t>(MessageType::IdempotencyReply),
                   base::encode(decide(Request, Shard))});
}

void IdempotencyService::onReply(const execution::IdempotencyReply &Reply) {
  std::lock_guard Lock(Mutex);
  Tracker.onReply(Reply);
  runActions();
}

void IdempotencyService::onFinish(transport::ConnectionId Connection,
                                  const execution::IdempotencyFinish &Report,
                                  const ownership::ShardId &Shard) {
  std::lock_guard Lock(Mutex);
  if (finishLocally(Report, Shard))
    Transport->send(Connection,
                    {static_cast<std::uint8_t>(MessageType::IdempotencyAck),
                     base::encode(execution::IdempotencyAck{Report.Attempt})});
}

void IdempotencyService::onAck(const execution::IdempotencyAck &Ack) {
  std::lock_guard Lock(Mutex);
  Tracker.onFinishAck(Ack.Attempt);
  runActions();
}

void IdempotencyService::tick() {
  const base::BootTime Now = Shared.Clock.now();
  std::lock_guard Lock(Mutex);
  Tracker.tick();
  runActions();
  if (Now < NextTableTick)
    return;
  NextTableTick = Now + kTableTickInterval;
  // A table decides only about keys with a timestamp after its creation, so it
  // is created before the first request.
  ownership::ShardId Shard{Shared.DataCentre, 0};
  for (; Shard.Index < ownership::kShardsPerDataCentre; ++Shard.Index)
    tableOf(Shard);
  for (auto &[Each, Current] : RecordsByShard)
    Current.Table->tick();
}

void IdempotencyService::runActions() {
  for (auto Actions = Tracker.takeActions(); !Actions.empty();
       Actions = Tracker.takeActions())
    for (execution::AttemptAction &Action : Actions) {
      if (auto *Begin = std::get_if<execution::SendBegin>(&Action))
        sendBegin(Begin->Message);
      else if (auto *Finish = std::get_if<execution::SendFinish>(&Action))
        sendFinish(Finish->Message);
      else if (auto *Decided =
                   std::get_if<execution::AttemptDecided>(&Action)) {
        const auto Found = PendingDecisions.find(Decided->Attempt);
        if (Found != PendingDecisions.end())
          Found->second = std::move(*Decided);
        DecisionArrived.notify_all();
      }
    }
}

void IdempotencyService::sendBegin(const execution::IdempotencyBegin &Message) {
  const auto Shard = recordShard(*Fleet.configuration(), Message.Request);
  if (!Shard)
    return;
  if (Control.validOwnership(*Shard))
    Tracker.onReply(decide(Message, *Shard));
  else
    sendToOwner(*Shard, MessageType::IdempotencyBegin, Message);
}

void IdempotencyService::sendFinish(
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
void IdempotencyService::sendToOwner(const ownership::ShardId &Shard,
                                     MessageType Type, const Message &Content) {
  const auto Owner = Control.ownerOf(Shard);
  if (!Owner || Owner->Process == Shared.Self) {
    Shared.Metrics.counter("idempotency_owner_unknown_total").add();
    return;
  }
  Transport->send(Transport->connectionTo(Owner->Peer),
                  {static_cast<std::uint8_t>(Type),
                   base::encode(ShardMessage<Message>{Shard, Content})});
}

execution::IdempotencyReply
IdempotencyService::decide(const execution::IdempotencyBegin &Request,
                           const ownership::ShardId &Shard) {
  execution::IdempotencyTable *Table = tableOf(Shard);
  if (Table != nullptr && recordsCompleteFor(Request.Request, Shard))
    return Table->begin(Request);
  execution::IdempotencyReply Reply;
  Reply.Attempt = Request.Attempt;
  Reply.Decision = execution::IdempotencyDecision::Indeterminate;
  return Reply;
}

bool IdempotencyService::finishLocally(
    const execution::IdempotencyFinish &Report,
    const ownership::ShardId &Shard) {
  execution::IdempotencyTable *Table = tableOf(Shard);
  if (Table == nullptr)
    return false;
  Table->finish(Report);
  return true;
}

/// Whether the record belongs to the data centre of the shard and did so
/// already at the timestamp of the key.
bool IdempotencyService::recordsCompleteFor(
    const execution::RequestKey &Request,
    const ownership::ShardId &Shard) const {
  const auto Found = RecordLocations.find({Request.Service, Request.Workspace});
  return Found != RecordLocations.end() &&
         Found->second.DataCentre == Shard.DataCentre &&
         Request.Key.timestamp() >= Found->second.CompleteSince;
}

/// Returns the records of a shard that this daemon validly owns now, else null.
/// A new tenure begins with an empty table, because other daemons may
/// have owned the shard in between.
execution::IdempotencyTable *
IdempotencyService::tableOf(const ownership::ShardId &Shard) {
  if (Shard.DataCentre != Shared.DataCentre)
    return nullptr;
  const auto Valid = Control.validOwnership(Shard);
  if (!Valid)
    return nullptr;
  ShardRecords &Current = RecordsByShard[Shard];
  if (!Current.Table || Current.Term != Valid->Term) {
    Current.Table =
        std::make_unique<execution::IdempotencyTable>(Shared.Clock, Memory);
    Current.Term = Valid->Term;
  }
  return Current.Table.get();
}

} // namespace node
