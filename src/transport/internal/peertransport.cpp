#include "transport/peertransport.h"

#include "transport/internal/connection.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace transport {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kHandshakeTimeout = 2s;
/// A dialled connection without application frames is closed after this time.
constexpr base::Duration kIdleTimeout = 60s;
/// Longest wait of the event loop and shortest interval between timer checks.
constexpr std::chrono::milliseconds kTimerInterval = 100ms;
/// A longer time between timer checks means that this process was paused.
constexpr base::Duration kPauseTime = 1s;
/// Limit on connections whose handshake has not completed.
constexpr std::size_t kMaxUnauthenticated = 256;

constexpr std::uint8_t kPingType = kFirstReservedType;
constexpr std::uint8_t kPongType = kFirstReservedType + 1;

/// Values of `epoll_event::data`; larger ones are connection ids.
constexpr std::uint64_t kListenTag = 0;
constexpr std::uint64_t kDatagramTag = 1;
constexpr std::uint64_t kWakeTag = 2;
constexpr std::uint64_t kFirstConnectionId = 16;

/// Events for the listener. They are collected under the lock and delivered
/// after it is released, so that the listener can call the transport.
struct PendingEvents {
  struct ReceivedFrame {
    ConnectionId Connection;
    base::ProcessId Peer;
    Frame Message;
  };
  struct ClosedConnection {
    ConnectionId Connection;
    bool WasOpen;
  };
  std::vector<ReceivedFrame> Frames;
  std::vector<ClosedConnection> Closed;
};

class EpollTransport final : public PeerTransport {
public:
  EpollTransport(const TransportSettings &Settings, ListeningSockets Sockets,
                 const base::Clock &Clock, base::MetricsRegistry &Metrics,
                 PeerListener &Listener);
  ~EpollTransport() override;

  base::Endpoint address() const override { return Sockets.Address; }
  ConnectionId connectionTo(const base::Endpoint &Peer) override;
  bool send(ConnectionId Connection, Frame Message) override;
  void close(ConnectionId Connection) override;
  void changeSecret(const std::string &NewSecret) override;
  void sendDatagram(const base::Endpoint &Peer,
                    const std::string &Body) override;

private:
  using Table = std::map<ConnectionId, Connection>;

  void run();
  void handleEvent(const epoll_event &Event, PendingEvents &Pending);
  void acceptAll();
  void readDatagrams();
  DatagramCipher currentCipher();
  std::optional<std::string> openDatagram(std::string_view Sealed);
  void onConnectionReady(ConnectionId Id, Connection &Link,
                         std::uint32_t Events, PendingEvents &Pending);
  void checkTimers(base::BootTime Now);
  bool expired(const Connection &Link, base::BootTime Now) const;
  void removeClosed(PendingEvents &Pending);
  void updateEpoll(int Socket, std::uint64_t Tag, bool WantsWrite,
                   int Operation);
  void flush(ConnectionId Id, Connection &Link);
  void wake();
  ConnectionId add(Connection Link);

  const TransportSettings Settings;
  ListeningSockets Sockets;
  const base::Clock &Clock;
  PeerListener &Listener;
  FileDescriptor Epoll;
  FileDescriptor WakeEvent;
  base::Counter &OpenedConnections;
  base::Counter &ExpiredConnections;
  base::Counter &RefusedConnections;
  base::Counter &RefusedFrames;
  base::Counter &InvalidDatagrams;
  base::Counter &OversizedDatagrams;
  base::Counter &SentDatagramBytes;

  std::mutex Mutex;
  SecretPair Secrets;
  DatagramCipher CurrentCipher;
  DatagramCipher PreviousCipher;
  Table Connections;
  std::map<base::Endpoint, ConnectionId> Dialled;
  /// Peers with which the last handshake under the current secret failed; the
  /// next attempt uses the previous secret.
  std::set<base::Endpoint> UsePreviousSecret;
  std::uint64_t NextId = kFirstConnectionId;
  base::BootTime LastTimerCheck;
  std::atomic<bool> Stopping = false;
  std::thread EventThread;
};

