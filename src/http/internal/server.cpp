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
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace http {

namespace {

constexpr unsigned kIdleTimeoutSeconds = 120;
/// Time for TCP handshakes in progress to complete, also with distant clients.
constexpr std::chrono::milliseconds kHandshakeWait(100);
constexpr std::size_t kThreadStackBytes = 256 << 10;
/// Bytes of a body without a length that are handed to the socket at once.
constexpr std::size_t kBodyBlockBytes = 64 << 10;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr std::uint16_t kBadGateway = 502;

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
  bool IsHead = false;
};

/// Sockets whose connections must end by a reset, because a response that ends
/// with its connection would look whole if they were closed now. Thread-safe.
class UnfinishedSockets {
public:
  /// The kernel resets the connection from now on when the socket is closed,
  /// including the close by the end of the process.
  void add(int Socket) {
    std::lock_guard Lock(Mutex);
    setLinger(Socket, {1, 0});
    Sockets.insert(Socket);
    if (Stopping)
      reset(Socket);
  }

  /// The connection has ended or is about to.
  void forget(int Socket) {
    std::lock_guard Lock(Mutex);
    Sockets.erase(Socket);
  }

  /// The socket is closed normally from now on.
  void remove(int Socket) {
    std::lock_guard Lock(Mutex);
    if (Sockets.erase(Socket) > 0)
      setLinger(Socket, {0, 0});
  }

  /// Resets the connections of all sockets, also of those added later.
  /// `MHD_stop_daemon` would shut them down first, which ends a connection
  /// normally if no byte is queued.
  void resetAll() {
    std::lock_guard Lock(Mutex);
    Stopping = true;
    for (const int Each : Sockets)
      reset(Each);
  }

private:
  static void reset(int Socket) {
    sockaddr Unspecified{};
    Unspecified.sa_family = AF_UNSPEC;
    // Fails only if the connection has already ended.
    (void)connect(Socket, &Unspecified, sizeof(Unspecified));
  }

  static void setLinger(int Socket, linger Option) {
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
  }

  std::mutex Mutex;
  std::set<int> Sockets;
  bool Stopping = false;
};

/// A body without a length, which libmicrohttpd reads block by block. Owned by
/// its response, which libmicrohttpd destroys before it closes the socket.
class BodyUntilClose {
public:
  BodyUntilClose(std::string Body, int Socket, UnfinishedSockets &Unfinished)
      : Body(std::move(Body)), Socket(Socket), Unfinished(Unfinished) {}
  BodyUntilClose(const BodyUntilClose &) = delete;
  ~BodyUntilClose() { Unfinished.forget(Socket); }

  /// Called for the next block once all bytes before `Position` have been
  /// handed to the socket.
  static ssize_t read(void *Self, std::uint64_t Position, char *Target,
                      std::size_t MaxBytes) {
    auto &Source = *static_cast<BodyUntilClose *>(Self);
    if (Position >= Source.Body.size()) {
      Source.Unfinished.remove(Source.Socket);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    return static_cast<ssize_t>(
        Source.Body.copy(Target, MaxBytes, static_cast<std::size_t>(Position)));
  }

  static void release(void *Self) {
    delete static_cast<BodyUntilClose *>(Self);
  }

private:
  const std::string Body;
  const int Socket;
  UnfinishedSockets &Unfinished;
};

int socketOf(MHD_Connection *Connection) {
  return MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/// Makes a response without a length or chunks, which closes its connection.
MHD_Response *makeUnsizedResponse(std::unique_ptr<BodyUntilClose> Body) {
  MHD_Response *Result = MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kBodyBlockBytes, &BodyUntilClose::read, Body.release(),
      &BodyUntilClose::release);
  MHD_set_response_options(Result, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                           MHD_RO_END);
  return Result;
}

/// Makes a response without a body whose length is the one in its headers.
MHD_Response *makeResponseWithStatedLength(const std::string &Length) {
  MHD_Response *Result =
      MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
  MHD_set_response_options(Result, MHD_RF_INSANITY_HEADER_CONTENT_LENGTH,
                           MHD_RO_END);
  MHD_add_response_header(Result, MHD_HTTP_HEADER_CONTENT_LENGTH,
                          Length.c_str());
  return Result;
}

MHD_Response *makeSizedResponse(const std::string &Body) {
  return MHD_create_response_from_buffer(
      Body.size(), const_cast<char *>(Body.data()), MHD_RESPMEM_MUST_COPY);
}

/// Makes a response to HEAD or with status 304, whose length says nothing about
/// its own body.
MHD_Response *makeBodilessResponse(const Response &Message, int Socket,
                                   UnfinishedSockets &Unfinished) {
  if (const auto Length = findSingularHeader(Message.Headers, "content-length"))
    return makeResponseWithStatedLength(*Length);
  return makeUnsizedResponse(
      std::make_unique<BodyUntilClose>("", Socket, Unfinished));
}

MHD_Response *makeMhdResponse(MHD_Connection *Connection, bool IsHead,
                              const Response &Message,
                              UnfinishedSockets &Unfinished) {
  if (Message.Framing != BodyFraming::UntilClose &&
      Message.Framing != BodyFraming::NoBody)
    return makeSizedResponse(Message.Body);
  // libmicrohttpd adds no length to such a response.
  if (Message.Status == kNoContent)
    return makeSizedResponse("");
  const int Socket = socketOf(Connection);
  if (IsHead || Message.Status == kNotModified ||
      Message.Framing == BodyFraming::NoBody)
    return makeBodilessResponse(Message, Socket, Unfinished);
  Unfinished.add(Socket);
  return makeUnsizedResponse(
      std::make_unique<BodyUntilClose>(Message.Body, Socket, Unfinished));
}

MHD_Result queueResponse(MHD_Connection *Connection, bool IsHead,
                         const Response &Message, bool Close,
                         UnfinishedSockets &Unfinished) {
  // libmicrohttpd would close the connection without a response.
  if (!isFinalStatus(Message.Status))
    return queueResponse(Connection, IsHead, {kBadGateway, {}, ""}, Close,
                         Unfinished);
  MHD_Response *MhdResponse =
      makeMhdResponse(Connection, IsHead, Message, Unfinished);
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
  UnfinishedSockets Unfinished;

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
                       const char *Method) {
    Pending.Started = true;
    Pending.IsHead = std::string_view(Method) == MHD_HTTP_METHOD_HEAD;
    Pending.Received.Method = Method;
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, collectHeader,
                              &Pending.Received.Headers);
    const auto Length = findHeader(Pending.Received.Headers, "content-length");
    if (Length &&
        std::strtoull(Length->c_str(), nullptr, 10) > Settings.MaxBodyBytes)
      return queueResponse(Connection, Pending.IsHead,
                           RequestHandler->bodyTooLarge(), true, Unfinished);
    return MHD_YES;
  }

  MHD_Result onRequestComplete(MHD_Connection *Connection,
                               PendingRequest &Pending) {
    if (Pending.TooLarge)
      return queueResponse(Connection, Pending.IsHead,
                           RequestHandler->bodyTooLarge(), true, Unfinished);
    const SocketConnection Caller(socketOf(Connection));
    const Response Message =
        RequestHandler->handle(std::move(Pending.Received), Caller);
    return queueResponse(Connection, Pending.IsHead, Message,
                         Message.CloseConnection, Unfinished);
  }

  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *, const char *Method, const char *,
                             const char *Data, std::size_t *Size,
                             void **Context) {
    auto &Impl = *static_cast<State *>(Self);
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
  Impl->Unfinished.resetAll();
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
