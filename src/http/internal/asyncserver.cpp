#include "http/asyncserver.h"

#include "http/internal/callersocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace http {

namespace {

using namespace std::chrono_literals;

/// A connection is closed if sent data stays unacknowledged for longer, so that
/// callers that disappeared without closing it are detected.
constexpr unsigned kAcknowledgementTimeoutMilliseconds = 10'000;
/// An incomplete request that has not arrived any further for this time is
/// refused before others if memory is short.
constexpr base::Duration kStallTime = 1s;
/// A connection that is closed to make place for another one has been silent
/// for this time at least.
constexpr base::Duration kMinIdleTime = 1s;
/// If the budget is exceeded, a caller that has read nothing for this time is
/// disconnected.
constexpr base::Duration kUnreadTime = 2s;
/// If the budget is exceeded by more than its maximum divided by this, such a
/// caller is disconnected at once.
constexpr std::size_t kToleratedExcessDivisor = 8;
constexpr int kListenBacklog = 511;
/// Interval between searches for expired connections.
constexpr base::Duration kExpiryInterval = 1s;

struct Listener {
  int Descriptor = -1;
  std::uint16_t Port = 0;
};

base::Result<Listener> openListener(const AsyncServerSettings &Settings) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Settings.Port);
  const std::string Endpoint =
      Settings.Ip + ":" + std::to_string(Settings.Port);
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
    return base::fail(base::ErrorKind::Internal, "can't listen on " + Endpoint);
  }
  return Listener{Descriptor, ntohs(Address.sin_port)};
}

} // namespace

struct AsyncServer::State {
  State(AsyncServerSettings Settings, eventloop::EventLoop &Loop,
        AsyncHandler &RequestHandler)
      : Settings(std::move(Settings)), Loop(Loop),
        RequestHandler(RequestHandler) {}

