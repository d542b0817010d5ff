#ifndef JACKDAW_NODE_CONTROLPLANE_H
#define JACKDAW_NODE_CONTROLPLANE_H

#include "membership/gossipprotocol.h"
#include "node/fleetstate.h"
#include "node/logfollower.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "ownership/shardownership.h"
#include "transport/peertransport.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace node {

/// A daemon process and where to reach it.
struct PeerProcess {
  base::ProcessId Process;
  base::Endpoint Peer;
};

/// Coordinates this daemon with its peers: gossip membership, shard ownership
/// and the distribution of log records. Safe to use from any thread.
class ControlPlane {
public:
  ControlPlane(Runtime &Shared, FleetState &Fleet,
               const membership::GossipSettings &Gossip);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }
  void setLog(LogFollower &Follower) { Log = &Follower; }

  /// Called from `tick` with the instances whose member entry has changed.
  using MemberListener =
      std::function<void(const membership::MemberTable &Members,
                         const std::vector<base::InstanceId> &Changed)>;
  void setMemberListener(MemberListener Listener) {
    OnMembersChanged = std::move(Listener);
  }

  /// Appends the announcement of this daemon to the log.
  void announceStart();

  void onDatagram(const base::Endpoint &From, const std::string &Body);
  void onSuccessorPing(transport::ConnectionId Connection,
                       const ownership::SuccessorPing &Ping);
  void onSuccessorAck(const ownership::SuccessorAck &Ack);
  void onFetchRecords(transport::ConnectionId Connection,
                      const FetchRecords &Request);
  void onFetchedRecords(const FetchedRecords &Response);

  /// Called when a log read that was sent at `SentAt` has reached the end of
  /// the log, where `End` is the offset of the last record.
  void onLogEndReached(base::BootTime SentAt, base::LogOffset End);

  /// Runs all timers; to be called about every 10 ms.
  void tick();

  /// Announces `State` (draining or stopped) to the peers and in the log, and
  /// releases the shards that this daemon owns.
  void announceLeaving(membership::MemberState State);

  /// Reports a process whose connections are silent to the failure detector.
  void reportSilent(const base::ProcessId &Process);

  /// The tenure of this process over a shard, if it is valid now.
  std::optional<ownership::ValidOwnership>
  validOwnership(const ownership::ShardId &Shard) const;

  /// The owner of a shard according to the log, with its address. Returns no
  /// value if the shard has no owner or the owner isn't a known member.
  std::optional<PeerProcess> ownerOf(const ownership::ShardId &Shard) const;

  /// A member and whether calls may be routed to it.
  struct MemberView {
    membership::Member Record;
    bool Usable = false;
  };
  std::vector<MemberView> members() const;

  /// Whether a newer process of this instance exists.
  bool isSuperseded() const;

  /// One line per shard, for the administration API.
  std::string ownershipStatus() const;

private:
  void applyFleetState();
  void runOwnership();
  void fetchIfBehind();
  void updateLogFollowing();
  void publishMemberChanges();
  void send(const std::vector<membership::OutgoingDatagram> &Datagrams);
  void sendFrame(const base::Endpoint &To, MessageType Type, std::string Body);
  std::vector<base::ProcessId> ownerCandidates() const;
  std::optional<base::Endpoint> addressOf(const base::ProcessId &Process) const;

  Runtime &Shared;
  FleetState &Fleet;
  transport::PeerTransport *Transport = nullptr;
  LogFollower *Log = nullptr;
  mutable std::mutex Mutex;
  membership::GossipProtocol Gossip;
  ownership::OwnershipState Owners;
  ownership::ShardOwnership Ownership;
  base::LogOffset AppliedOffset;
  base::BootTime FetchSentAt;
  base::BootTime NextReaderCheck;
  MemberListener OnMembersChanged;
};

} // namespace node

#endif // JACKDAW_NODE_CONTROLPLANE_H
