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

constexpr base::Duration kPingInterval = 1s;
constexpr base::Duration kSilenceLimit = 3s;
constexpr base::Duration kHandshakeLimit = 2s;
constexpr base::Duration kIdleLimit = 60s;
constexpr std::chrono::milliseconds kLoopWait = 100ms;
constexpr std::size_t kMaxUnauthenticated = 256;

constexpr std::uint8_t kPingType = kFirstReservedType;
constexpr std::uint8_t kPongType = kFirstReservedType + 1;

constexpr std::uint64_t kListenTag = 0;
constexpr std::uint64_t kDatagramTag = 1;
constexpr std::uint64_t kWakeTag = 2;
constexpr std::uint64_t kFirstConnectionId = 16;

/// Work for the listener, collected under the lock and done outside it.
struct Deliveries {
  struct Arrived {
    ConnectionId Connection;
    base::ProcessId Peer;
    Frame Message;
  };
  struct Gone {
    ConnectionId Connection;
    bool WasOpen;
  };
  std::vector<Arrived> Frames;
  std::vector<Gone> Closed;
};

class EpollTransport final : public PeerTransport {
public:
  EpollTransport(const TransportSettings &Settings, ListeningSockets Sockets,
                 const base::Clock &Time, base::MetricsRegistry &Metrics,
                 PeerListener &Listener);
  ~EpollTransport() override;

  base::PeerAddress address() const override { return Sockets.Address; }
  ConnectionId connectionTo(const base::PeerAddress &Peer) override;
  bool send(ConnectionId Connection, Frame Message) override;
  void close(ConnectionId Connection) override;
  void sendDatagram(const base::PeerAddress &Peer,
                    const std::string &Body) override;

private:
  using Table = std::map<ConnectionId, Connection>;

  void run();
  void handleEvent(const epoll_event &Event, Deliveries &Todo);
  void acceptAll();
  void readDatagrams();
  void serveConnection(ConnectionId Id, Connection &Link, std::uint32_t Events,
                       Deliveries &Todo);
  void checkTimers(base::BootTime Now);
  bool expired(const Connection &Link, base::BootTime Now) const;
  void removeClosed(Deliveries &Todo);
  void watch(int Socket, std::uint64_t Tag, bool Writing, int Operation);
  void flush(ConnectionId Id, Connection &Link);
  void wake();
  ConnectionId add(Connection Link);

  const TransportSettings Settings;
  const SecretPair Secrets;
  ListeningSockets Sockets;
  const base::Clock &Time;
  PeerListener &Listener;
  const DatagramBox Box;
  const DatagramBox PreviousBox;
  FileDescriptor Epoll;
  FileDescriptor Wakeup;
  base::Counter &Opened;
  base::Counter &SilentClosed;
  base::Counter &Refused;
  base::Counter &BadDatagrams;
  base::Counter &LongDatagrams;
  base::Counter &DatagramBytes;

  std::mutex Mutex;
  Table Connections;
  std::map<base::PeerAddress, ConnectionId> Dialled;
  /// Peers that did not accept the current secret at the last attempt.
  std::set<base::PeerAddress> TryPrevious;
  std::uint64_t NextId = kFirstConnectionId;
  base::BootTime LastTimers;
  std::atomic<bool> Stopping = false;
  std::thread Loop;
};

EpollTransport::EpollTransport(const TransportSettings &Settings,
                               ListeningSockets Sockets,
                               const base::Clock &Time,
                               base::MetricsRegistry &Metrics,
                               PeerListener &Listener)
    : Settings(Settings), Secrets{Settings.Secret, Settings.PreviousSecret},
      Sockets(std::move(Sockets)), Time(Time), Listener(Listener),
      Box(Settings.Secret),
      PreviousBox(Settings.PreviousSecret.empty() ? Settings.Secret
                                                  : Settings.PreviousSecret),
      Epoll(epoll_create1(EPOLL_CLOEXEC)),
      Wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      Opened(Metrics.counter("peer_connections_opened_total")),
      SilentClosed(Metrics.counter("peer_connections_silent_total")),
      Refused(Metrics.counter("peer_connections_refused_total")),
      BadDatagrams(Metrics.counter("peer_datagrams_rejected_total")),
      LongDatagrams(Metrics.counter("peer_datagrams_too_long_total")),
      DatagramBytes(Metrics.counter("peer_datagram_bytes_sent_total")),
      LastTimers(Time.now()) {
  watch(this->Sockets.Tcp.value(), kListenTag, false, EPOLL_CTL_ADD);
  watch(this->Sockets.Udp.value(), kDatagramTag, false, EPOLL_CTL_ADD);
  watch(Wakeup.value(), kWakeTag, false, EPOLL_CTL_ADD);
  Loop = std::thread([this] { run(); });
}