  const AsyncServerSettings Settings;
  eventloop::EventLoop &Loop;
  AsyncHandler &RequestHandler;
  AsyncServer *Server = nullptr;
  CallerLimits Limits;
  Listener Listening;
  std::uint64_t NextId = 1;
  std::unordered_map<int, std::unique_ptr<CallerSocket>> Sockets;
  std::unordered_map<ExchangeId, CallerSocket *> PendingExchanges;
  eventloop::TimerId ExpiryTimer;
  bool WillCloseUnread = false;
  /// Posted tasks hold a weak reference and do nothing once the state is
  /// destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  void acceptAll() {
    for (;;) {
      const int Descriptor = accept4(Listening.Descriptor, nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Descriptor < 0)
        return;
      if (Sockets.size() >= Settings.MaxConnections && !closeLongestIdle()) {
        close(Descriptor);
        continue;
      }
      const int On = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &kAcknowledgementTimeoutMilliseconds,
                 sizeof(kAcknowledgementTimeoutMilliseconds));
      auto Socket = std::make_unique<CallerSocket>(
          Descriptor, Loop.clock().now(), Settings.Budget);
      CallerSocket &Added = *Socket;
      Sockets.emplace(Descriptor, std::move(Socket));
      onReady(Added, EPOLLIN);
    }
  }

  /// Closes the connection that has been silent for the longest time of those
  /// without a request that has been passed on or a response. Returns false if
  /// none has been silent for long enough.
  bool closeLongestIdle() {
    const base::BootTime Now = Loop.clock().now();
    CallerSocket *Longest = nullptr;
    for (const auto &[Descriptor, Each] : Sockets)
      if (!Each->hasExchanges() && !Each->wantsWrite() &&
          Now - Each->lastActivity() >= kMinIdleTime &&
          (Longest == nullptr ||
           Each->lastActivity() < Longest->lastActivity()))
        Longest = Each.get();
    if (Longest == nullptr)
      return false;
    ServerRefusal Refusal;
    Refusal.Reason = ServerRefusalReason::TooManyConnections;
    Refusal.HeldBytes = Longest->heldBytes();
    Refusal.WithoutProgress = Now - Longest->lastActivity();
    RequestHandler.onServerRefusal(Refusal);
    disconnect(*Longest);
    return true;
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
      return disconnect(Socket);
    if ((Ready & EPOLLIN) != 0) {
      ReadResult Result = Socket.read(Limits, NextId, Now);
      dispatch(Socket, std::move(Result.Requests));
      if (Result.Disconnected)
        return disconnect(Socket);
    }
    flushAndWatch(Socket, Now);
  }

  /// Sends queued bytes, passes on the requests that were left unparsed while
  /// too many bytes were unsent, and updates the watched events.
  void flushAndWatch(CallerSocket &Socket, base::BootTime Now) {
    if (!Socket.flush(Now))
      return disconnect(Socket);
    parseBuffered(Socket, Now);
    // A malformed request is answered while it is parsed.
    if (!Socket.flush(Now))
      return disconnect(Socket);
    Socket.chargeAll();
    watch(Socket);
  }

  void parseBuffered(CallerSocket &Socket, base::BootTime Now) {
    for (;;) {
      if (Socket.shortOfMemory())
        makeRoom(Socket, Now);
      dispatch(Socket, Socket.parseBuffered(Limits, NextId, Now));
      reportRefusal(Socket);
      if (!Socket.shortOfMemory())
        return;
    }
  }

  /// Refuses incomplete requests until what the socket holds fits into the
  /// budget, or its own request has been refused.
  void makeRoom(CallerSocket &Socket, base::BootTime Now) {
    while (Socket.shortOfMemory() && !Socket.tryCharge()) {
      CallerSocket &Refused = chooseRefused(Socket, Now);
      Refused.refusePartialRequest(ServerRefusalReason::OutOfMemory, Now);
      if (&Refused == &Socket)
        return;
      sendRefusal(Refused, Now);
    }
  }

  void sendRefusal(CallerSocket &Socket, base::BootTime Now) {
    reportRefusal(Socket);
    // If the connection has failed, the loop reports that.
    (void)Socket.flush(Now);
    Socket.chargeAll();
    watch(Socket);
  }

  /// Which incomplete request to refuse so that the one of `Socket` finds room.
  /// Small ones are refused only for lack of progress, or if it is their own
  /// turn.
  CallerSocket &chooseRefused(CallerSocket &Socket, base::BootTime Now) {
    CallerSocket *LargestStalled = nullptr;
    CallerSocket *NewestLarge = nullptr;
    const bool OnlyLarge = isLarge(Socket);
    for (const auto &[Descriptor, Each] : Sockets) {
      const std::size_t Bytes = Each->partialRequestBytes();
      if (Bytes == 0 || (OnlyLarge && !isLarge(*Each)))
        continue;
      if (Now - Each->partialRequestProgress() >= kStallTime &&
          (LargestStalled == nullptr ||
           Bytes > LargestStalled->partialRequestBytes()))
        LargestStalled = Each.get();
      if (isLarge(*Each) &&
          (NewestLarge == nullptr ||
           Each->partialRequestStart() > NewestLarge->partialRequestStart()))
        NewestLarge = Each.get();
    }
    if (LargestStalled != nullptr)
      return *LargestStalled;
    return NewestLarge != nullptr ? *NewestLarge : Socket;
  }

  static bool isLarge(const CallerSocket &Socket) {
    return Socket.partialRequestBytes() >
           base::MemoryBudget::kSmallHoldingBytes;
  }

  void reportRefusal(CallerSocket &Socket) {
    if (const auto Refused = Socket.takeRefusal())
      RequestHandler.onServerRefusal(*Refused);
  }

  /// Posts requests to the handler. They are not passed to it directly because
  /// it may call `respond`, which may destroy the socket, during the call.
  void dispatch(CallerSocket &Socket,
                std::vector<std::pair<ExchangeId, Request>> &&Requests) {
    for (auto &[Id, Received] : Requests) {
      PendingExchanges.emplace(Id, &Socket);
      Loop.post([this, StateAlive = std::weak_ptr<bool>(Alive), Exchange = Id,
                 Message = std::move(Received)]() mutable {
        if (StateAlive.lock() && PendingExchanges.contains(Exchange))
          RequestHandler.onRequest(*Server, Exchange, std::move(Message));
      });
    }
  }

  void disconnect(CallerSocket &Socket) {
    const std::vector<ExchangeId> Abandoned = Socket.pendingExchangeIds();
    Loop.unwatch(Socket.descriptor());
    Sockets.erase(Socket.descriptor());
    for (const ExchangeId Id : Abandoned)
      if (PendingExchanges.erase(Id) > 0)
        RequestHandler.onCallerDisconnected(Id);
  }

  void respond(ExchangeId Id, Response Message) {
    const auto Found = PendingExchanges.find(Id);
    if (Found == PendingExchanges.end())
      return;
    CallerSocket &Socket = *Found->second;
    PendingExchanges.erase(Found);
    const base::BootTime Now = Loop.clock().now();
    if (!Socket.respond(Id, std::move(Message), Now))
      return disconnect(Socket);
    flushAndWatch(Socket, Now);
    if (!budgetExceeded() || std::exchange(WillCloseUnread, true))
      return;
    // The handler may not expect another caller to disconnect now.
    Loop.post([this, StateAlive = std::weak_ptr<bool>(Alive)] {
      if (StateAlive.lock())
        closeUnread();
    });
  }

  bool budgetExceeded() const {
    return Settings.Budget != nullptr && Settings.Budget->exceeded();
  }

  /// Closes connections of callers that don't read while the budget is
  /// exceeded.
  void closeUnread() {
    WillCloseUnread = false;
    const base::BootTime Now = Loop.clock().now();
    while (budgetExceeded()) {
      const std::size_t Tolerated =
          Settings.Budget->maxBytes() / kToleratedExcessDivisor;
      const bool FarExceeded = Settings.Budget->usedBytes() >
                               Settings.Budget->maxBytes() + Tolerated;
      CallerSocket *Chosen =
          largestUnread(Now, FarExceeded ? base::Duration(0) : kUnreadTime);
      if (Chosen == nullptr)
        return;
      ServerRefusal Refusal;
      Refusal.Reason = ServerRefusalReason::UnreadResponse;
      Refusal.BodyBytes = Chosen->unsentBytes();
      Refusal.HeldBytes = Chosen->heldBytes();
      Refusal.WithoutProgress = Now - Chosen->sendProgress();
      RequestHandler.onServerRefusal(Refusal);
      disconnect(*Chosen);
    }
  }

  /// The connection with the most unsent bytes of those whose callers have
  /// taken none for that time; null if there is none.
  CallerSocket *largestUnread(base::BootTime Now, base::Duration Time) const {
    CallerSocket *Largest = nullptr;
    for (const auto &[Descriptor, Each] : Sockets)
      if (Each->sendBlocked() && Now - Each->sendProgress() >= Time &&
          Each->unsentBytes() > base::MemoryBudget::kSmallHoldingBytes &&
          (Largest == nullptr || Each->unsentBytes() > Largest->unsentBytes()))
        Largest = Each.get();
    return Largest;
  }

  /// Refuses overdue requests, closes the expired connections and starts the
  /// timer for the next search.
  void closeExpired() {
    const base::BootTime Now = Loop.clock().now();
    std::vector<CallerSocket *> Expired;
    for (const auto &[Descriptor, Socket] : Sockets) {
      if (Socket->refuseOverdueRequest(Now))
        sendRefusal(*Socket, Now);
      else if (Socket->expired(Limits, Now))
        Expired.push_back(Socket.get());
    }
    for (CallerSocket *Each : Expired)
      disconnect(*Each);
    closeUnread();
    ExpiryTimer = Loop.startTimer(kExpiryInterval, [this] { closeExpired(); });
  }
};

