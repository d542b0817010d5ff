#ifndef JACKDAW_NODE_IDEMPOTENCYCLIENT_H
#define JACKDAW_NODE_IDEMPOTENCYCLIENT_H

#include "config/configuration.h"
#include "execution/idempotencytable.h"
#include "node/controlplane.h"
#include "node/messages.h"
#include "node/replytable.h"
#include "node/runtime.h"
#include "transport/peertransport.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace node {

/// An attempt at a request with an idempotency key.
struct KeyedAttempt {
  execution::IdempotencyBegin Begin;
  /// Data centre that the workspace's setting names; empty for by hash.
  base::DataCentreId RecordDataCentre;
  base::BootTime Deadline;
};

/// Shard that holds the idempotency records of a service's workspace; nothing
/// if the configuration lists no data centre.
std::optional<ownership::ShardId> recordShard(const KeyedAttempt &Attempt,
                                              const config::FleetConfig &Fleet);

/// Asks the owner of the record whether an attempt may run, and keeps the
/// records of the shards that this daemon owns. Safe to use from any thread.
class IdempotencyClient {
public:
  IdempotencyClient(Runtime &Shared, ControlPlane &Control);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Nothing if the attempt may run; otherwise the response to the caller.
  std::optional<execution::Response> begin(const KeyedAttempt &Attempt,
                                           const config::Configuration &Config);

  /// Reports the end of an attempt that was allowed to run.
  void finish(const KeyedAttempt &Attempt, const config::Configuration &Config,
              const execution::Response &Answer);

  void onBegin(transport::ConnectionId Connection,
               const execution::IdempotencyBegin &Request,
               const ownership::ShardId &Shard);
  void onReply(const execution::IdempotencyReply &Reply);
  void onFinish(const execution::IdempotencyFinish &Report,
                const ownership::ShardId &Shard);
  void tick();

private:
  /// Records of one shard in one tenure.
  struct Tenure {
    base::LogOffset Term;
    std::unique_ptr<execution::IdempotencyTable> Records;
  };

  std::optional<execution::IdempotencyReply>
  ask(const KeyedAttempt &Attempt, const ownership::ShardId &Shard);
  execution::IdempotencyReply decide(const execution::IdempotencyBegin &Request,
                                     const ownership::ShardId &Shard);
  execution::IdempotencyTable *tableOf(const ownership::ShardId &Shard);

  Runtime &Shared;
  ControlPlane &Control;
  transport::PeerTransport *Transport = nullptr;
  ReplyTable<execution::AttemptId, execution::IdempotencyReply> Replies;
  std::mutex Mutex;
  execution::MemoryBudget Memory;
  std::map<ownership::ShardId, Tenure> Tenures;
  base::BootTime NextTick;
};

/// Frame body of messages about idempotency records.
template <typename Message> struct ForShard {
  ownership::ShardId Shard;
  Message Content;

  template <class Archive> void serialize(Archive &Ar) { Ar(Shard, Content); }
};

} // namespace node

#endif // JACKDAW_NODE_IDEMPOTENCYCLIENT_H
