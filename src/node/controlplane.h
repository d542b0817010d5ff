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
  base::PeerAddress Peer;
};

/// Membership, shard ownership and the spreading of log records: everything
/// that daemons do among themselves apart from calls. Safe to use from any
/// thread.
class ControlPlane {
public:
  ControlPlane(Runtime &Shared, FleetState &Fleet,
               const membership::GossipSettings &Gossip);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }
  void setLog(LogFollower &Follower) { Log = &Follower; }

  /// Called from `tick` with the instances whose entry has changed.
  using MemberListener =
      std::function<void(const membership::MemberTable &Members,
                         const std::vector<base::InstanceId> &Changed)>;
  void setMemberListener(MemberListener Listener) {
    OnMembers = std::move(Listener);
  }

  /// Announces this daemon in the log.
  void announceStart();

  void onDatagram(const base::PeerAddress &From, const std::string &Body);
  void onSuccessorPing(transport::ConnectionId Connection,
                       const ownership::SuccessorPing &Ping);
  void onSuccessorAck(const ownership::SuccessorAck &Ack);
  void onFetchRecords(transport::ConnectionId Connection,
                      const FetchRecords &Request);
  void onFetchedRecords(const FetchedRecords &Response);

  /// A log read sent at `SentAt` reached the end of the log.
  void onLogEndReached(base::BootTime SentAt, base::LogOffset End);

  /// Runs all timers; to be called about every 10 ms.
  void tick();

  /// Announces a new state of this daemon to its peers and in the log, and
  /// gives up its shards.
  void announceLeaving(membership::MemberState State);

  /// Tells that connections to a process are silent.
  void reportSilent(const base::ProcessId &Process);

  /// The tenure of this process over a shard if it is valid now.
  std::optional<ownership::ValidOwnership>
  validOwnership(const ownership::ShardId &Shard) const;

  /// The owner of a shard according to the log, with its address; nothing if
  /// there is none or it is unknown.
  std::optional<PeerProcess> ownerOf(const ownership::ShardId &Shard) const;

  /// All members, and whether routing may use each.
  struct MemberView {
    membership::Member Record;
    bool Usable = false;
  };
  std::vector<MemberView> members() const;

  /// Whether a newer process of this instance exists.
  bool superseded() const;

  /// Lines for the administration API.
  std::string ownershipStatus() const;

private:
  void adoptFleetState();
  void runOwnership();
  void fetchIfBehind();
  void followLogIfReader();
  void noteMemberChanges();
  void send(const std::vector<membership::OutgoingDatagram> &Datagrams);
  void sendFrame(const base::PeerAddress &To, MessageType Type,
                 std::string Body);
  std::vector<base::ProcessId> ownerCandidates() const;
  std::optional<base::PeerAddress>
  addressOf(const base::ProcessId &Process) const;

  Runtime &Shared;
  FleetState &Fleet;
  transport::PeerTransport *Transport = nullptr;
  LogFollower *Log = nullptr;
  mutable std::mutex Mutex;
  membership::GossipProtocol Gossip;
  ownership::OwnershipState Owners;
  ownership::ShardOwnership Ownership;
  base::LogOffset AdoptedOffset;
  base::BootTime FetchSentAt;
  base::BootTime NextReaderCheck;
  MemberListener OnMembers;
};

} // namespace node

#endif // JACKDAW_NODE_CONTROLPLANE_H
