#include "http/asyncclient.h"

#include "http/internal/connectionsockets.h"
#include "http/internal/curlsupport.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace http {

namespace {

/// Size of the receive buffer of each transfer.
constexpr long kReceiveBufferBytes = 8 << 10;
/// Bytes that may arrive without a complete header line or a byte of a body.
/// libcurl skips the extensions of chunk sizes, whatever their length.
constexpr std::uint64_t kMaxSkippedBytes = 256 << 10;
/// The bytes are counted after this many reads without progress, since counting
/// costs a system call.
constexpr int kReadsPerCheck = 8;

struct Transfer {
  TransferId Id;
  ConnectionSockets *Sockets = nullptr;
  std::uint64_t *SpoiledConnections = nullptr;
  CURL *Handle = nullptr;
  curl_slist *Headers = nullptr;
  Request Message;
  std::string RequestTarget;
  ResponseCollector Collector;
  AsyncClient::Callback Done;
  /// See `TransferOptions`; may be empty.
  std::function<bool(ConnectionNumber)> AcceptConnection;
  /// See `TransferOptions`.
  bool Repeatable = false;
  /// libcurl has started to send the request.
  bool SendStarted = false;
  /// libcurl has started to send the request for the second time.
  bool Repeated = false;
  /// The connection that libcurl has chosen isn't used; nothing was sent.
  bool ConnectionRejected = false;
  /// Header and body bytes when the last progress was seen, and the reads since
  /// then.
  std::size_t ParsedBytes = 0;
  int ReadsWithoutProgress = 0;
  /// Bytes received on the connection at the first check since then.
  std::optional<std::uint64_t> ReceivedBytes;
  /// The connection on which the request is sent.
  ConnectionNumber Connection;
  eventloop::EventLoop &Loop;
  /// Runs while the transfer is paused.
  eventloop::TimerId ResumeTimer;

  explicit Transfer(eventloop::EventLoop &Loop)
      : Collector(Loop.clock()), Loop(Loop) {}
  Transfer(const Transfer &) = delete;
  ~Transfer() {
    Loop.cancelTimer(ResumeTimer);
    curl_easy_cleanup(Handle);
    curl_slist_free_all(Headers);
  }
};

/// Whether the server keeps sending bytes that belong to no response; must be
/// called after each read from the transfer's socket.
bool sendsUnusableBytes(Transfer &Current, int Socket) {
  const std::size_t Parsed =
      Current.Collector.HeaderBytes + Current.Collector.Response.Body.size();
  if (Parsed != Current.ParsedBytes) {
    Current.ParsedBytes = Parsed;
    Current.ReadsWithoutProgress = 0;
    Current.ReceivedBytes.reset();
    return false;
  }
  if (++Current.ReadsWithoutProgress % kReadsPerCheck != 0)
    return false;
  const std::uint64_t Received = bytesReceived(Socket);
  if (!Current.ReceivedBytes)
    Current.ReceivedBytes = Received;
  return Received > *Current.ReceivedBytes + kMaxSkippedBytes;
}

/// Whether the request may be sent, for the first time or again.
bool maySend(const Transfer &Current) {
  return !Current.SendStarted || (Current.Repeatable && !Current.Repeated);
}

/// Called by libcurl before it sends the request. libcurl repeats a request
/// when a reused connection turns out to be closed; this aborts the second
/// attempt unless the request is repeatable. A pooled connection with unread
/// input is rejected: libcurl would take bytes of an earlier response for the
/// beginning of the next.
int onPreRequest(void *Context, char *, char *, int RemotePort, int LocalPort) {
  auto &Current = *static_cast<Transfer *>(Context);
  if (!maySend(Current))
    return CURL_PREREQFUNC_ABORT;
  const auto Local = static_cast<std::uint16_t>(LocalPort);
  const auto Remote = static_cast<std::uint16_t>(RemotePort);
  long Connects = 0;
  curl_easy_getinfo(Current.Handle, CURLINFO_NUM_CONNECTS, &Connects);
  const bool IsNew = Connects > 0;
  if (!IsNew && !Current.Sockets->isIdle(Local, Remote)) {
    ++*Current.SpoiledConnections;
    Current.ConnectionRejected = true;
    return CURL_PREREQFUNC_ABORT;
  }
  const ConnectionSockets::Connection Chosen =
      Current.Sockets->connectionBetween(Local, Remote);
  Current.Connection = Chosen.Number;
  Current.Collector.Socket = Chosen.Socket;
  if (Current.AcceptConnection &&
      !Current.AcceptConnection(Current.Connection) && !IsNew) {
    Current.ConnectionRejected = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Current.Repeated = std::exchange(Current.SendStarted, true);
  // The server may have closed the other pooled connections as well.
  if (Current.Repeatable)
    curl_easy_setopt(Current.Handle, CURLOPT_FRESH_CONNECT, 1L);
  return CURL_PREREQFUNC_OK;
}

/// Prevents libcurl from opening another connection for a request that it must
/// not repeat.
curl_socket_t openSocket(void *Context, curlsocktype, curl_sockaddr *Address) {
  auto &Current = *static_cast<Transfer *>(Context);
  if (!maySend(Current))
    return CURL_SOCKET_BAD;
  return Current.Sockets->open(*Address);
}

} // namespace

struct AsyncClient::State {
  explicit State(eventloop::EventLoop &Loop) : Loop(Loop) {}

