#ifndef JACKDAW_NODE_ENTRYSERVICE_H
#define JACKDAW_NODE_ENTRYSERVICE_H

#include "http/server.h"
#include "node/callclient.h"
#include "node/fleetstate.h"
#include "node/idempotencyclient.h"
#include "node/ratecontrol.h"
#include "node/refusallog.h"
#include "node/requestidentity.h"
#include "node/runtime.h"
#include "node/servingservice.h"
#include "overload/admissiontable.h"
#include "overload/workspacedemand.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace node {

/// Answers callers and the local backend server: checks the key or handle, the
/// admission level, the rate and the idempotency key, and passes the request
/// on. Safe to use from any thread.
class EntryService final : public http::Handler {
public:
  /// Called when a backend server registers; returns an error text, or an
  /// empty one.
  using RegisterListener =
      std::function<std::string(const std::string &RequestBody)>;

  EntryService(Runtime &Shared, FleetState &Fleet, CallClient &Calls,
               ServingService &Serving, RateControl &Rates,
               IdempotencyClient &Idempotency, const LogFollower &Log,
               RegisterListener OnRegister);

  http::Response handle(http::Request Received,
                        const http::CallerConnection &Connection) override;
  http::Response bodyTooLarge() const override;

  /// From now on every response closes its connection.
  void startDraining() { Draining = true; }

  /// Requests being answered now.
  std::size_t openRequests() const { return Open; }

  const RefusalLog &refusals() const { return Refusals; }

  void tick();

private:
  /// A request while it passes through the checks.
  struct Admitted {
    std::shared_ptr<const config::Configuration> Config;
    const config::Service *Service = nullptr;
    const config::RouteConfig *Route = nullptr;
    OutgoingCall Call;
    std::optional<base::Handle> Handle;
    std::optional<InnerCall> Inner;
    std::optional<execution::IdempotencyKey> Key;
  };

  http::Response registerBackend(const http::Request &Received);
  http::Response process(http::Request Received,
                         const http::CallerConnection &Connection);
  std::optional<base::ErrorKind> findRoute(http::Request &Received,
                                           Admitted &Request) const;
  std::optional<base::ErrorKind> identify(const Credentials &Presented,
                                          Admitted &Request);
  std::optional<base::ErrorKind> identifyCaller(const Credentials &Presented,
                                                Admitted &Request);
  bool mayServeIsolated(const config::WorkspaceConfig &Workspace) const;
  std::optional<base::ErrorKind> admit(Admitted &Request,
                                       const http::Request &Received);
  void learnLevel(const Admitted &Request, const CallResult &Result);
  execution::Response run(Admitted &Request,
                          const http::CallerConnection &Connection);
  execution::Response runKeyed(Admitted &Request,
                               const http::CallerConnection &Connection);
  void endInner(Admitted &Request, std::uint32_t UnusedRetries);
  http::Response toHttp(const Admitted &Request,
                        const execution::Response &Answer);
  http::Response refuse(const Admitted &Request, base::ErrorKind Kind);
  http::Response refusal(base::ErrorKind Kind) const;

  Runtime &Shared;
  FleetState &Fleet;
  CallClient &Calls;
  ServingService &Serving;
  RateControl &Rates;
  IdempotencyClient &Idempotency;
  const LogFollower &Log;
  const RegisterListener OnRegister;
  RefusalLog Refusals;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> Open = 0;
  mutable std::mutex Mutex;
  overload::AdmissionTable Admission;
  overload::WorkspaceDemand Demand;
  base::BootTime NextSlowTick;
};

} // namespace node

#endif // JACKDAW_NODE_ENTRYSERVICE_H
