#ifndef JACKDAW_TESTS_BACKEND_BACKENDSTANDIN_H
#define JACKDAW_TESTS_BACKEND_BACKENDSTANDIN_H

#include "base/types.h"
#include "http/client.h"
#include "http/server.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace standins {

struct BackendSettings {
  std::uint16_t Port = 0;
  std::string Service;
  unsigned Slots = 8;
  std::chrono::microseconds WorkTime{0};
  /// Caller port of the local daemon; 0 if there is none.
  std::uint16_t DaemonPort = 0;
  /// Calls made through the daemon for each request, as "service/path".
  std::vector<std::string> Calls;
  /// File to which the `X-Order` header of each execution is appended before
  /// the work begins, so that executions can be counted after the process was
  /// killed; empty if not needed.
  std::string Journal;
};

/// A stand-in for a backend server. It executes as many requests concurrently
/// as it has slots, counts executions per `X-Order` header, and echoes the
/// request. Paths below `/-/` are for tests: `/-/control?work_us=N`,
/// `/-/executions` (counts as JSON), `/-/last` (the last request's query and
/// headers).
class BackendStandIn final : public http::Handler {
public:
  explicit BackendStandIn(BackendSettings Settings);
  ~BackendStandIn() override;

  std::uint16_t port() const { return Server->port(); }

  /// Registers with the local daemon; false unless it responds with status 200.
  bool registerWithDaemon() const;

  http::Response handle(http::Request Received,
                        const http::CallerConnection &Connection) override;
  http::Response bodyTooLarge() const override { return {413, {}, ""}; }

private:
  class SlotGuard;

  http::Response control(const http::Request &Received);
  http::Response execute(const http::Request &Received);
  http::Response callServices(const http::Request &Received);
  void recordExecution(const std::string &Order);

  BackendSettings Settings;
  std::mutex Mutex;
  std::condition_variable SlotFreed;
  unsigned BusySlots = 0;
  std::map<std::string, std::uint64_t> Executions;
  std::ofstream Journal;
  std::string LastRequest;
  std::unique_ptr<http::Server> Server;
};

} // namespace standins

#endif // JACKDAW_TESTS_BACKEND_BACKENDSTANDIN_H