  eventloop::EventLoop &Loop;
  CURLM *Multi = nullptr;
  ConnectionSockets Sockets;
  std::uint64_t SpoiledConnections = 0;
  BodyBudget Budget;
  std::uint64_t NextId = 1;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> Transfers;
  eventloop::TimerId Timer;

  void runSocketAction(curl_socket_t Socket, int Events) {
    int Running = 0;
    curl_multi_socket_action(Multi, Socket, Events, &Running);
    completeTransfers();
  }

  void completeTransfers() {
    int Remaining = 0;
    while (const CURLMsg *Info = curl_multi_info_read(Multi, &Remaining)) {
      if (Info->msg != CURLMSG_DONE)
        continue;
      Transfer *Finished = nullptr;
      curl_easy_getinfo(Info->easy_handle, CURLINFO_PRIVATE, &Finished);
      const CURLcode Code = Info->data.result;
      curl_multi_remove_handle(Multi, Finished->Handle);
      if (std::exchange(Finished->ConnectionRejected, false)) {
        // libcurl has closed that connection and chooses another one.
        curl_multi_add_handle(Multi, Finished->Handle);
        continue;
      }
      auto Node = Transfers.extract(Finished->Id);
      ExchangeResult Result =
          makeResult(Finished->Handle, Code, Finished->Collector);
      adjustStatus(*Finished, Result);
      Result.Connection = Finished->Connection;
      Result.Repeated = Finished->Repeated;
      Finished->Done(std::move(Result));
    }
  }

  /// libcurl's code doesn't tell whether sending the request had started.
  static void adjustStatus(const Transfer &Finished, ExchangeResult &Result) {
    if (Result.Status == ExchangeStatus::Completed)
      return;
    if (!Finished.SendStarted)
      Result.Status = ExchangeStatus::NotSent;
    else if (Result.Status != ExchangeStatus::TimedOut)
      Result.Status = ExchangeStatus::Broken;
  }

  /// Ends a transfer whose response is malformed, or whose server sends bytes
  /// without an end that belong to no response, and closes its connection.
  void checkProgress(TransferId Id, curl_socket_t Socket) {
    const auto Found = Transfers.find(Id);
    if (Found == Transfers.end())
      return;
    const char *Problem = Found->second->Collector.Problem;
    if (Problem == nullptr && sendsUnusableBytes(*Found->second, Socket))
      Problem = "bytes that belong to no response";
    if (Problem == nullptr)
      return;
    const std::unique_ptr<Transfer> Ended = std::move(Found->second);
    Transfers.erase(Found);
    curl_multi_remove_handle(Multi, Ended->Handle);
    ExchangeResult Result;
    Result.Status = ExchangeStatus::Broken;
    Result.Detail = Problem;
    Result.Connection = Ended->Connection;
    Ended->Done(std::move(Result));
  }

  /// Passes on the end of a body for which the transfer was paused.
  void resume(TransferId Id) {
    const auto Found = Transfers.find(Id);
    if (Found == Transfers.end())
      return;
    const CURLcode Code =
        curl_easy_pause(Found->second->Handle, CURLPAUSE_CONT);
    // libcurl doesn't complete a transfer that fails here.
    if (Code == CURLE_OK)
      return;
    const std::unique_ptr<Transfer> Ended = std::move(Found->second);
    Transfers.erase(Found);
    curl_multi_remove_handle(Multi, Ended->Handle);
    ExchangeResult Result = makeResult(Ended->Handle, Code, Ended->Collector);
    Result.Connection = Ended->Connection;
    Ended->Done(std::move(Result));
  }

  // libcurl calls this again for each transfer that uses the connection.
  static int onSocket(CURL *Handle, curl_socket_t Socket, int PollAction,
                      void *Self, void *) {
    auto &Impl = *static_cast<State *>(Self);
    if (PollAction == CURL_POLL_REMOVE) {
      Impl.Loop.unwatch(Socket);
      return 0;
    }
    std::uint32_t Events = 0;
    if ((PollAction & CURL_POLL_IN) != 0)
      Events |= EPOLLIN;
    if ((PollAction & CURL_POLL_OUT) != 0)
      Events |= EPOLLOUT;
    Transfer *Current = nullptr;
    curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Current);
    const TransferId Id = Current->Id;
    Impl.Loop.watch(Socket, Events, [&Impl, Socket, Id](std::uint32_t Ready) {
      int Mask = 0;
      if ((Ready & (EPOLLIN | EPOLLHUP)) != 0)
        Mask |= CURL_CSELECT_IN;
      if ((Ready & EPOLLOUT) != 0)
        Mask |= CURL_CSELECT_OUT;
      if ((Ready & EPOLLERR) != 0)
        Mask |= CURL_CSELECT_ERR;
      Impl.runSocketAction(Socket, Mask);
      if ((Ready & EPOLLIN) != 0)
        Impl.checkProgress(Id, Socket);
    });
    return 0;
  }

