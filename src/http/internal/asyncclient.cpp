#include "http/asyncclient.h"

#include "http/internal/curlsupport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace http {

namespace {

/// Buffer for received bytes of each transfer.
constexpr long kReceiveBufferBytes = 8 << 10;

struct Transfer {
  TransferId Id;
  CURL *Handle = nullptr;
  curl_slist *Headers = nullptr;
  Request Sent;
  std::string Target;
  Reception Answer;
  AsyncClient::Callback Done;
  /// The request was handed to a connection.
  bool Handed = false;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  ~Transfer() {
    curl_easy_cleanup(Handle);
    curl_slist_free_all(Headers);
  }
};

/// libcurl sends a request again when a kept connection turns out to be dead.
/// It calls this before each sending, and the second one is refused.
int onBeforeSending(void *Context, char *, char *, int, int) {
  auto &Current = *static_cast<Transfer *>(Context);
  return std::exchange(Current.Handed, true) ? CURL_PREREQFUNC_ABORT
                                             : CURL_PREREQFUNC_OK;
}

curl_socket_t openSocket(void *Context, curlsocktype, curl_sockaddr *Address) {
  auto &Current = *static_cast<Transfer *>(Context);
  if (Current.Handed)
    return CURL_SOCKET_BAD;
  return socket(Address->family, Address->socktype, Address->protocol);
}

} // namespace

struct AsyncClient::State {
  explicit State(eventloop::EventLoop &Loop) : Loop(Loop) {}

  eventloop::EventLoop &Loop;
  CURLM *Multi = nullptr;
  std::uint64_t NextId = 1;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> Transfers;
  eventloop::TimerId Timer;

  void act(curl_socket_t Socket, int Events) {
    int Running = 0;
    curl_multi_socket_action(Multi, Socket, Events, &Running);
    finishEnded();
  }

  void finishEnded() {
    int Left = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      Transfer *Ended = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Ended);
      const CURLcode Code = Message->data.result;
      curl_multi_remove_handle(Multi, Ended->Handle);
      auto Node = Transfers.extract(Ended->Id);
      ExchangeResult Result = takeResult(Ended->Handle, Code, Ended->Answer);
      correct(*Ended, Result);
      Ended->Done(std::move(Result));
    }
  }

  /// Whether the request was sent is known here, not from libcurl's code.
  static void correct(const Transfer &Ended, ExchangeResult &Result) {
    if (Result.Status == ExchangeStatus::Completed)
      return;
    if (!Ended.Handed)
      Result.Status = ExchangeStatus::NotSent;
    else if (Result.Status != ExchangeStatus::TimedOut)
      Result.Status = ExchangeStatus::Broken;
  }

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *Self,
                      void *) {
    auto &Impl = *static_cast<State *>(Self);
    if (What == CURL_POLL_REMOVE) {
      Impl.Loop.unwatch(Socket);
      return 0;
    }
    std::uint32_t Events = 0;
    if ((What & CURL_POLL_IN) != 0)
      Events |= EPOLLIN;
    if ((What & CURL_POLL_OUT) != 0)
      Events |= EPOLLOUT;
    Impl.Loop.watch(Socket, Events, [&Impl, Socket](std::uint32_t Ready) {
      int Mask = 0;
      if ((Ready & (EPOLLIN | EPOLLHUP)) != 0)
        Mask |= CURL_CSELECT_IN;
      if ((Ready & EPOLLOUT) != 0)
        Mask |= CURL_CSELECT_OUT;
      if ((Ready & EPOLLERR) != 0)
        Mask |= CURL_CSELECT_ERR;
      Impl.act(Socket, Mask);
    });
    return 0;
  }

  static int onTimer(CURLM *, long Milliseconds, void *Self) {
    auto &Impl = *static_cast<State *>(Self);
    Impl.Loop.cancelTimer(Impl.Timer);
    if (Milliseconds >= 0)
      Impl.Timer =
          Impl.Loop.startTimer(std::chrono::milliseconds(Milliseconds),
                               [&Impl] { Impl.act(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
  }

  void applyOptions(Transfer &Current, const TransferOptions &Options) {
    CURL *Handle = Current.Handle;
    applyCommonOptions(Handle, Options.Timeout, Options.ConnectTimeout);
    curl_easy_setopt(Handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    const auto Idle =
        std::chrono::duration_cast<std::chrono::seconds>(Options.MaxIdle);
    curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN,
                     std::max<long>(1, static_cast<long>(Idle.count())));
    curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onBeforeSending);
    curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &Current);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, &Current);
    if (Options.FreshConnection) {
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
    }
  }
};

AsyncClient::AsyncClient(eventloop::EventLoop &Loop,
                         AsyncClientSettings Settings)
    : Impl(std::make_unique<State>(Loop)) {
  initializeCurl();
  Impl->Multi = curl_multi_init();
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETFUNCTION, &State::onSocket);
  curl_multi_setopt(Impl->Multi, CURLMOPT_SOCKETDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERFUNCTION, &State::onTimer);
  curl_multi_setopt(Impl->Multi, CURLMOPT_TIMERDATA, Impl.get());
  curl_multi_setopt(Impl->Multi, CURLMOPT_MAXCONNECTS,
                    Settings.KeptConnections);
}

AsyncClient::~AsyncClient() {
  for (auto &[Id, Current] : Impl->Transfers)
    curl_multi_remove_handle(Impl->Multi, Current->Handle);
  Impl->Transfers.clear();
  curl_multi_cleanup(Impl->Multi);
  Impl->Loop.cancelTimer(Impl->Timer);
}

TransferId AsyncClient::start(const std::string &BaseUrl, const Request &Sent,
                              const TransferOptions &Options, Callback Done) {
  auto Created = std::make_unique<Transfer>();
  Transfer &Current = *Created;
  Current.Id = TransferId(Impl->NextId++);
  Current.Handle = curl_easy_init();
  Current.Sent = Sent;
  Current.Done = std::move(Done);
  Current.Target = Sent.Path;
  if (!Sent.Query.empty())
    Current.Target += "?" + Sent.Query;
  Current.Answer.MaxBytes = Options.MaxResponseBytes;
  Current.Answer.Acceptable = Options.Acceptable;
  Current.Answer.Handle = Current.Handle;
  Current.Headers = makeHeaderList(Current.Sent);
  curl_easy_setopt(Current.Handle, CURLOPT_URL, BaseUrl.c_str());
  // The target goes out byte for byte as the caller sent it.
  curl_easy_setopt(Current.Handle, CURLOPT_REQUEST_TARGET,
                   Current.Target.c_str());
  curl_easy_setopt(Current.Handle, CURLOPT_PRIVATE, &Current);
  curl_easy_setopt(Current.Handle, CURLOPT_HTTPHEADER, Current.Headers);
  applyMethod(Current.Handle, Current.Sent);
  collectResponse(Current.Handle, Current.Answer);
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

std::size_t AsyncClient::openTransfers() const {
  return Impl->Transfers.size();
}

} // namespace http
