#include "http/asyncserver.h"

#include "http/internal/callersocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <unordered_map>
#include <utility>

namespace http {

namespace {

using namespace std::chrono_literals;

/// Unacknowledged data older than this closes a caller's connection, so that
/// a peer without power is noticed.
constexpr unsigned kUserTimeoutMilliseconds = 10'000;
constexpr int kListenBacklog = 511;
/// How often idle connections are looked for.
constexpr base::Duration kSweepInterval = 1s;

struct Listener {
  int Descriptor = -1;
  std::uint16_t Port = 0;
};

base::Result<Listener> listenAt(const AsyncServerSettings &Settings) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Settings.Port);
  const std::string Where = Settings.Ip + ":" + std::to_string(Settings.Port);
  if (inet_pton(AF_INET, Settings.Ip.c_str(), &Address.sin_addr) != 1)
    return base::fail(base::ErrorKind::Internal,
                      "not an IPv4 address: " + Settings.Ip);
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  socklen_t Length = sizeof(Address);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Length) != 0 ||
      listen(Descriptor, kListenBacklog) != 0 ||
      getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                  &Length) != 0) {
    close(Descriptor);
    return base::fail(base::ErrorKind::Internal, "can't listen on " + Where);
  }
  return Listener{Descriptor, ntohs(Address.sin_port)};
}

} // namespace

struct AsyncServer::State {
  State(AsyncServerSettings Settings, eventloop::EventLoop &Loop,
        AsyncHandler &Answering)
      : Settings(std::move(Settings)), Loop(Loop), Answering(Answering) {}

  const AsyncServerSettings Settings;
  eventloop::EventLoop &Loop;
  AsyncHandler &Answering;
  AsyncServer *Server = nullptr;
  CallerLimits Limits;
  Listener Listening;
  std::uint64_t NextId = 1;
  std::unordered_map<int, std::unique_ptr<CallerSocket>> Sockets;
  std::unordered_map<ExchangeId, CallerSocket *> Waiting;
  eventloop::TimerId Sweep;
  /// Outlives the state in tasks that were posted.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  void acceptAll() {
    for (;;) {
      const int Descriptor = accept4(Listening.Descriptor, nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Descriptor < 0)
        return;
      if (Sockets.size() >= Settings.MaxConnections) {
        close(Descriptor);
        continue;
      }
      const int On = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &kUserTimeoutMilliseconds, sizeof(kUserTimeoutMilliseconds));
      auto Socket =
          std::make_unique<CallerSocket>(Descriptor, Loop.clock().now());
      CallerSocket &Added = *Socket;
      Sockets.emplace(Descriptor, std::move(Socket));
      onReady(Added, EPOLLIN);
    }
  }

  void watch(CallerSocket &Socket) {
    std::uint32_t Events = EPOLLRDHUP;
    if (Socket.wantsRead())
      Events |= EPOLLIN;
    if (Socket.wantsWrite())
      Events |= EPOLLOUT;
    Loop.watch(
        Socket.descriptor(), Events,
        [this, &Socket](std::uint32_t Ready) { onReady(Socket, Ready); });
  }

  void onReady(CallerSocket &Socket, std::uint32_t Ready) {
    const base::BootTime Now = Loop.clock().now();
    if ((Ready & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
      return drop(Socket);
    if ((Ready & EPOLLIN) != 0) {
      ReadOutcome Outcome = Socket.read(Limits, NextId, Now);
      hand(Socket, std::move(Outcome.Requests));
      if (Outcome.Gone)
        return drop(Socket);
    }
    advance(Socket, Now);
  }

  /// Sends what is due and waits for what comes next.
  void advance(CallerSocket &Socket, base::BootTime Now) {
    if (!Socket.flush(Now))
      return drop(Socket);
    watch(Socket);
  }

  /// Hands requests to the handler from the loop, since it may respond at once.
  void hand(CallerSocket &Socket,
            std::vector<std::pair<ExchangeId, Request>> &&Requests) {
    for (auto &[Id, Received] : Requests) {
      Waiting.emplace(Id, &Socket);
      Loop.post([this, Held = std::weak_ptr<bool>(Alive), Number = Id,
                 Message = std::move(Received)]() mutable {
        if (Held.lock() && Waiting.contains(Number))
          Answering.onRequest(*Server, Number, std::move(Message));
      });
    }
  }

  void drop(CallerSocket &Socket) {
    const std::vector<ExchangeId> Abandoned = Socket.waiting();
    Loop.unwatch(Socket.descriptor());
    Sockets.erase(Socket.descriptor());
    for (const ExchangeId Id : Abandoned)
      if (Waiting.erase(Id) > 0)
        Answering.onAbandoned(Id);
  }

  void respond(ExchangeId Id, Response Answer) {
    const auto Found = Waiting.find(Id);
    if (Found == Waiting.end())
      return;
    CallerSocket &Socket = *Found->second;
    Waiting.erase(Found);
    const base::BootTime Now = Loop.clock().now();
    if (!Socket.respond(Id, std::move(Answer), Now))
      return drop(Socket);
    hand(Socket, Socket.takeBuffered(Limits, NextId));
    advance(Socket, Now);
  }

  void sweep() {
    const base::BootTime Now = Loop.clock().now();
    std::vector<CallerSocket *> Expired;
    for (const auto &[Descriptor, Socket] : Sockets)
      if (Socket->expired(Limits, Now))
        Expired.push_back(Socket.get());
    for (CallerSocket *Each : Expired)
      drop(*Each);
    Sweep = Loop.startTimer(kSweepInterval, [this] { sweep(); });
  }
};

AsyncServer::AsyncServer(std::unique_ptr<State> New) : Impl(std::move(New)) {
  Impl->Server = this;
}

base::Result<std::unique_ptr<AsyncServer>>
AsyncServer::start(const AsyncServerSettings &Settings,
                   eventloop::EventLoop &Loop, AsyncHandler &Answering) {
  auto Impl = std::make_unique<State>(Settings, Loop, Answering);
  BOOST_LEAF_ASSIGN(Impl->Listening, listenAt(Settings));
  State *Raw = Impl.get();
  Loop.watch(Raw->Listening.Descriptor, EPOLLIN,
             [Raw](std::uint32_t) { Raw->acceptAll(); });
  Raw->sweep();
  return std::unique_ptr<AsyncServer>(new AsyncServer(std::move(Impl)));
}

AsyncServer::~AsyncServer() {
  Impl->Loop.cancelTimer(Impl->Sweep);
  Impl->Loop.unwatch(Impl->Listening.Descriptor);
  close(Impl->Listening.Descriptor);
  for (const auto &[Descriptor, Socket] : Impl->Sockets)
    Impl->Loop.unwatch(Descriptor);
}

std::uint16_t AsyncServer::port() const { return Impl->Listening.Port; }

void AsyncServer::setLimits(const CallerLimits &New) { Impl->Limits = New; }

void AsyncServer::respond(ExchangeId Id, Response Answer) {
  Impl->respond(Id, std::move(Answer));
}

std::size_t AsyncServer::openExchanges() const { return Impl->Waiting.size(); }

} // namespace http
