#include "standins/logstandin.h"

#include "base/base64.h"

#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace standins {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;

std::optional<std::uint64_t> argument(MHD_Connection *Connection,
                                      const char *Name) {
  const char *Text =
      MHD_lookup_connection_value(Connection, MHD_GET_ARGUMENT_KIND, Name);
  if (!Text)
    return std::nullopt;
  return std::strtoull(Text, nullptr, 10);
}

MHD_Result respond(MHD_Connection *Connection, unsigned Status,
                   const std::string &Body) {
  MHD_Response *Response = MHD_create_response_from_buffer(
      Body.size(), const_cast<char *>(Body.data()), MHD_RESPMEM_MUST_COPY);
  const MHD_Result Queued = MHD_queue_response(Connection, Status, Response);
  MHD_destroy_response(Response);
  return Queued;
}

/// State of one TCP connection.
struct ConnectionState {
  /// Number in the order of arrival, from 1.
  std::uint64_t Number = 0;
};

} // namespace

struct LogStandIn::State {
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::string> Records;
  std::uint64_t End = 0;
  std::size_t Retention = 0;
  LogFaults Faults;
  bool Stopping = false;
  std::uint64_t Connections = 0;
  std::uint64_t Calls = 0;
  /// Connections up to this number get no further responses.
  std::uint64_t SilencedUpTo = 0;
  MHD_Daemon *Daemon = nullptr;

  std::uint64_t firstOffset() const { return End - Records.size() + 1; }

  std::uint64_t appendLocked(const std::string &Bytes) {
    Records.push_back(Bytes);
    ++End;
    trimLocked();
    Changed.notify_all();
    return End;
  }

  void trimLocked() {
    while (Records.size() > Retention)
      Records.pop_front();
  }

  std::string readLocked(std::uint64_t From, std::uint64_t Limit) const {
    nlohmann::json Page{{"first", firstOffset()},
                        {"end", End},
                        {"records", nlohmann::json::array()}};
    std::uint64_t Offset = std::max(From, firstOffset());
    for (; Offset <= End && Limit > 0; ++Offset, --Limit)
      Page["records"].push_back(
          {{"offset", Offset},
           {"data", base::toBase64(Records[Offset - firstOffset()])}});
    return Page.dump();
  }

  /// Counts the call and waits for the set delay, or on a silenced connection
  /// until the stand-in stops. Returns false if the stand-in stops, so that no
  /// response must be sent.
  bool applyDelay(std::unique_lock<std::mutex> &Lock,
                  const ConnectionState &Connection) {
    ++Calls;
    const auto Due = SteadyClock::now() + Faults.Delay;
    if (Faults.Unresponsive)
      SilencedUpTo = std::max(SilencedUpTo, Connection.Number);
    const auto Silenced = [&] { return Connection.Number <= SilencedUpTo; };
    Changed.wait_until(Lock, Due, [&] { return Stopping || Silenced(); });
    if (Silenced())
      Changed.wait(Lock, [&] { return Stopping; });
    return !Stopping;
  }

  MHD_Result handleAppend(MHD_Connection *Connection, const std::string &Body,
                          const ConnectionState &Client) {
    std::unique_lock Lock(Mutex);
    if (!applyDelay(Lock, Client))
      return MHD_NO;
    if (Faults.Unavailable)
      return respond(Connection, MHD_HTTP_SERVICE_UNAVAILABLE, "outage");
    const std::uint64_t Offset = appendLocked(Body);
    if (Faults.LoseAppendResponses)
      return MHD_NO;
    if (Faults.MalformedResponses)
      return respond(Connection, MHD_HTTP_OK, "<html>");
    return respond(Connection, MHD_HTTP_OK,
                   nlohmann::json{{"offset", Offset}}.dump());
  }

  MHD_Result handleRead(MHD_Connection *Connection,
                        const ConnectionState &Client) {
    const std::uint64_t From = argument(Connection, "from").value_or(1);
    const std::uint64_t Limit = argument(Connection, "limit").value_or(100);
    const std::chrono::milliseconds Wait(
        argument(Connection, "wait_ms").value_or(0));
    std::unique_lock Lock(Mutex);
    if (!applyDelay(Lock, Client))
      return MHD_NO;
    Changed.wait_for(Lock, Wait, [&] {
      return Stopping || Faults.Unavailable || End >= From ||
             Client.Number <= SilencedUpTo;
    });
    if (Client.Number <= SilencedUpTo)
      Changed.wait(Lock, [&] { return Stopping; });
    if (Stopping)
      return MHD_NO;
    if (Faults.Unavailable)
      return respond(Connection, MHD_HTTP_SERVICE_UNAVAILABLE, "outage");
    if (Faults.MalformedResponses)
      return respond(Connection, MHD_HTTP_OK, "<html>");
    return respond(Connection, MHD_HTTP_OK, readLocked(From, Limit));
  }

