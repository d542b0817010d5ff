#ifndef JACKDAW_NODE_IDEMPOTENCYSERVICE_H
#define JACKDAW_NODE_IDEMPOTENCYSERVICE_H

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

/// Frame body of an idempotency message with the shard that it is meant for.
template <typename Message> struct ShardMessage {
  ownership::ShardId Shard;
  Message Content;

  template <class Archive> void serialize(Archive &Ar) { Ar(Shard, Content); }
};

/// Data centre that stores the idempotency records of a service's workspace:
/// the workspace's setting `record_data_centre` if the fleet file lists it,
/// else one that all daemons choose alike by hash. Empty if the fleet file
/// lists no data centre.
base::DataCentreId recordDataCentre(const config::Configuration &Config,
                                    const base::ServiceName &Service,
                                    const base::WorkspaceName &Workspace);

/// Shard that stores the record of a request with an idempotency key. Returns
/// no value if the fleet file lists no data centre.
std::optional<ownership::ShardId>
recordShard(const config::Configuration &Config,
            const execution::RequestKey &Request);

/// Asks the shard owner of an idempotency record whether an attempt may run,
/// and stores the records of the shards that this daemon owns. Safe to use from
/// any thread.
class IdempotencyService {
public:
  IdempotencyService(Runtime &Shared, FleetState &Fleet, ControlPlane &Control);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Applies the data centres that store the records. Records aren't moved, so
  /// after a change the new data centre decides only about keys with a later
  /// timestamp.
  void configure(const config::Configuration &Config);

  /// The shard owner's decision about a new attempt.
  struct Decision {
    execution::AttemptId Attempt;
    /// Response to the caller if the attempt must not run.
    std::optional<execution::Response> Refusal;
  };

  /// Starts an attempt and blocks until the decision about it is known.
  Decision begin(const execution::RequestKey &Request,
                 const execution::RequestDigest &Digest);

  /// Reports the outcome of an attempt that was allowed to run.
  void finish(const execution::AttemptId &Attempt,
              const execution::Response &Response);

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
  /// Records of one shard during one tenure of its owner.
  struct ShardRecords {
    base::LogOffset Term;
    std::unique_ptr<execution::IdempotencyTable> Table;
  };
  /// Data centre that stores the records of a workspace.
  struct RecordLocation {
    base::DataCentreId DataCentre;
    /// Records of keys with an earlier timestamp may be in another data centre,
    /// so whether their requests ran is indeterminate.
    base::WallTime CompleteSince;
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
  bool recordsCompleteFor(const execution::RequestKey &Request,
                          const ownership::ShardId &Shard) const;
  execution::IdempotencyTable *tableOf(const ownership::ShardId &Shard);

  Runtime &Shared;
  FleetState &Fleet;
  ControlPlane &Control;
  transport::PeerTransport *Transport = nullptr;
  std::mutex Mutex;
  std::condition_variable DecisionArrived;
  execution::AttemptTracker Tracker;
  std::unordered_map<execution::AttemptId,
                     std::optional<execution::AttemptDecided>>
      PendingDecisions;
  execution::MemoryBudget Memory;
  std::map<ownership::ShardId, ShardRecords> RecordsByShard;
  std::map<WorkspaceKey, RecordLocation> RecordLocations;
  base::BootTime NextTableTick;
};

} // namespace node

#endif // JACKDAW_NODE_IDEMPOTENCYSERVICE_H