EpollTransport::EpollTransport(const TransportSettings &Settings,
                               ListeningSockets Sockets,
                               const base::Clock &Clock,
                               base::MetricsRegistry &Metrics,
                               PeerListener &Listener)
    : Settings(Settings), Sockets(std::move(Sockets)), Clock(Clock),
      Listener(Listener), Epoll(epoll_create1(EPOLL_CLOEXEC)),
      WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      OpenedConnections(Metrics.counter("peer_connections_opened_total")),
      ExpiredConnections(Metrics.counter("peer_connections_silent_total")),
      RefusedConnections(Metrics.counter("peer_connections_refused_total")),
      RefusedFrames(Metrics.counter("peer_frames_refused_total")),
      InvalidDatagrams(Metrics.counter("peer_datagrams_rejected_total")),
      OversizedDatagrams(Metrics.counter("peer_datagrams_too_long_total")),
      SentDatagramBytes(Metrics.counter("peer_datagram_bytes_sent_total")),
      Secrets{Settings.Secret, Settings.PreviousSecret},
      CurrentCipher(Settings.Secret),
      PreviousCipher(Settings.PreviousSecret.empty() ? Settings.Secret
                                                     : Settings.PreviousSecret),
      LastTimerCheck(Clock.now()) {
  updateEpoll(this->Sockets.Tcp.value(), kListenTag, false, EPOLL_CTL_ADD);
  updateEpoll(this->Sockets.Udp.value(), kDatagramTag, false, EPOLL_CTL_ADD);
  updateEpoll(WakeEvent.value(), kWakeTag, false, EPOLL_CTL_ADD);
  EventThread = std::thread([this] { run(); });
}

EpollTransport::~EpollTransport() {
  Stopping = true;
  wake();
  EventThread.join();
}

ConnectionId EpollTransport::connectionTo(const base::Endpoint &Peer) {
  std::lock_guard Lock(Mutex);
  const auto Existing = Dialled.find(Peer);
  if (Existing != Dialled.end()) {
    const auto Link = Connections.find(Existing->second);
    if (Link != Connections.end() &&
        Link->second.state() != Connection::State::Closed)
      return Existing->second;
  }
  const ConnectionId Id = add(Connection::dial(
      startConnection(Peer), Peer, Settings.Self, Secrets,
      UsePreviousSecret.count(Peer) != 0, Clock.now(), Settings.Budget));
  Dialled[Peer] = Id;
  return Id;
}

bool EpollTransport::send(ConnectionId Id, Frame Message) {
  std::lock_guard Lock(Mutex);
  const auto Link = Connections.find(Id);
  if (Link == Connections.end() || !Link->second.send(std::move(Message))) {
    RefusedFrames.add();
    return false;
  }
  Link->second.Liveness.onUsed(Clock.now());
  if (Link->second.state() == Connection::State::Open)
    flush(Id, Link->second);
  return true;
}

void EpollTransport::close(ConnectionId Id) {
  {
    std::lock_guard Lock(Mutex);
    const auto Link = Connections.find(Id);
    if (Link == Connections.end())
      return;
    Link->second.markClosed();
  }
  wake();
}

void EpollTransport::changeSecret(const std::string &NewSecret) {
  std::lock_guard Lock(Mutex);
  Secrets = {NewSecret, Secrets.Current};
  PreviousCipher = std::exchange(CurrentCipher, DatagramCipher(NewSecret));
  UsePreviousSecret.clear();
}

DatagramCipher EpollTransport::currentCipher() {
  std::lock_guard Lock(Mutex);
  return CurrentCipher;
}

