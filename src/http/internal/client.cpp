#include "http/client.h"

#include "http/internal/connectionsockets.h"
#include "http/internal/curlsupport.h"

#include <utility>

namespace http {

namespace {

/// Limit on the bodies of all responses that the blocking clients of the
/// process are receiving.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20;
BodyBudget SharedBudget{kMaxBodyBytes, 0};

/// An exchange in progress.
struct Exchange {
  explicit Exchange(const base::Clock &Clock) : Collector(Clock) {}

  ResponseCollector Collector;
  /// May be null.
  const std::atomic<bool> *Cancel = nullptr;
};

/// Aborts the transfer once it is cancelled or its response is malformed.
int onProgress(void *Context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto &Current = *static_cast<const Exchange *>(Context);
  const bool Cancelled = Current.Cancel != nullptr && Current.Cancel->load();
  return Cancelled || Current.Collector.Problem != nullptr ? 1 : 0;
}

} // namespace

struct Client::State {
  base::SystemClock Clock;
  CURL *Handle = curl_easy_init();
  ConnectionSockets Sockets;
  /// Null between exchanges.
  Exchange *Current = nullptr;
  /// The connection that libcurl has chosen can't be used; nothing was sent.
  bool ConnectionRejected = false;

  ~State() { curl_easy_cleanup(Handle); }

  static curl_socket_t openSocket(void *Self, curlsocktype,
                                  curl_sockaddr *Address) {
    return static_cast<State *>(Self)->Sockets.open(*Address);
  }

  /// Rejects a reused connection with unread input; see `AsyncClient`.
  static int onPreRequest(void *Self, char *, char *, int RemotePort,
                          int LocalPort) {
    auto &Impl = *static_cast<State *>(Self);
    const auto Local = static_cast<std::uint16_t>(LocalPort);
    const auto Remote = static_cast<std::uint16_t>(RemotePort);
    long Connects = 0;
    curl_easy_getinfo(Impl.Handle, CURLINFO_NUM_CONNECTS, &Connects);
    Impl.ConnectionRejected =
        Connects == 0 && !Impl.Sockets.isIdle(Local, Remote);
    Impl.Current->Collector.Socket =
        Impl.Sockets.connectionBetween(Local, Remote).Socket;
    return Impl.ConnectionRejected ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  }

  /// Performs the transfer, on another connection if the one that libcurl
  /// chooses is rejected.
  CURLcode perform() {
    CURLcode Code = CURLE_OK;
    do
      Code = curl_easy_perform(Handle);
    while (std::exchange(ConnectionRejected, false));
    return Code;
  }

  void applyOptions(const ExchangeOptions &Options) {
    applyCommonOptions(Handle, Options.Timeout, Options.ConnectTimeout);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onPreRequest);
    curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
    Sockets.attach(Handle);
    if (Options.FreshConnection) {
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, Current);
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
  }

  /// A timeout may also occur while connecting; then nothing was sent.
  /// `CURLINFO_NUM_CONNECTS` doesn't tell whether the attempt succeeded.
  bool nothingSent() {
    curl_off_t TransferMicroseconds = 0;
    curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T,
                      &TransferMicroseconds);
    long RequestBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
    return TransferMicroseconds == 0 && RequestBytes == 0;
  }
};

Client::Client() {
  initializeCurl();
  Impl = std::make_unique<State>();
}

Client::~Client() = default;

ExchangeResult Client::exchange(const std::string &BaseUrl,
                                const Request &Message,
                                const ExchangeOptions &Options) {
  Exchange Current(Impl->Clock);
  ResponseCollector &Collector = Current.Collector;
  Collector.ToHead = Message.Method == "HEAD";
  Collector.MaxBytes = Options.MaxResponseBytes;
  Collector.Budget = &SharedBudget;
  Current.Cancel = Options.Cancel;
  Impl->Current = &Current;
  curl_easy_reset(Impl->Handle);
  std::string Url = BaseUrl + Message.Path;
  if (!Message.Query.empty())
    Url += "?" + Message.Query;
  curl_easy_setopt(Impl->Handle, CURLOPT_URL, Url.c_str());
  applyMethod(Impl->Handle, Message);
  Impl->applyOptions(Options);
  collectResponse(Impl->Handle, Collector);
  curl_slist *HeaderList = makeHeaderList(Message);
  curl_easy_setopt(Impl->Handle, CURLOPT_HTTPHEADER, HeaderList);
  const CURLcode Code = Impl->perform();
  Impl->Current = nullptr;
  curl_slist_free_all(HeaderList);
  ExchangeResult Result = makeResult(Impl->Handle, Code, Collector);
  if (Result.Status == ExchangeStatus::TimedOut && Impl->nothingSent())
    Result.Status = ExchangeStatus::NotSent;
  return Result;
}

} // namespace http
