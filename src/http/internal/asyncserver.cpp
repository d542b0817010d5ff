#include "http/asyncserver.h"

#include "http/internal/mhdsupport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace http {

namespace {

/// Unacknowledged data older than this closes a caller's connection, so that
/// a peer without power is noticed.
constexpr unsigned kUserTimeoutMilliseconds = 10'000;
constexpr std::size_t kListenBacklog = 511;

/// A request on its connection, from its first line to its response.
struct Exchange {
  ExchangeId Id;
  MHD_Connection *Connection = nullptr;
  Request Received;
  std::optional<Response> Answer;
  bool Started = false;
  bool TooLarge = false;
  bool Suspended = false;
  bool Abandoned = false;
};

/// What belongs to a caller's connection.
struct CallerSocket {
  int Descriptor = -1;
  Exchange *Current = nullptr;
};

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
  MHD_Daemon *Daemon = nullptr;
  int DaemonEpoll = -1;
  std::uint16_t Port = 0;
  std::uint64_t NextId = 1;
  std::unordered_map<ExchangeId, Exchange *> Waiting;
  eventloop::TimerId Timer;
  bool RunScheduled = false;

  /// Lets libmicrohttpd work; it must not be entered from its own callbacks.
  void runSoon() {
    if (std::exchange(RunScheduled, true))
      return;
    Loop.post([this] {
      RunScheduled = false;
      runNow();
    });
  }

  void runNow() {
    MHD_run(Daemon);
    Loop.cancel(Timer);
    MHD_UNSIGNED_LONG_LONG Left = 0;
    if (MHD_get_timeout(Daemon, &Left) != MHD_YES)
      return;
    Timer = Loop.after(std::chrono::milliseconds(Left), [this] { runNow(); });
  }

  static CallerSocket *socketOf(MHD_Connection *Connection) {
    const MHD_ConnectionInfo *Info =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return Info != nullptr ? static_cast<CallerSocket *>(Info->socket_context)
                           : nullptr;
  }

  void onConnected(MHD_Connection *Connection, void **Context) {
    auto Socket = std::make_unique<CallerSocket>();
    Socket->Descriptor =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    setsockopt(Socket->Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUserTimeoutMilliseconds, sizeof(kUserTimeoutMilliseconds));
    CallerSocket *Raw = Socket.release();
    *Context = Raw;
    Loop.watch(Raw->Descriptor, EPOLLRDHUP | EPOLLET,
               [this, Raw](std::uint32_t Events) {
                 if ((Events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
                   onCallerGone(*Raw);
               });
  }

  void onClosed(void **Context) {
    std::unique_ptr<CallerSocket> Socket(static_cast<CallerSocket *>(*Context));
    *Context = nullptr;
    if (Socket)
      Loop.unwatch(Socket->Descriptor);
  }

  void onCallerGone(CallerSocket &Socket) {
    Exchange *Current = Socket.Current;
    if (Current == nullptr || !Current->Suspended || Current->Answer)
      return;
    Current->Abandoned = true;
    Waiting.erase(Current->Id);
    resume(*Current);
    Answering.onAbandoned(Current->Id);
  }

  void resume(Exchange &Held) {
    if (!std::exchange(Held.Suspended, false))
      return;
    MHD_resume_connection(Held.Connection);
    runSoon();
  }

  MHD_Result begin(MHD_Connection *Connection, Exchange &Current,
                   const char *Method) {
    Current.Started = true;
    Current.Connection = Connection;
    Current.Received.Method = Method;
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                              &Current.Received.Headers);
    if (CallerSocket *Socket = socketOf(Connection))
      Socket->Current = &Current;
    const auto Idle =
        std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout);
    MHD_set_connection_option(Connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              static_cast<unsigned>(Idle.count() + 1));
    const auto Length = findHeader(Current.Received.Headers, "content-length");
    if (Length &&
        std::strtoull(Length->c_str(), nullptr, 10) > Limits.MaxBodyBytes)
      return queueResponse(Connection, Answering.bodyTooLarge(), true);
    return MHD_YES;
  }

  MHD_Result finish(MHD_Connection *Connection, Exchange &Current) {
    if (Current.Abandoned)
      return MHD_NO;
    if (Current.TooLarge)
      return queueResponse(Connection, Answering.bodyTooLarge(), true);
    if (Current.Answer)
      return queueResponse(Connection, *Current.Answer,
                           Current.Answer->CloseConnection);
    Current.Id = ExchangeId(NextId++);
    Waiting.emplace(Current.Id, &Current);
    Current.Suspended = true;
    MHD_suspend_connection(Connection);
    // The handler may respond at once, which must not happen inside
    // libmicrohttpd's callback.
    Loop.post([this, Id = Current.Id] { hand(Id); });
    return MHD_YES;
  }

