#ifndef JACKDAW_RELAY_PEERDISCOVERY_H
#define JACKDAW_RELAY_PEERDISCOVERY_H

#include "eventloop/eventloop.h"
#include "membership/gossipprotocol.h"
#include "platformlog/keyedstore.h"
#include "platformlog/streamfollower.h"
#include "relay/fleetsecret.h"
#include "relay/logreaderrole.h"
#include "relay/storedrecord.h"
#include "relay/structuredlog.h"
#include "relay/types.h"
#include "transport/peertransport.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace relay {

/// Stream in which daemons announce themselves and share the fleet secret.
inline constexpr const char *kFleetStream = "keyed.fleet";

/// Key of the fleet secret in the fleet stream.
inline constexpr const char *kSecretKey = "secret";

/// Key under which an instance announces itself.
std::string announcementKey(const base::InstanceId &Instance);

/// Key under which an instance keeps the last shutdown of its backend server
/// that it knows of, for its next process.
std::string serverShutdownKey(const base::InstanceId &Instance);

/// Finds the other daemons through announcements in the store and tracks their
/// state by gossip.
///
/// If the store comes back from an older copy, what is known stays known, and
/// this daemon writes its announcement and the fleet secret again if they are
/// missing there. Daemons do so at random times, so most of them find the
/// secret. If a daemon that knew none has created another secret meanwhile, all
/// use the one that was created first.
class PeerDiscovery final : private platformlog::StreamListener {
public:
  using ChangeListener =
      std::function<void(const membership::MemberTable &Members,
                         const std::vector<base::InstanceId> &Changed)>;

  PeerDiscovery(const membership::GossipSettings &Settings,
                eventloop::EventLoop &Loop, StructuredLog &Log,
                transport::PeerTransport &Peers, platformlog::KeyedStore &Store,
                ChangeListener OnChange);
  ~PeerDiscovery() override { Loop.cancelTimer(SecretCheckTimer); }

  /// Announces this daemon and starts to follow the announcements of others,
  /// beginning with those in `Loaded`, which have just been read.
  void start(const FleetSecret &Loaded);

  /// Reads the announcements again, since the store has come back from an older
  /// copy.
  void onStoreEraRaised();

  /// Keeps a shutdown of the local backend server in the store.
  void keepServerShutdown(const ServerShutdown &Known);

  /// Announces to the other daemons that this one is draining.
  void announceDraining();

  void onDatagram(const base::Endpoint &From, const std::string &Body);

  /// Runs the gossip protocol; must be called about every 20 ms.
  void tick();

  /// Reports a daemon that does not reply; it is avoided until gossip hears
  /// from it again.
  void reportSilent(const base::ProcessId &Process);

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
  void onHistoryReplaced() override;
  void onReachabilityChanged(bool Reachable,
                             const std::string &Detail) override;
  /// Writes again what the store has lost.
  void restoreRecords();
  /// Makes the secret in the store and the one in use the same.
  void reconcileSecret();
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
  /// The newest claim of each announced daemon.
  std::map<std::string, membership::StateClaim> Announcements;
  std::string Secret;
  /// The secret in the store as of the last read; none if it is missing.
  std::optional<std::string> StoredSecret;
  eventloop::TimerId SecretCheckTimer;
  /// The store has come back from an older copy that hasn't been read yet.
  bool HistoryReplaced = false;
  StoredRecord OwnAnnouncement;
  StoredRecord OwnServerShutdown;
  /// This daemon's first announcement is in the store.
  bool Announced = false;
  unsigned ReadsSinceAnnounced = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_PEERDISCOVERY_H
