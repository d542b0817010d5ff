#ifndef JACKDAW_RELAY_PEERDISCOVERY_H
#define JACKDAW_RELAY_PEERDISCOVERY_H

#include "eventloop/eventloop.h"
#include "membership/gossipprotocol.h"
#include "platformlog/keyedstore.h"
#include "platformlog/streamfollower.h"
#include "relay/decisionlog.h"
#include "transport/peertransport.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace relay {

/// Stream in which daemons announce themselves and share the fleet secret.
inline constexpr const char *kFleetStream = "keyed.fleet";

/// Key of the fleet secret in the fleet stream.
inline constexpr const char *kSecretKey = "secret";

/// Key under which an instance announces itself.
std::string announcementKey(const base::InstanceId &Instance);

/// Finds the other daemons through announcements in the store and keeps track
/// of them by gossip.
class PeerDiscovery final : private platformlog::StreamListener {
public:
  using ChangeListener =
      std::function<void(const membership::MemberTable &Members,
                         const std::vector<base::InstanceId> &Changed)>;

  PeerDiscovery(const membership::GossipSettings &Settings,
                eventloop::EventLoop &Loop, DecisionLog &Log,
                transport::PeerTransport &Peers, platformlog::KeyedStore &Store,
                ChangeListener OnChange);

  /// Announces this daemon and starts to follow the announcements.
  void start();

  /// Tells the others that this daemon drains.
  void leave();

  void onDatagram(const base::PeerAddress &From, const std::string &Body);

  /// Must be called about every 20 ms.
  void tick();

  /// A daemon does not answer: it is avoided until it is heard of again.
  void reportSilent(const base::ProcessId &Process);

  /// Tells the others how far this daemon has read the configuration stream.
  void setConfigurationOffset(base::LogOffset Offset);

  /// Highest offset of the configuration stream that any member has read.
  base::LogOffset highestConfigurationOffset() const {
    return Gossip.members().highestOffset();
  }

  /// Whether this daemon is the one that reads often in its data centre.
  bool isReader() const;

  const membership::GossipProtocol &gossip() const { return Gossip; }

  /// Instances that are announced in the store or heard of, this one included;
  /// at least 1.
  std::size_t announcedCount() const;

  /// Whether a newer process of this instance runs.
  bool superseded() const { return Gossip.isSuperseded(); }

private:
  void onRecord(const platformlog::KeyedRecord &Record) override;
  void onCaughtUp(base::LogOffset) override {}
  void onStoreState(bool Reachable, const std::string &Detail) override;
  void announce();
  void send(const std::vector<membership::OutgoingDatagram> &Datagrams);
  void noteChanges();

  eventloop::EventLoop &Loop;
  DecisionLog &Log;
  transport::PeerTransport &Peers;
  platformlog::KeyedStore &Store;
  ChangeListener OnChange;
  membership::GossipProtocol Gossip;
  platformlog::StreamFollower Follower;
  std::set<std::string> Announced;
  base::Duration AnnouncePause;
  base::BootTime StartedAt;
  bool Leaving = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_PEERDISCOVERY_H