  MHD_Result handleControl(MHD_Connection *Connection, bool Change) {
    const std::lock_guard Lock(Mutex);
    if (Change) {
      Faults.Unavailable =
          argument(Connection, "outage").value_or(Faults.Unavailable);
      Faults.Delay = std::chrono::milliseconds(
          argument(Connection, "delay_ms").value_or(Faults.Delay.count()));
      Faults.LoseAppendResponses = argument(Connection, "lose_responses")
                                       .value_or(Faults.LoseAppendResponses);
      Faults.Unresponsive =
          argument(Connection, "silent").value_or(Faults.Unresponsive);
      Faults.MalformedResponses =
          argument(Connection, "nonsense").value_or(Faults.MalformedResponses);
      Retention = argument(Connection, "retention").value_or(Retention);
      trimLocked();
      if (argument(Connection, "silence_open").value_or(0) != 0)
        SilencedUpTo = Connections;
      Changed.notify_all();
    }
    return respond(
        Connection, MHD_HTTP_OK,
        nlohmann::json{{"first", firstOffset()},
                       {"end", End},
                       {"outage", Faults.Unavailable},
                       {"delay_ms", Faults.Delay.count()},
                       {"lose_responses", Faults.LoseAppendResponses},
                       {"silent", Faults.Unresponsive},
                       {"nonsense", Faults.MalformedResponses}}
            .dump());
  }

  MHD_Result handle(MHD_Connection *Connection, std::string_view Path,
                    std::string_view Method, const std::string &Body) {
    const auto *Info =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const auto &Client =
        *static_cast<const ConnectionState *>(Info->socket_context);
    if (Path == "/control")
      return handleControl(Connection, Method == "POST");
    if (!Path.starts_with("/streams/") || !Path.ends_with("/records"))
      return respond(Connection, MHD_HTTP_NOT_FOUND, "no such path");
    if (Method == "POST")
      return handleAppend(Connection, Body, Client);
    return handleRead(Connection, Client);
  }
};

namespace {

MHD_Result onRequest(void *Context, MHD_Connection *Connection,
                     const char *Path, const char *Method, const char *,
                     const char *Data, std::size_t *Size, void **Request) {
  if (!*Request) {
    *Request = new std::string();
    return MHD_YES;
  }
  auto *Body = static_cast<std::string *>(*Request);
  if (*Size > 0) {
    if (Body->size() + *Size > kMaxBodyBytes)
      return MHD_NO;
    Body->append(Data, *Size);
    *Size = 0;
    return MHD_YES;
  }
  return static_cast<LogStandIn::State *>(Context)->handle(Connection, Path,
                                                           Method, *Body);
}

void onCompleted(void *, MHD_Connection *, void **Request,
                 MHD_RequestTerminationCode) {
  delete static_cast<std::string *>(*Request);
  *Request = nullptr;
}

void onConnection(void *Context, MHD_Connection *, void **Slot,
                  MHD_ConnectionNotificationCode Code) {
  if (Code == MHD_CONNECTION_NOTIFY_CLOSED) {
    delete static_cast<ConnectionState *>(*Slot);
    return;
  }
  auto &Log = *static_cast<LogStandIn::State *>(Context);
  const std::lock_guard Lock(Log.Mutex);
  *Slot = new ConnectionState{++Log.Connections};
}

} // namespace

LogStandIn::LogStandIn(std::uint16_t Port, std::size_t Retention)
    : Impl(std::make_unique<State>()) {
  Impl->Retention = Retention;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Impl->Daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, Port,
      nullptr, nullptr, onRequest, Impl.get(), MHD_OPTION_SOCK_ADDR, &Address,
      MHD_OPTION_NOTIFY_COMPLETED, onCompleted, nullptr,
      MHD_OPTION_NOTIFY_CONNECTION, onConnection, Impl.get(), MHD_OPTION_END);
  if (!Impl->Daemon)
    throw std::runtime_error(
        "the platform log stand-in can't listen on its port");
}

LogStandIn::~LogStandIn() {
  {
    const std::lock_guard Lock(Impl->Mutex);
    Impl->Stopping = true;
    Impl->Changed.notify_all();
  }
  MHD_stop_daemon(Impl->Daemon);
}

std::uint16_t LogStandIn::port() const {
  return MHD_get_daemon_info(Impl->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

std::string LogStandIn::url() const {
  return "http://127.0.0.1:" + std::to_string(port());
}

LogFaults LogStandIn::faults() const {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->Faults;
}

void LogStandIn::setFaults(const LogFaults &Faults) {
  const std::lock_guard Lock(Impl->Mutex);
  Impl->Faults = Faults;
  Impl->Changed.notify_all();
}

void LogStandIn::silenceOpenConnections() {
  const std::lock_guard Lock(Impl->Mutex);
  Impl->SilencedUpTo = Impl->Connections;
  Impl->Changed.notify_all();
}

void LogStandIn::setRetention(std::size_t Retention) {
  const std::lock_guard Lock(Impl->Mutex);
  Impl->Retention = Retention;
  Impl->trimLocked();
}

std::uint64_t LogStandIn::append(const std::string &Bytes) {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->appendLocked(Bytes);
}

std::optional<std::string> LogStandIn::record(std::uint64_t Offset) const {
  const std::lock_guard Lock(Impl->Mutex);
  if (Offset < Impl->firstOffset() || Offset > Impl->End)
    return std::nullopt;
  return Impl->Records[Offset - Impl->firstOffset()];
}

std::uint64_t LogStandIn::calls() const {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->Calls;
}

std::uint64_t LogStandIn::first() const {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->firstOffset();
}

std::uint64_t LogStandIn::end() const {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->End;
}

} // namespace standins