EpollTransport::~EpollTransport() {
  Stopping = true;
  wake();
  Loop.join();
}

ConnectionId EpollTransport::connectionTo(const base::PeerAddress &Peer) {
  std::lock_guard Lock(Mutex);
  const auto Known = Dialled.find(Peer);
  if (Known != Dialled.end()) {
    const auto Link = Connections.find(Known->second);
    if (Link != Connections.end() &&
        Link->second.state() != Connection::State::Closed)
      return Known->second;
  }
  const ConnectionId Id =
      add(Connection::dial(startConnection(Peer), Peer, Settings.Self, Secrets,
                           TryPrevious.count(Peer) != 0, Time.now()));
  Dialled[Peer] = Id;
  return Id;
}

bool EpollTransport::send(ConnectionId Id, Frame Message) {
  std::lock_guard Lock(Mutex);
  const auto Link = Connections.find(Id);
  if (Link == Connections.end() || !Link->second.send(std::move(Message)))
    return false;
  Link->second.LastUsed = Time.now();
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

void EpollTransport::sendDatagram(const base::PeerAddress &Peer,
                                  const std::string &Body) {
  const auto Address = toSocketAddress(Peer);
  if (!Address || Body.size() > kMaxDatagramBytes) {
    LongDatagrams.add();
    return;
  }
  const std::string Sealed = Box.seal(Body);
  DatagramBytes.add(Sealed.size());
  sendto(Sockets.Udp.value(), Sealed.data(), Sealed.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
}

void EpollTransport::run() {
  std::array<epoll_event, 64> Events;
  while (!Stopping) {
    const int Count = epoll_wait(Epoll.value(), Events.data(),
                                 static_cast<int>(Events.size()),
                                 static_cast<int>(kLoopWait.count()));
    Deliveries Todo;
    bool HaveDatagrams = false;
    {
      std::lock_guard Lock(Mutex);
      for (int Index = 0; Index < Count; ++Index) {
        if (Events[Index].data.u64 == kDatagramTag)
          HaveDatagrams = true;
        else
          handleEvent(Events[Index], Todo);
      }
      checkTimers(Time.now());
      removeClosed(Todo);
    }
    if (HaveDatagrams)
      readDatagrams();
    for (Deliveries::Arrived &Each : Todo.Frames)
      Listener.onFrame(Each.Connection, Each.Peer, std::move(Each.Message));
    for (const Deliveries::Gone &Each : Todo.Closed)
      Listener.onClosed(Each.Connection, Each.WasOpen);
  }
}

void EpollTransport::handleEvent(const epoll_event &Event, Deliveries &Todo) {
  const std::uint64_t Tag = Event.data.u64;
  if (Tag == kListenTag)
    return acceptAll();
  if (Tag == kWakeTag) {
    std::uint64_t Ignored = 0;
    (void)!read(Wakeup.value(), &Ignored, sizeof(Ignored));
    return;
  }
  const auto Link = Connections.find(ConnectionId(Tag));
  if (Link != Connections.end())
    serveConnection(Link->first, Link->second, Event.events, Todo);
}

void EpollTransport::acceptAll() {
  for (;;) {
    FileDescriptor Socket = acceptConnection(Sockets.Tcp);
    if (!Socket.valid())
      return;
    std::size_t Unauthenticated = 0;
    for (const auto &[Id, Link] : Connections)
      Unauthenticated += Link.wasOpen() ? 0 : 1;
    if (Unauthenticated >= kMaxUnauthenticated) {
      Refused.add();
      continue;
    }
    add(Connection::accept(std::move(Socket), Settings.Self, Secrets,
                           Time.now()));
  }
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
    auto Body = Box.open(Sealed);
    if (!Body)
      Body = PreviousBox.open(Sealed);
    if (!Body) {
      BadDatagrams.add();
      continue;
    }
    Listener.onDatagram(fromSocketAddress(From), std::move(*Body));
  }
}

void EpollTransport::serveConnection(ConnectionId Id, Connection &Link,
                                     std::uint32_t Events, Deliveries &Todo) {
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    const bool WasOpen = Link.wasOpen();
    std::vector<Frame> Frames = Link.readFrames(Time.now());
    if (!WasOpen && Link.wasOpen())
      Opened.add();
    for (Frame &Message : Frames) {
      if (Message.Type == kPingType)
        Link.send({kPongType, ""});
      if (Message.Type >= kFirstReservedType)
        continue;
      Link.LastUsed = Time.now();
      Todo.Frames.push_back({Id, Link.peer(), std::move(Message)});
    }
  }
  flush(Id, Link);
}

