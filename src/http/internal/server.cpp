#include "http/server.h"

#include <microhttpd.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace http {

namespace {

constexpr unsigned kIdleTimeoutSeconds = 120;
/// Time for TCP handshakes in progress to complete, also with distant clients.
constexpr std::chrono::milliseconds kHandshakeWait(100);
constexpr std::size_t kThreadStackBytes = 256 << 10;

class SocketConnection final : public CallerConnection {
public:
  explicit SocketConnection(int Socket) : Socket(Socket) {}

  bool closed() const override {
    pollfd Entry{Socket, POLLRDHUP, 0};
    return poll(&Entry, 1, 0) > 0 &&
           (Entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

private:
  const int Socket;
};

/// A request that has not been received completely.
struct PendingRequest {
  Request Received;
  bool Started = false;
  bool TooLarge = false;
};

MHD_Result queueResponse(MHD_Connection *Connection, const Response &Message,
                         bool Close) {
  MHD_Response *MhdResponse = MHD_create_response_from_buffer(
      Message.Body.size(), const_cast<char *>(Message.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  for (const Header &Each : Message.Headers)
    if (!isHopByHopHeader(Each.Name))
      MHD_add_response_header(MhdResponse, Each.Name.c_str(),
                              Each.Value.c_str());
  if (Close)
    MHD_add_response_header(MhdResponse, MHD_HTTP_HEADER_CONNECTION, "close");
  const MHD_Result Result =
      MHD_queue_response(Connection, Message.Status, MhdResponse);
  MHD_destroy_response(MhdResponse);
  return Result;
}

/// Makes the kernel drop SYN packets to a listening socket, so that no new
/// connections are opened. Handshakes in progress can complete.
void dropNewConnections(int Listening) {
  constexpr std::uint32_t FlagsOffset = 13;
  constexpr std::uint32_t SynFlag = 0x02;
  std::array<sock_filter, 4> DropSyn{
      {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
       BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynFlag, 0, 1),
       BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, 0xffffffff)}};
  const sock_fprog Program{DropSyn.size(), DropSyn.data()};
  setsockopt(Listening, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
             sizeof(Program));
}

/// Callback for `MHD_get_connection_values`.
MHD_Result collectHeader(void *Target, MHD_ValueKind, const char *Name,
                         const char *Value) {
  auto &Headers = *static_cast<std::vector<Header> *>(Target);
  Headers.push_back({Name, Value != nullptr ? Value : ""});
  return MHD_YES;
}

} // namespace

struct Server::State {
  ServerSettings Settings;
  Handler *RequestHandler = nullptr;
  MHD_Daemon *Daemon = nullptr;
  std::uint16_t Port = 0;
  std::atomic<std::size_t> OpenRequests = 0;

  /// Called with the request target before the headers are parsed. The result
  /// becomes the request's context.
  static void *onUri(void *Self, const char *Uri, MHD_Connection *) {
    auto Pending = std::make_unique<PendingRequest>();
    splitTarget(Uri, Pending->Received);
    ++static_cast<State *>(Self)->OpenRequests;
    return Pending.release();
  }

  /// Called when the response has been sent or the connection is lost.
  static void onCompleted(void *Self, MHD_Connection *, void **Context,
                          MHD_RequestTerminationCode) {
    if (*Context == nullptr)
      return;
    delete static_cast<PendingRequest *>(std::exchange(*Context, nullptr));
    --static_cast<State *>(Self)->OpenRequests;
  }

  MHD_Result onHeaders(MHD_Connection *Connection, PendingRequest &Pending,
                       const char *Method) const {
    Pending.Started = true;
    Pending.Received.Method = Method;
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                              &Pending.Received.Headers);
    const auto Length = findHeader(Pending.Received.Headers, "content-length");
    if (Length &&
        std::strtoull(Length->c_str(), nullptr, 10) > Settings.MaxBodyBytes)
      return queueResponse(Connection, RequestHandler->bodyTooLarge(), true);
    return MHD_YES;
  }

