#ifndef JACKDAW_RELAY_PEERDISCOVERY_H
#define JACKDAW_RELAY_PEERDISCOVERY_H

#include "eventloop/eventloop.h"
#include "membership/gossipprotocol.h"
#include "platformlog/keyedstore.h"
#include "platformlog/streamfollower.h"
#include "relay/logreaderrole.h"
#include "relay/structuredlog.h"
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

/// Finds the other daemons through announcements in the store and tracks their
/// state by gossip.
class PeerDiscovery final : private platformlog::StreamListener {
public:
  using ChangeListener =
      std::function<void(const membership::MemberTable &Members,
                         const std::vector<base::InstanceId> &Changed)>;

  PeerDiscovery(const membership::GossipSettings &Settings,
                eventloop::EventLoop &Loop, StructuredLog &Log,
                transport::PeerTransport &Peers, platformlog::KeyedStore &Store,
                ChangeListener OnChange);

  /// Announces this daemon and starts to follow the announcements of others.
  /// `Known` holds those that have just been read from the store.
  void start(const platformlog::KeyedPage &Known);

  /// Announces to the other daemons that this one is draining.
  void announceDraining();

  void onDatagram(const base::Endpoint &From, const std::string &Body);

  /// Runs the gossip protocol; must be called about every 20 ms.
  void tick();

  /// Reports a daemon that does not reply; it is avoided until gossip hears
  /// from it again.
  void reportSilent(const base::ProcessId &Process);

  /// Reads the announcements again, since the store has come back from an older
  /// copy.
  void onStoreEraRaised();

  /// Gossips how far this daemon has read the policy stream, and that this was
  /// just now its end.
  void onPolicyRead(const base::StreamPosition &End);

  /// Highest position in the policy stream that any member has read to.
  base::StreamPosition highestPolicyPosition() const;

  /// Whether this daemon reads the policy stream for its data centre.
  bool isLogReader() const { return ReaderRole.isReader(); }

  /// Takes the role of the log reader over if it is time to. Returns true if
  /// this call did; the policy stream must be read at once then.
  bool takeOverReading();

  const membership::GossipProtocol &gossip() const { return Gossip; }

  /// Number of instances that are announced in the store, or that gossip
  /// reports as alive if that is more, including this one; at least 1.
  std::size_t daemonCount() const;

  /// Whether a newer process of this instance is running.
  bool isSuperseded() const { return Gossip.isSuperseded(); }

private:
  void onRecord(const platformlog::KeyedRecord &Record) override;
  void onCaughtUp(base::LogOffset) override;
  void onHistoryReplaced() override {}
  void onReachabilityChanged(bool Reachable,
                             const std::string &Detail) override;
  void announce();
  void onAnnounced();
  void send(const std::vector<membership::OutgoingDatagram> &Datagrams);
  void notifyChanges();
  /// Another daemon of the data centre has read the policy stream.
  void onLogConfirmation(const base::InstanceId &Reader);
  void logRoleChange(const char *Reason) const;

  eventloop::EventLoop &Loop;
  StructuredLog &Log;
  transport::PeerTransport &Peers;
  platformlog::KeyedStore &Store;
  ChangeListener OnChange;
  membership::GossipProtocol Gossip;
  LogReaderRole ReaderRole;
  platformlog::StreamFollower Follower;
  std::set<std::string> AnnouncedKeys;
  base::Duration AnnounceBackoff;
  /// This daemon's first announcement is in the store.
  bool Announced = false;
  unsigned ReadsSinceAnnounced = 0;
  bool Draining = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_PEERDISCOVERY_H
