#include "relay/peerdiscovery.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kAnnouncementPrefix = "member/";
constexpr std::string_view kServerShutdownPrefix = "server-shutdown/";
/// Announcements introduce new daemons, and gossip carries everything urgent.
/// The stream is polled without long polls, since these would be woken by each
/// announcement when a whole fleet starts. The interval grows with the number
/// of daemons, so that the polls of all of them together stay below a few a
/// second.
constexpr base::Duration kPollIntervalPerDaemon = 250ms;
constexpr base::Duration kMinPollInterval = 8s;
constexpr base::Duration kMaxPollInterval = 60s;
/// Interval before the first poll: by then all daemons of a fleet that starts
/// together have been announced.
constexpr base::Duration kFirstPollInterval = 4s;
/// Time over which the daemons of a fleet read the announcements of a store
/// that has come back from an older copy, and write their own again.
constexpr base::Duration kRestartSpreadPerDaemon = 4ms;
constexpr base::Duration kMinRestartSpread = 500ms;
/// Time from writing the secret to the read that checks it.
constexpr base::Duration kSecretCheckDelay = 1s;

base::Duration pollInterval(std::size_t DaemonCount) {
  return std::clamp<base::Duration>(kPollIntervalPerDaemon *
                                        static_cast<int>(DaemonCount),
                                    kMinPollInterval, kMaxPollInterval);
}

/// Gossip carries one number for the position in the policy stream: the era in
/// the upper bits, the offset in the lower ones.
constexpr unsigned kOffsetBits = 40;
constexpr std::uint64_t kMaxOffset = (std::uint64_t{1} << kOffsetBits) - 1;

base::LogOffset packPosition(const base::StreamPosition &Position) {
  return base::LogOffset(Position.Era.value() << kOffsetBits |
                         std::min(Position.Offset.value(), kMaxOffset));
}

base::StreamPosition unpackPosition(base::LogOffset Packed) {
  return {base::StoreEra(Packed.value() >> kOffsetBits),
          base::LogOffset(Packed.value() & kMaxOffset)};
}

} // namespace

std::string announcementKey(const base::InstanceId &Instance) {
  return std::string(kAnnouncementPrefix) + Instance.str();
}

std::string serverShutdownKey(const base::InstanceId &Instance) {
  return std::string(kServerShutdownPrefix) + Instance.str();
}

PeerDiscovery::PeerDiscovery(const membership::GossipSettings &Settings,
                             eventloop::EventLoop &Loop, StructuredLog &Log,
                             transport::PeerTransport &Peers,
                             platformlog::KeyedStore &Store,
                             ChangeListener OnChange)
    : Loop(Loop), Log(Log), Peers(Peers), Store(Store),
      OnChange(std::move(OnChange)), Gossip(Settings, Loop.clock().now()),
      ReaderRole(Loop.clock()),
      Follower({kFleetStream, {0s, kFirstPollInterval}}, Loop, Store, *this),
      OwnAnnouncement(Loop, Store, Log, kFleetStream,
                      announcementKey(Settings.Self.Instance),
                      [this] { onAnnounced(); }),
      OwnServerShutdown(Loop, Store, Log, kFleetStream,
                        serverShutdownKey(Settings.Self.Instance), [] {}) {}

void PeerDiscovery::start(const FleetSecret &Loaded) {
  Secret = Loaded.Secret;
  for (const platformlog::KeyedRecord &Each : Loaded.Announcements.Records)
    if (Each.Key == OwnServerShutdown.key() && Each.Value)
      OwnServerShutdown.adopt(*Each.Value);
  notifyChanges();
  announce();
  Follower.startFrom(Loaded.Announcements);
}

void PeerDiscovery::onStoreEraRaised() { Follower.restart(); }

void PeerDiscovery::onHistoryReplaced() {
  StoredSecret.reset();
  OwnAnnouncement.onHistoryReplaced();
  OwnServerShutdown.onHistoryReplaced();
  HistoryReplaced = true;
}