AsyncServer::AsyncServer(std::unique_ptr<State> New) : Impl(std::move(New)) {
  Impl->Server = this;
}

base::Result<std::unique_ptr<AsyncServer>>
AsyncServer::start(const AsyncServerSettings &Settings,
                   eventloop::EventLoop &Loop, AsyncHandler &RequestHandler) {
  auto Impl = std::make_unique<State>(Settings, Loop, RequestHandler);
  BOOST_LEAF_ASSIGN(Impl->Listening, openListener(Settings));
  State *Raw = Impl.get();
  Loop.watch(Raw->Listening.Descriptor, EPOLLIN,
             [Raw](std::uint32_t) { Raw->acceptAll(); });
  Raw->closeExpired();
  return std::unique_ptr<AsyncServer>(new AsyncServer(std::move(Impl)));
}

AsyncServer::~AsyncServer() {
  Impl->Loop.cancelTimer(Impl->ExpiryTimer);
  Impl->Loop.unwatch(Impl->Listening.Descriptor);
  close(Impl->Listening.Descriptor);
  for (const auto &[Descriptor, Socket] : Impl->Sockets)
    Impl->Loop.unwatch(Descriptor);
}

std::uint16_t AsyncServer::port() const { return Impl->Listening.Port; }

void AsyncServer::setLimits(const CallerLimits &NewLimits) {
  Impl->Limits = NewLimits;
}

void AsyncServer::respond(ExchangeId Id, Response Message) {
  Impl->respond(Id, std::move(Message));
}

bool AsyncServer::hasRequestBehind(ExchangeId Id) const {
  const auto Found = Impl->PendingExchanges.find(Id);
  return Found != Impl->PendingExchanges.end() &&
         Found->second->hasRequestBehind(Id);
}

std::size_t AsyncServer::pendingExchanges() const {
  return Impl->PendingExchanges.size();
}

std::size_t AsyncServer::busyConnections() const {
  return static_cast<std::size_t>(
      std::count_if(Impl->Sockets.begin(), Impl->Sockets.end(),
                    [](const auto &Each) { return Each.second->busy(); }));
}

ConnectionSummary AsyncServer::connectionSummary() const {
  ConnectionSummary Result;
  Result.Open = Impl->Sockets.size();
  Result.PendingRequests = Impl->PendingExchanges.size();
  for (const auto &[Descriptor, Socket] : Impl->Sockets) {
    Result.WithPartialRequest += Socket->hasPartialRequest() ? 1 : 0;
    Result.WithUnreadBytes += Socket->hasUnreadBytes() ? 1 : 0;
    Result.WithUnacknowledgedBytes += Socket->hasUnacknowledgedBytes() ? 1 : 0;
    Result.UnsentBytes += Socket->unsentBytes();
  }
  return Result;
}

} // namespace http