void EpollTransport::checkTimers(base::BootTime Now) {
  const base::Duration SinceLast = Now - LastTimers;
  if (SinceLast < kLoopWait)
    return;
  LastTimers = Now;
  for (auto &[Id, Link] : Connections) {
    // A process that was paused must read what has arrived before it may call
    // a peer silent.
    if (SinceLast > kPingInterval)
      Link.LastReceived = Now;
    if (Link.state() == Connection::State::Closed)
      continue;
    if (expired(Link, Now)) {
      SilentClosed.add();
      Link.markClosed();
    } else if (Link.state() == Connection::State::Open &&
               Now - Link.LastPing >= kPingInterval) {
      Link.LastPing = Now;
      Link.send({kPingType, ""});
      flush(Id, Link);
    }
  }
}

bool EpollTransport::expired(const Connection &Link, base::BootTime Now) const {
  if (Link.state() != Connection::State::Open)
    return Now - Link.startedAt() >= kHandshakeLimit;
  if (Now - Link.LastReceived >= kSilenceLimit)
    return true;
  return Link.dialled() && Now - Link.LastUsed >= kIdleLimit;
}

void EpollTransport::removeClosed(Deliveries &Todo) {
  for (auto Entry = Connections.begin(); Entry != Connections.end();) {
    const Connection &Link = Entry->second;
    if (Link.state() != Connection::State::Closed) {
      ++Entry;
      continue;
    }
    if (Link.dialled()) {
      const base::PeerAddress &Peer = Link.dialledAddress();
      if (!Link.wasOpen() && !Link.usedPrevious() && !Secrets.Previous.empty())
        TryPrevious.insert(Peer);
      else
        TryPrevious.erase(Peer);
      const auto Known = Dialled.find(Peer);
      if (Known != Dialled.end() && Known->second == Entry->first)
        Dialled.erase(Known);
    }
    Todo.Closed.push_back({Entry->first, Link.wasOpen()});
    Entry = Connections.erase(Entry);
  }
}

void EpollTransport::watch(int Socket, std::uint64_t Tag, bool Writing,
                           int Operation) {
  epoll_event Event{};
  Event.events = EPOLLIN | (Writing ? EPOLLOUT : 0U);
  Event.data.u64 = Tag;
  epoll_ctl(Epoll.value(), Operation, Socket, &Event);
}

void EpollTransport::flush(ConnectionId Id, Connection &Link) {
  Link.flush();
  if (Link.state() == Connection::State::Closed)
    wake();
  else
    watch(Link.socket(), Id.value(), Link.wantsWrite(), EPOLL_CTL_MOD);
}

void EpollTransport::wake() {
  const std::uint64_t One = 1;
  (void)!write(Wakeup.value(), &One, sizeof(One));
}

ConnectionId EpollTransport::add(Connection Link) {
  const ConnectionId Id(NextId++);
  if (Link.state() == Connection::State::Closed)
    wake();
  else
    watch(Link.socket(), Id.value(), Link.wantsWrite(), EPOLL_CTL_ADD);
  Connections.emplace(Id, std::move(Link));
  return Id;
}

} // namespace

base::Result<std::unique_ptr<PeerTransport>>
PeerTransport::start(const TransportSettings &Settings, const base::Clock &Time,
                     base::MetricsRegistry &Metrics, PeerListener &Listener) {
  BOOST_LEAF_AUTO(Sockets, listenOn(Settings.Listen));
  return std::unique_ptr<PeerTransport>(std::make_unique<EpollTransport>(
      Settings, std::move(Sockets), Time, Metrics, Listener));
}

} // namespace transport