void PeerDiscovery::restoreRecords() {
  const bool Announcing = OwnAnnouncement.restore();
  const bool KeepingShutdown = OwnServerShutdown.restore();
  Log.state("announcements_read_again",
            {{"own_written_again", Announcing},
             {"server_shutdown_written_again", KeepingShutdown},
             {"secret_missing", !StoredSecret.has_value()},
             {"known", Announcements.size()},
             {"offset", Follower.position().value()}});
}

void PeerDiscovery::reconcileSecret() {
  if (StoredSecret == Secret)
    return;
  if (StoredSecret && precedesSecret(*StoredSecret, Secret)) {
    Secret = *StoredSecret;
    Log.state("fleet_secret_adopted",
              {{"why", "the one in the store was created earlier"}});
    return Peers.changeSecret(Secret);
  }
  Log.state("fleet_secret_written_again",
            {{"why", StoredSecret ? "the store has a later one"
                                  : "the store has none"}});
  // A failed append is repeated after the next read. The same value may be
  // written by several daemons.
  Store.append(
      kFleetStream, {{}, kSecretKey, Secret}, std::nullopt,
      [this](const platformlog::StoreResult &Result) {
        if (Result.Status != platformlog::StoreStatus::Done)
          Log.state("fleet_secret_not_written",
                    {{"status", platformlog::storeStatusName(Result.Status)},
                     {"detail", Result.Detail}});
        Loop.cancelTimer(SecretCheckTimer);
        SecretCheckTimer =
            Loop.startTimer(kSecretCheckDelay, [this] { Follower.readNow(); });
      });
}

/// Of two daemons that start together, at least one reads the announcement of
/// the other, because each reads after its own has been stored.
void PeerDiscovery::onAnnounced() {
  if (!std::exchange(Announced, true))
    Follower.readNow();
}

/// The record of a daemon that drains stays in the store, so that the next
/// process of the instance knows which incarnation it must exceed.
void PeerDiscovery::announce() {
  OwnAnnouncement.write(base::encode(Gossip.self()));
}

void PeerDiscovery::keepServerShutdown(const ServerShutdown &Known) {
  OwnServerShutdown.write(base::encode(Known));
}

void PeerDiscovery::announceDraining() {
  send(Gossip.changeOwnState(membership::MemberState::Draining));
  announce();
}

void PeerDiscovery::onDatagram(const base::Endpoint &From,
                               const std::string &Body) {
  const auto Message = membership::decode(Body);
  if (!Message)
    return;
  send(Gossip.receive(*Message, From, Loop.clock().now()));
  if (Message->Kind == membership::DatagramKind::LogConfirmation)
    onLogConfirmation(Message->Sender.Process.Instance);
  // Changes are applied at once, so that the next request already avoids a
  // daemon that drains.
  notifyChanges();
}

void PeerDiscovery::onLogConfirmation(const base::InstanceId &Reader) {
  const bool WasReader = ReaderRole.isReader();
  ReaderRole.onPeerRead(Gossip.logReaderRank(Reader) <
                        Gossip.logReaderRank(Gossip.self().Instance));
  if (WasReader && !ReaderRole.isReader())
    logRoleChange("a preferred daemon reads");
}

void PeerDiscovery::tick() {
  send(Gossip.tick(Loop.clock().now()));
  notifyChanges();
}

void PeerDiscovery::reportSilent(const base::ProcessId &Process) {
  Gossip.reportSilent(Process);
  notifyChanges();
}

void PeerDiscovery::notifyChanges() {
  const std::vector<base::InstanceId> Changed = Gossip.takeChanges();
  if (Changed.empty())
    return;
  const bool WasReader = ReaderRole.isReader();
  ReaderRole.setRank(Gossip.logReaderRank(Gossip.self().Instance));
  if (WasReader != ReaderRole.isReader())
    logRoleChange("members changed");
  for (const base::InstanceId &Instance : Changed) {
    const membership::MemberEntry *Entry = Gossip.members().find(Instance);
    if (Entry == nullptr)
      continue;
    Log.state("member_changed",
              {{"member", Instance.str()},
               {"epoch", Entry->Record.Incarnation.value()},
               {"service", Entry->Record.Service.str()},
               {"state", membership::memberStateName(Entry->Record.State)},
               {"silent", Entry->Silent}});
  }
  OnChange(Gossip.members(), Changed);
}