  static int onTimer(CURLM *, long Milliseconds, void *Self) {
    auto &Impl = *static_cast<State *>(Self);
    Impl.Loop.cancelTimer(Impl.Timer);
    if (Milliseconds >= 0)
      Impl.Timer = Impl.Loop.startTimer(
          std::chrono::milliseconds(Milliseconds),
          [&Impl] { Impl.runSocketAction(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
  }

  void applyOptions(Transfer &Current, const TransferOptions &Options) {
    CURL *Handle = Current.Handle;
    applyCommonOptions(Handle, Options.Timeout, Options.ConnectTimeout);
    curl_easy_setopt(Handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    const auto Idle =
        std::chrono::duration_cast<std::chrono::seconds>(Options.MaxIdleTime);
    curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN,
                     std::max<long>(1, static_cast<long>(Idle.count())));
    curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onPreRequest);
    curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &Current);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, &Current);
    Sockets.attach(Handle);
  }
};

AsyncClient::AsyncClient(eventloop::EventLoop &Loop,
                         AsyncClientSettings Settings)
    : Impl(std::make_unique<State>(Loop)) {
  initializeCurl();
  Impl->Budget.Max = Settings.MaxBodyBytes;
  Impl->Budget.Process = Settings.Budget;
  Impl->Multi = curl_multi_init();
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETFUNCTION, &State::onSocket);
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERFUNCTION, &State::onTimer);
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_MAXCONNECTS,
                    Settings.MaxIdleConnections);
}

AsyncClient::~AsyncClient() {
  for (auto &[Id, Current] : Impl->Transfers)
    curl_multi_remove_handle(Impl->Multi, Current->Handle);
  Impl->Transfers.clear();
  curl_multi_cleanup(Impl->Multi);
  Impl->Loop.cancelTimer(Impl->Timer);
}

TransferId AsyncClient::start(const std::string &BaseUrl, Request Message,
                              const TransferOptions &Options, Callback Done) {
  auto Created = std::make_unique<Transfer>(Impl->Loop);
  Transfer &Current = *Created;
  Current.Id = TransferId(Impl->NextId++);
  Current.Sockets = &Impl->Sockets;
  Current.SpoiledConnections = &Impl->SpoiledConnections;
  Current.AcceptConnection = Options.AcceptConnection;
  Current.Repeatable = Options.Repeatable;
  Current.Handle = curl_easy_init();
  Current.Message = std::move(Message);
  Current.Done = std::move(Done);
  Current.RequestTarget = Current.Message.Path;
  if (!Current.Message.Query.empty())
    Current.RequestTarget += "?" + Current.Message.Query;
  Current.Collector.ToHead = Current.Message.Method == "HEAD";
  Current.Collector.MaxBytes = Options.MaxResponseBytes;
  Current.Collector.Budget = &Impl->Budget;
  Current.Collector.Charge = base::MemoryReservation(Impl->Budget.Process);
  Current.Collector.AllowReuse = Options.AllowReuse;
  Current.Collector.OnHeaders = Options.OnHeaders;
  if (!Options.Identity.Value.empty())
    Current.Collector.RepeatedHead.emplace(Options.Identity);
  Current.Collector.OnPaused = [Impl = Impl.get(), &Current] {
    Current.ResumeTimer = Impl->Loop.startTimer(
        kBytesBehindWait, [Impl, Id = Current.Id] { Impl->resume(Id); });
  };
  Current.Collector.Handle = Current.Handle;
  Current.Headers = makeHeaderList(Current.Message);
  curl_easy_setopt(Current.Handle, CURLOPT_URL, BaseUrl.c_str());
  // The target is sent byte for byte; libcurl must not normalize it.
  curl_easy_setopt(Current.Handle, CURLOPT_REQUEST_TARGET,
                   Current.RequestTarget.c_str());
  curl_easy_setopt(Current.Handle, CURLOPT_PRIVATE, &Current);
  curl_easy_setopt(Current.Handle, CURLOPT_HTTPHEADER, Current.Headers);
  applyMethod(Current.Handle, Current.Message);
  collectResponse(Current.Handle, Current.Collector);
  Impl->applyOptions(Current, Options);
  Impl->Transfers.emplace(Current.Id, std::move(Created));
  curl_multi_add_handle(Impl->Multi, Current.Handle);
  return Current.Id;
}

bool AsyncClient::cancel(TransferId Id) {
  const auto Found = Impl->Transfers.find(Id);
  if (Found == Impl->Transfers.end())
    return false;
  curl_multi_remove_handle(Impl->Multi, Found->second->Handle);
  Impl->Transfers.erase(Found);
  return true;
}

std::uint64_t AsyncClient::rejectedConnections() const {
  return Impl->SpoiledConnections;
}

std::size_t AsyncClient::activeTransfers() const {
  return Impl->Transfers.size();
}

} // namespace http