void EpollTransport::sendDatagram(const base::Endpoint &Peer,
                                  const std::string &Body) {
  const auto Address = toSocketAddress(Peer);
  if (!Address || Body.size() > kMaxDatagramBytes) {
    OversizedDatagrams.add();
    return;
  }
  const std::string Sealed = currentCipher().seal(Body);
  SentDatagramBytes.add(Sealed.size());
  sendto(Sockets.Udp.value(), Sealed.data(), Sealed.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
}

void EpollTransport::run() {
  std::array<epoll_event, 64> Events;
  while (!Stopping) {
    const int Count = epoll_wait(Epoll.value(), Events.data(),
                                 static_cast<int>(Events.size()),
                                 static_cast<int>(kTimerInterval.count()));
    PendingEvents Pending;
    bool HaveDatagrams = false;
    {
      std::lock_guard Lock(Mutex);
      for (int Index = 0; Index < Count; ++Index) {
        if (Events[Index].data.u64 == kDatagramTag)
          HaveDatagrams = true;
        else
          handleEvent(Events[Index], Pending);
      }
      checkTimers(Clock.now());
      removeClosed(Pending);
    }
    if (HaveDatagrams)
      readDatagrams();
    for (PendingEvents::ReceivedFrame &Each : Pending.Frames)
      Listener.onFrame(Each.Connection, Each.Peer, std::move(Each.Message));
    for (const PendingEvents::ClosedConnection &Each : Pending.Closed)
      Listener.onClosed(Each.Connection, Each.WasOpen);
  }
}

void EpollTransport::handleEvent(const epoll_event &Event,
                                 PendingEvents &Pending) {
  const std::uint64_t Tag = Event.data.u64;
  if (Tag == kListenTag)
    return acceptAll();
  if (Tag == kWakeTag) {
    std::uint64_t Ignored = 0;
    (void)!read(WakeEvent.value(), &Ignored, sizeof(Ignored));
    return;
  }
  const auto Link = Connections.find(ConnectionId(Tag));
  if (Link != Connections.end())
    onConnectionReady(Link->first, Link->second, Event.events, Pending);
}

void EpollTransport::acceptAll() {
  for (;;) {
    FileDescriptor Socket = acceptConnection(Sockets.Tcp);
    if (!Socket.valid())
      return;
    std::size_t Unauthenticated = 0;
    for (const auto &[Id, Link] : Connections)
      Unauthenticated += Link.everOpen() ? 0 : 1;
    if (Unauthenticated >= kMaxUnauthenticated) {
      RefusedConnections.add();
      continue;
    }
    add(Connection::accept(std::move(Socket), Settings.Self, Secrets,
                           Clock.now(), Settings.Budget));
  }
}

std::optional<std::string>
EpollTransport::openDatagram(std::string_view Sealed) {
  std::lock_guard Lock(Mutex);
  auto Body = CurrentCipher.open(Sealed);
  return Body ? Body : PreviousCipher.open(Sealed);
}

void EpollTransport::readDatagrams() {
  std::array<char, 2048> Buffer;
  for (;;) {
    sockaddr_in From{};
    socklen_t Length = sizeof(From);
    const ssize_t Count =
        recvfrom(Sockets.Udp.value(), Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&From), &Length);
    if (Count < 0)
      return;
    const std::string_view Sealed(Buffer.data(),
                                  static_cast<std::size_t>(Count));
    auto Body = openDatagram(Sealed);
    if (!Body) {
      InvalidDatagrams.add();
      continue;
    }
    Listener.onDatagram(fromSocketAddress(From), std::move(*Body));
  }
}

void EpollTransport::onConnectionReady(ConnectionId Id, Connection &Link,
                                       std::uint32_t Events,
                                       PendingEvents &Pending) {
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    const bool WasOpen = Link.everOpen();
    std::vector<Frame> Frames = Link.readFrames(Clock.now());
    if (!WasOpen && Link.everOpen())
      OpenedConnections.add();
    for (Frame &Message : Frames) {
      if (Message.Type == kPingType)
        Link.send({kPongType, ""});
      if (Message.Type >= kFirstReservedType)
        continue;
      Link.Liveness.onUsed(Clock.now());
      Pending.Frames.push_back({Id, Link.peer(), std::move(Message)});
    }
  }
  flush(Id, Link);
}