base::StreamPosition PeerDiscovery::highestPolicyPosition() const {
  return unpackPosition(Gossip.members().highestOffset());
}

void PeerDiscovery::onPolicyRead(const base::StreamPosition &End) {
  ReaderRole.onOwnRead();
  send(Gossip.setAppliedOffset(packPosition(End)));
  if (ReaderRole.isReader())
    send(Gossip.confirmOffset());
}

bool PeerDiscovery::takeOverReading() {
  const bool TookOver = ReaderRole.takeOverIfDue();
  if (TookOver)
    logRoleChange("no read was confirmed in time");
  return TookOver;
}

void PeerDiscovery::logRoleChange(const char *Reason) const {
  Log.state(
      "log_reader_changed",
      {{"reader", ReaderRole.isReader()},
       {"rank", Gossip.logReaderRank(Gossip.self().Instance)},
       {"last_read_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            ReaderRole.timeSinceRead())
                            .count()},
       {"offset", highestPolicyPosition().Offset.value()},
       {"why", Reason}});
}

std::size_t PeerDiscovery::daemonCount() const {
  const auto &Entries = Gossip.members().entries();
  const auto Alive = static_cast<std::size_t>(std::count_if(
      Entries.begin(), Entries.end(), [](const membership::MemberEntry &Each) {
        return Each.Record.State == membership::MemberState::Alive;
      }));
  const auto Announced = static_cast<std::size_t>(std::count_if(
      Announcements.begin(), Announcements.end(), [](const auto &Each) {
        return Each.second.State == membership::MemberState::Alive;
      }));
  return std::max<std::size_t>({Announced, Alive, 1});
}

/// After the read that follows the announcement and the first poll, the
/// interval depends on the size of the fleet.
void PeerDiscovery::onCaughtUp(base::LogOffset) {
  if (std::exchange(HistoryReplaced, false))
    restoreRecords();
  reconcileSecret();
  if (Announced && ++ReadsSinceAnnounced >= 2)
    Follower.setPollTiming({0s, pollInterval(daemonCount())});
  Follower.setRestartSpread(
      std::max(kMinRestartSpread,
               kRestartSpreadPerDaemon * static_cast<int>(daemonCount())));
}

void PeerDiscovery::onRecord(const platformlog::KeyedRecord &Record) {
  if (Record.Key == kSecretKey)
    StoredSecret = Record.Value;
  if (Record.Key == OwnAnnouncement.key())
    OwnAnnouncement.onRead(Record.Value);
  if (Record.Key == OwnServerShutdown.key())
    OwnServerShutdown.onRead(Record.Value);
  if (!Record.Key.starts_with(kAnnouncementPrefix))
    return;
  if (!Record.Value) {
    Announcements.erase(Record.Key);
    return;
  }
  const auto Member = base::decode<membership::Member>(*Record.Value);
  if (!Member || announcementKey(Member->Instance) != Record.Key) {
    Log.state("announcement_ignored", {{"key", Record.Key}});
    return;
  }
  const membership::StateClaim Claim = membership::claimOf(*Member);
  // An older copy of the store may hold an older claim.
  const auto [Known, IsNew] = Announcements.try_emplace(Record.Key, Claim);
  if (!IsNew && membership::supersedes(Claim, Known->second))
    Known->second = Claim;
  Gossip.mergeAnnouncement(*Member);
}

void PeerDiscovery::onReachabilityChanged(bool Reachable,
                                          const std::string &Detail) {
  Log.state(Reachable ? "store_reachable" : "store_lost",
            {{"stream", kFleetStream}, {"detail", Detail}});
}

void PeerDiscovery::send(
    const std::vector<membership::OutgoingDatagram> &Datagrams) {
  for (const membership::OutgoingDatagram &Each : Datagrams)
    Peers.sendDatagram(Each.To, membership::encode(Each.Message));
}

} // namespace relay