  void hand(ExchangeId Id) {
    const auto Found = Waiting.find(Id);
    if (Found == Waiting.end())
      return;
    Answering.onRequest(*Server, Id, std::move(Found->second->Received));
  }

  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *, const char *Method, const char *,
                             const char *Data, std::size_t *Size,
                             void **Context) {
    auto &Impl = *static_cast<State *>(Self);
    auto &Current = *static_cast<Exchange *>(*Context);
    if (!Current.Started)
      return Impl.begin(Connection, Current, Method);
    if (*Size == 0)
      return Impl.finish(Connection, Current);
    std::string &Body = Current.Received.Body;
    if (Body.size() + *Size > Impl.Limits.MaxBodyBytes)
      Current.TooLarge = true;
    else
      Body.append(Data, *Size);
    *Size = 0;
    return MHD_YES;
  }

  static void *onUri(void *, const char *Uri, MHD_Connection *) {
    auto Created = std::make_unique<Exchange>();
    splitTarget(Uri, Created->Received);
    return Created.release();
  }

  static void onCompleted(void *Self, MHD_Connection *Connection,
                          void **Context, MHD_RequestTerminationCode) {
    auto &Impl = *static_cast<State *>(Self);
    const std::unique_ptr<Exchange> Ended(static_cast<Exchange *>(*Context));
    *Context = nullptr;
    if (!Ended)
      return;
    if (CallerSocket *Socket = socketOf(Connection);
        Socket != nullptr && Socket->Current == Ended.get())
      Socket->Current = nullptr;
    if (Impl.Waiting.erase(Ended->Id) > 0)
      Impl.Answering.onAbandoned(Ended->Id);
  }

  static void onConnection(void *Self, MHD_Connection *Connection,
                           void **Context,
                           MHD_ConnectionNotificationCode Code) {
    auto &Impl = *static_cast<State *>(Self);
    if (Code == MHD_CONNECTION_NOTIFY_STARTED)
      Impl.onConnected(Connection, Context);
    else
      Impl.onClosed(Context);
  }
};

AsyncServer::AsyncServer(std::unique_ptr<State> Impl) : Impl(std::move(Impl)) {
  this->Impl->Server = this;
}

base::Result<std::unique_ptr<AsyncServer>>
AsyncServer::start(const AsyncServerSettings &Settings,
                   eventloop::EventLoop &Loop, AsyncHandler &Answering) {
  auto Impl = std::make_unique<State>(Settings, Loop, Answering);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Settings.Port);
  if (inet_pton(AF_INET, Settings.Ip.c_str(), &Address.sin_addr) != 1)
    return base::fail(base::ErrorKind::Internal,
                      "not an IPv4 address: " + Settings.Ip);
  Impl->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Settings.Port, nullptr, nullptr,
      &State::onAccess, Impl.get(), MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr *>(&Address), MHD_OPTION_CONNECTION_LIMIT,
      Settings.MaxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      Settings.ConnectionMemoryBytes, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      static_cast<unsigned>(kListenBacklog), MHD_OPTION_URI_LOG_CALLBACK,
      &State::onUri, nullptr, MHD_OPTION_NOTIFY_COMPLETED, &State::onCompleted,
      Impl.get(), MHD_OPTION_NOTIFY_CONNECTION, &State::onConnection,
      Impl.get(), MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (Impl->Daemon == nullptr)
    return base::fail(base::ErrorKind::Internal,
                      "can't listen on " + Settings.Ip + ":" +
                          std::to_string(Settings.Port));
  Impl->Port =
      MHD_get_daemon_info(Impl->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  Impl->DaemonEpoll =
      MHD_get_daemon_info(Impl->Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  State *Raw = Impl.get();
  Loop.watch(Raw->DaemonEpoll, EPOLLIN,
             [Raw](std::uint32_t) { Raw->runNow(); });
  return std::unique_ptr<AsyncServer>(new AsyncServer(std::move(Impl)));
}

AsyncServer::~AsyncServer() {
  Impl->Loop.cancel(Impl->Timer);
  Impl->Loop.unwatch(Impl->DaemonEpoll);
  for (auto &[Id, Held] : Impl->Waiting) {
    Held->Abandoned = true;
    if (std::exchange(Held->Suspended, false))
      MHD_resume_connection(Held->Connection);
  }
  Impl->Waiting.clear();
  MHD_stop_daemon(Impl->Daemon);
}

std::uint16_t AsyncServer::port() const { return Impl->Port; }

void AsyncServer::setLimits(const CallerLimits &New) { Impl->Limits = New; }

void AsyncServer::respond(ExchangeId Id, Response Answer) {
  const auto Found = Impl->Waiting.find(Id);
  if (Found == Impl->Waiting.end())
    return;
  Exchange &Held = *Found->second;
  Impl->Waiting.erase(Found);
  Held.Answer = std::move(Answer);
  Impl->resume(Held);
}

std::size_t AsyncServer::openExchanges() const { return Impl->Waiting.size(); }

} // namespace http
