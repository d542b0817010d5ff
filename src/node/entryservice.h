#ifndef JACKDAW_NODE_ENTRYSERVICE_H
#define JACKDAW_NODE_ENTRYSERVICE_H

#include "http/server.h"
#include "node/callclient.h"
#include "node/credentials.h"
#include "node/fleetstate.h"
#include "node/idempotencyservice.h"
#include "node/ratelimitservice.h"
#include "node/refusallog.h"
#include "node/runtime.h"
#include "node/servingservice.h"
#include "overload/admissiontable.h"
#include "overload/workspacedemand.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace node {

/// HTTP handler for requests from callers and inner calls of the local backend
/// server: checks the key or handle, the admission level, the rate limit and
/// the idempotency key, and forwards the request to an upstream. Safe to use
/// from any thread.
class EntryService final : public http::Handler {
public:
  /// Called when a backend server registers. Returns an error message, empty on
  /// success.
  using RegisterListener =
      std::function<std::string(const std::string &RequestBody)>;

  EntryService(Runtime &Shared, FleetState &Fleet, CallClient &Calls,
               ServingService &Serving, RateLimitService &RateLimits,
               IdempotencyService &Idempotency, const LogFollower &Log,
               RegisterListener OnRegister);

  http::Response handle(http::Request Received,
                        const http::CallerConnection &Connection) override;
  http::Response bodyTooLarge() const override;

  /// Makes every further response close its connection.
  void startDraining() { Draining = true; }

  /// Number of requests in progress.
  std::size_t openRequests() const { return OpenRequestCount; }

  const RefusalLog &refusals() const { return Refusals; }

  void tick();

private:
  /// A request and what the checks have found out about it.
  struct PendingRequest {
    std::shared_ptr<const config::Configuration> Config;
    const config::Service *Service = nullptr;
    const config::RouteConfig *Route = nullptr;
    OutgoingCall Call;
    /// Set together with `Inner`.
    std::optional<base::Handle> Handle;
    /// Set if the local backend server made the request as an inner call.
    std::optional<InnerCall> Inner;
    std::optional<execution::IdempotencyKey> IdempotencyKey;
  };

  http::Response registerBackend(const http::Request &Received);
  http::Response process(http::Request Received,
                         const http::CallerConnection &Connection);
  std::optional<base::ErrorKind> findRoute(http::Request &Received,
                                           PendingRequest &Request) const;
  std::optional<base::ErrorKind> identify(const Credentials &Presented,
                                          PendingRequest &Request);
  std::optional<base::ErrorKind> identifyCaller(const Credentials &Presented,
                                                PendingRequest &Request);
  bool mayServeIsolated(const config::WorkspaceConfig &Workspace) const;
  std::optional<base::ErrorKind> admit(PendingRequest &Request,
                                       const http::Request &Received);
  void recordLevel(const PendingRequest &Request,
                   const OutgoingCallResult &Result);
  execution::Response run(PendingRequest &Request,
                          const http::CallerConnection &Connection);
  execution::Response
  runWithIdempotencyKey(PendingRequest &Request,
                        const http::CallerConnection &Connection);
  void endInnerCall(PendingRequest &Request, std::uint32_t UnusedRetries);
  http::Response toHttp(const PendingRequest &Request,
                        const execution::Response &Response);
  http::Response refuse(const PendingRequest &Request, base::ErrorKind Kind);
  http::Response makeErrorResponse(base::ErrorKind Kind) const;

  Runtime &Shared;
  FleetState &Fleet;
  CallClient &Calls;
  ServingService &Serving;
  RateLimitService &RateLimits;
  IdempotencyService &Idempotency;
  const LogFollower &Log;
  const RegisterListener OnRegister;
  RefusalLog Refusals;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> OpenRequestCount = 0;
  mutable std::mutex Mutex;
  overload::AdmissionTable Admission;
  overload::WorkspaceDemand Demand;
  base::BootTime NextSlowTick;
};

} // namespace node

#endif // JACKDAW_NODE_ENTRYSERVICE_H
