#ifndef JACKDAW_NODE_IDEMPOTENCYCLIENT_H
#define JACKDAW_NODE_IDEMPOTENCYCLIENT_H

#include "config/configuration.h"
#include "execution/attempttracker.h"
#include "execution/idempotencytable.h"
#include "node/controlplane.h"
#include "node/fleetstate.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "transport/peertransport.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace node {

/// Frame body of messages about idempotency records.
template <typename Message> struct ForShard {
  ownership::ShardId Shard;
  Message Content;

  template <class Archive> void serialize(Archive &Ar) { Ar(Shard, Content); }
};

/// Where the idempotency records of a service's workspace live: its setting
/// `record_data_centre`, else a data centre chosen by hash. Empty if the fleet
/// file lists no data centre.
base::DataCentreId recordDataCentre(const config::Configuration &Config,
                                    const base::ServiceName &Service,
                                    const base::WorkspaceName &Workspace);

/// Shard that holds the record of a keyed request; nothing if there is no data
/// centre for it.
std::optional<ownership::ShardId>
recordShard(const config::Configuration &Config,
            const execution::RequestKey &Request);

/// Asks the owner of the record whether an attempt may run, and keeps the
/// records of the shards that this daemon owns. Safe to use from any thread.
class IdempotencyClient {
public:
  IdempotencyClient(Runtime &Shared, FleetState &Fleet, ControlPlane &Control);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Takes over where records live. Records don't move, so after a change their
  /// new place vouches only for keys minted later.
  void configure(const config::Configuration &Config);

  /// The owner's decision about a new attempt.
  struct Decision {
    execution::AttemptId Attempt;
    /// Response to the caller if the attempt must not run.
    std::optional<execution::Response> Refusal;
  };
  Decision begin(const execution::RequestKey &Request,
                 const execution::RequestDigest &Digest);

  /// Reports the end of an attempt that was allowed to run.
  void finish(const execution::AttemptId &Attempt,
              const execution::Response &Answer);

  void onBegin(transport::ConnectionId Connection,
               const execution::IdempotencyBegin &Request,
               const ownership::ShardId &Shard);
  void onReply(const execution::IdempotencyReply &Reply);
  void onFinish(transport::ConnectionId Connection,
                const execution::IdempotencyFinish &Report,
                const ownership::ShardId &Shard);
  void onAck(const execution::IdempotencyAck &Ack);
  void tick();

private:
  /// Records of one shard in one tenure.
  struct Tenure {
    base::LogOffset Term;
    std::unique_ptr<execution::IdempotencyTable> Records;
  };
  /// Where the records of a workspace live, and since when.
  struct Place {
    base::DataCentreId DataCentre;
    /// Keys minted before this are not vouched for.
    base::WallTime VouchedFrom;
  };
  using WorkspaceKey = std::pair<base::ServiceName, base::WorkspaceName>;

  void runActions();
  void sendBegin(const execution::IdempotencyBegin &Message);
  void sendFinish(const execution::IdempotencyFinish &Message);
  template <typename Message>
  void sendToOwner(const ownership::ShardId &Shard, MessageType Type,
                   const Message &Content);
  execution::IdempotencyReply decide(const execution::IdempotencyBegin &Request,
                                     const ownership::ShardId &Shard);
  bool finishLocally(const execution::IdempotencyFinish &Report,
                     const ownership::ShardId &Shard);
  bool placeVouches(const execution::RequestKey &Request,
                    const ownership::ShardId &Shard) const;
  execution::IdempotencyTable *tableOf(const ownership::ShardId &Shard);

  Runtime &Shared;
  FleetState &Fleet;
  ControlPlane &Control;
  transport::PeerTransport *Transport = nullptr;
  std::mutex Mutex;
  std::condition_variable Decided;
  execution::AttemptTracker Tracker;
  std::unordered_map<execution::AttemptId,
                     std::optional<execution::AttemptDecided>>
      Waiting;
  execution::MemoryBudget Memory;
  std::map<ownership::ShardId, Tenure> Tenures;
  std::map<WorkspaceKey, Place> Places;
  base::BootTime NextTableTick;
};

} // namespace node

#endif // JACKDAW_NODE_IDEMPOTENCYCLIENT_H