void EpollTransport::checkTimers(base::BootTime Now) {
  const base::Duration SinceLastCheck = Now - LastTimerCheck;
  if (SinceLastCheck < kTimerInterval)
    return;
  LastTimerCheck = Now;
  for (auto &[Id, Link] : Connections) {
    // After a pause of this process, frames from the peer may still wait in the
    // socket buffer, so the time without any starts again.
    if (SinceLastCheck > kPauseTime)
      Link.Liveness.onReceived(Now);
    if (Link.state() == Connection::State::Closed)
      continue;
    if (expired(Link, Now)) {
      ExpiredConnections.add();
      Link.markClosed();
    } else if (Link.state() == Connection::State::Open &&
               Link.Liveness.pingDue(Now)) {
      Link.Liveness.onPing(Now);
      Link.send({kPingType, ""});
      flush(Id, Link);
    }
  }
}

bool EpollTransport::expired(const Connection &Link, base::BootTime Now) const {
  if (Link.state() != Connection::State::Open)
    return Now - Link.startedAt() >= kHandshakeTimeout;
  if (Link.Liveness.isSilent(Now))
    return true;
  return Link.isDialler() && Now - Link.Liveness.lastUsed() >= kIdleTimeout;
}

void EpollTransport::removeClosed(PendingEvents &Pending) {
  for (auto Entry = Connections.begin(); Entry != Connections.end();) {
    const Connection &Link = Entry->second;
    if (Link.state() != Connection::State::Closed) {
      ++Entry;
      continue;
    }
    if (Link.isDialler()) {
      const base::Endpoint &Peer = Link.dialledAddress();
      if (!Link.everOpen() && !Link.usedPreviousSecret() &&
          !Secrets.Previous.empty())
        UsePreviousSecret.insert(Peer);
      else
        UsePreviousSecret.erase(Peer);
      const auto Existing = Dialled.find(Peer);
      if (Existing != Dialled.end() && Existing->second == Entry->first)
        Dialled.erase(Existing);
    }
    Pending.Closed.push_back({Entry->first, Link.everOpen()});
    Entry = Connections.erase(Entry);
  }
}

void EpollTransport::updateEpoll(int Socket, std::uint64_t Tag, bool WantsWrite,
                                 int Operation) {
  epoll_event Event{};
  Event.events = EPOLLIN | (WantsWrite ? EPOLLOUT : 0U);
  Event.data.u64 = Tag;
  epoll_ctl(Epoll.value(), Operation, Socket, &Event);
}

void EpollTransport::flush(ConnectionId Id, Connection &Link) {
  Link.flush();
  if (Link.state() == Connection::State::Closed)
    wake();
  else
    updateEpoll(Link.socket(), Id.value(), Link.wantsWrite(), EPOLL_CTL_MOD);
}

void EpollTransport::wake() {
  const std::uint64_t One = 1;
  (void)!write(WakeEvent.value(), &One, sizeof(One));
}

ConnectionId EpollTransport::add(Connection Link) {
  const ConnectionId Id(NextId++);
  if (Link.state() == Connection::State::Closed)
    wake();
  else
    updateEpoll(Link.socket(), Id.value(), Link.wantsWrite(), EPOLL_CTL_ADD);
  Connections.emplace(Id, std::move(Link));
  return Id;
}

} // namespace

base::Result<std::unique_ptr<PeerTransport>>
PeerTransport::start(const TransportSettings &Settings,
                     const base::Clock &Clock, base::MetricsRegistry &Metrics,
                     PeerListener &Listener) {
  BOOST_LEAF_AUTO(Sockets, listenOn(Settings.ListenAddress));
  return std::unique_ptr<PeerTransport>(std::make_unique<EpollTransport>(
      Settings, std::move(Sockets), Clock, Metrics, Listener));
}

} // namespace transport