  MHD_Result onRequestComplete(MHD_Connection *Connection,
                               PendingRequest &Pending) const {
    if (Pending.TooLarge)
      return queueResponse(Connection, RequestHandler->bodyTooLarge(), true);
    const MHD_ConnectionInfo *Info =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const SocketConnection Caller(Info->connect_fd);
    const Response Message =
        RequestHandler->handle(std::move(Pending.Received), Caller);
    return queueResponse(Connection, Message, Message.CloseConnection);
  }

  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *, const char *Method, const char *,
                             const char *Data, std::size_t *Size,
                             void **Context) {
    const auto &Impl = *static_cast<State *>(Self);
    auto &Pending = *static_cast<PendingRequest *>(*Context);
    if (!Pending.Started)
      return Impl.onHeaders(Connection, Pending, Method);
    if (*Size == 0)
      return Impl.onRequestComplete(Connection, Pending);
    std::string &Body = Pending.Received.Body;
    if (Body.size() + *Size > Impl.Settings.MaxBodyBytes)
      Pending.TooLarge = true;
    else
      Body.append(Data, *Size);
    *Size = 0;
    return MHD_YES;
  }
};

Server::Server(std::unique_ptr<State> Impl) : Impl(std::move(Impl)) {}

base::Result<std::unique_ptr<Server>>
Server::start(const ServerSettings &Settings, Handler &RequestHandler) {
  auto Impl = std::make_unique<State>();
  Impl->Settings = Settings;
  Impl->RequestHandler = &RequestHandler;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Settings.Port);
  if (inet_pton(AF_INET, Settings.Ip.c_str(), &Address.sin_addr) != 1)
    return base::fail(base::ErrorKind::Internal,
                      "not an IPv4 address: " + Settings.Ip);

  const bool Tls = !Settings.TlsCertificate.empty();
  unsigned Flags = MHD_USE_THREAD_PER_CONNECTION |
                   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  if (Tls)
    Flags |= MHD_USE_TLS;
  std::vector<MHD_OptionItem> TlsOptions;
  if (Tls) {
    TlsOptions.push_back(
        {MHD_OPTION_HTTPS_MEM_CERT, 0,
         const_cast<char *>(Impl->Settings.TlsCertificate.c_str())});
    TlsOptions.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0,
                          const_cast<char *>(Impl->Settings.TlsKey.c_str())});
  }
  TlsOptions.push_back({MHD_OPTION_END, 0, nullptr});
  Impl->Daemon = MHD_start_daemon(
      Flags, Settings.Port, nullptr, nullptr, &State::onAccess, Impl.get(),
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&Address),
      MHD_OPTION_CONNECTION_LIMIT, Settings.MaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
      MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes,
      MHD_OPTION_URI_LOG_CALLBACK, &State::onUri, Impl.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &State::onCompleted, Impl.get(),
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_ARRAY,
      TlsOptions.data(), MHD_OPTION_END);
  if (Impl->Daemon == nullptr)
    return base::fail(base::ErrorKind::Internal,
                      "can't listen on " + Settings.Ip + ":" +
                          std::to_string(Settings.Port));
  Impl->Port =
      MHD_get_daemon_info(Impl->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return std::unique_ptr<Server>(new Server(std::move(Impl)));
}

Server::~Server() {
  stopAccepting();
  MHD_stop_daemon(Impl->Daemon);
}

std::uint16_t Server::port() const { return Impl->Port; }

std::size_t Server::openRequests() const { return Impl->OpenRequests; }

void Server::stopAccepting() {
  const int Listening = MHD_quiesce_daemon(Impl->Daemon);
  if (Listening < 0)
    return;
  // Closing the socket resets established connections in the accept queue, so
  // they are accepted first. No new ones may be added until the close.
  dropNewConnections(Listening);
  std::this_thread::sleep_for(kHandshakeWait);
  fcntl(Listening, F_SETFL, fcntl(Listening, F_GETFL) | O_NONBLOCK);
  for (;;) {
    sockaddr_in Address{};
    socklen_t Length = sizeof(Address);
    const int Socket =
        accept4(Listening, reinterpret_cast<sockaddr *>(&Address), &Length,
                SOCK_CLOEXEC);
    if (Socket < 0)
      break;
    MHD_add_connection(Impl->Daemon, Socket,
                       reinterpret_cast<const sockaddr *>(&Address), Length);
  }
  close(Listening);
}

} // namespace http
