#include "backend/backendstandin.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace standins {

/// Waits for a free slot and holds it for its own lifetime.
class BackendStandIn::SlotGuard {
public:
  explicit SlotGuard(BackendStandIn &Backend) : Backend(Backend) {
    std::unique_lock Lock(Backend.Mutex);
    Backend.SlotFreed.wait(Lock, [&Backend] {
      return Backend.BusySlots < Backend.Settings.Slots;
    });
    ++Backend.BusySlots;
  }
  ~SlotGuard() {
    std::lock_guard Lock(Backend.Mutex);
    --Backend.BusySlots;
    Backend.SlotFreed.notify_one();
  }
  SlotGuard(const SlotGuard &) = delete;

private:
  BackendStandIn &Backend;
};

BackendStandIn::BackendStandIn(BackendSettings Initial)
    : Settings(std::move(Initial)) {
  if (!Settings.Journal.empty())
    Journal.open(Settings.Journal, std::ios::app);
  http::ServerSettings Listening;
  Listening.Port = Settings.Port;
  // The largest body that a daemon can be set to accept.
  Listening.MaxBodyBytes = std::size_t{16} << 20;
  Server = http::Server::start(Listening, *this).value();
}

BackendStandIn::~BackendStandIn() { Server.reset(); }

bool BackendStandIn::registerWithDaemon() const {
  nlohmann::json Body{{"service", Settings.Service}, {"port", port()}};
  http::Client Client;
  const auto Result =
      Client.exchange("http://127.0.0.1:" + std::to_string(Settings.DaemonPort),
                      {"POST", "/-/register", "", {}, Body.dump()}, {});
  return Result.Status == http::ExchangeStatus::Completed &&
         Result.Response.Status == 200;
}

http::Response BackendStandIn::handle(http::Request Received,
                                      const http::CallerConnection &) {
  if (Received.Path.starts_with("/-/"))
    return control(Received);
  const SlotGuard Slot(*this);
  return execute(Received);
}

http::Response BackendStandIn::control(const http::Request &Received) {
  std::lock_guard Lock(Mutex);
  if (Received.Path == "/-/executions")
    return {200, {}, nlohmann::json(Executions).dump()};
  if (Received.Path == "/-/last")
    return {200, {}, LastRequest};
  if (Received.Path == "/-/control" && Received.Query.starts_with("work_us=")) {
    Settings.WorkTime = std::chrono::microseconds(
        std::strtoll(Received.Query.c_str() + 8, nullptr, 10));
    return {200, {}, ""};
  }
  return {404, {}, ""};
}

http::Response BackendStandIn::execute(const http::Request &Received) {
  std::chrono::microseconds WorkTime;
  {
    std::lock_guard Lock(Mutex);
    if (const auto Order = http::findHeader(Received.Headers, "x-order"))
      recordExecution(*Order);
    LastRequest = "query " + Received.Query + "\n";
    for (const http::Header &Each : Received.Headers)
      LastRequest += Each.Name + ": " + Each.Value + "\n";
    WorkTime = Settings.WorkTime;
  }
  std::this_thread::sleep_for(WorkTime);
  if (!Settings.Calls.empty())
    return callServices(Received);
  const std::string Echo = Settings.Service + " " + Received.Method + " " +
                           Received.Path + " " + Received.Body + "\n";
  return {200, {{"Content-Type", "text/plain"}}, Echo};
}

void BackendStandIn::recordExecution(const std::string &Order) {
  ++Executions[Order];
  if (Journal.is_open())
    Journal << Order << std::endl;
}

http::Response BackendStandIn::callServices(const http::Request &Received) {
  std::string Joined = Settings.Service + " " + Received.Path + "\n";
  for (const std::string &Target : Settings.Calls) {
    http::Request Call{"GET", "/" + Target, "", {}, ""};
    if (const auto Handle =
            http::findHeader(Received.Headers, "jackdaw-handle"))
      Call.Headers.push_back({"Jackdaw-Handle", *Handle});
    http::Client Client;
    const auto Result = Client.exchange(
        "http://127.0.0.1:" + std::to_string(Settings.DaemonPort), Call, {});
    if (Result.Status != http::ExchangeStatus::Completed ||
        Result.Response.Status != 200)
      return {502, {}, "call to " + Target + " failed\n"};
    Joined += Result.Response.Body;
  }
  return {200, {{"Content-Type", "text/plain"}}, Joined};
}

} // namespace standins
