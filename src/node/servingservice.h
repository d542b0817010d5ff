#ifndef JACKDAW_NODE_SERVINGSERVICE_H
#define JACKDAW_NODE_SERVINGSERVICE_H

#include "config/configuration.h"
#include "execution/executiontable.h"
#include "execution/handletable.h"
#include "node/backendcall.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "overload/adaptivelimit.h"
#include "overload/admissioncontroller.h"
#include "overload/fairqueue.h"
#include "overload/routelevels.h"
#include "transport/peertransport.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace node {

/// Address and limits of the local backend server.
struct Backend {
  base::ServiceName Service;
  std::uint16_t Port = 0;
  config::BackendConfig Limits;
};

/// A call that the local backend server makes on behalf of a request that it is
/// processing.
struct InnerCall {
  execution::RequestScope Scope;
  base::BootTime Deadline;
  std::uint16_t Depth = 0;
  /// Route of the request being processed.
  overload::RouteName Parent;
  retry::AllowanceGrant Grant;
};

/// Runs calls from peers at the local backend server: each at most once, in
/// queue order and within the adaptive concurrency limit. Safe to use from any
/// thread.
class ServingService {
public:
  explicit ServingService(Runtime &Shared);
  ~ServingService();

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Sets the registered backend server or changes its limits. Queued calls and
  /// calls in flight are kept.
  void setBackend(Backend LocalBackend);
  /// Returns no value if no backend server has registered.
  std::optional<Backend> backend() const;

  void onCall(transport::ConnectionId Connection, CallMessage Message);
  void onFence(transport::ConnectionId Connection,
               const execution::Fence &Request);

  /// Begins an inner call of the request with the given handle. Returns no
  /// value if the handle is unknown.
  std::optional<InnerCall> beginInnerCall(const base::Handle &Value);

  /// Completes a call begun with `beginInnerCall` and returns its unused
  /// retries to the request.
  void endInnerCall(const base::Handle &Value, InnerCall Inner,
                    std::uint32_t UnusedRetries);

  /// Records the admission level reported by a response to an inner call.
  void recordLevel(const overload::RouteName &Parent,
                   const overload::RouteKey &Child,
                   const overload::AdmissionLevel &Reported);

  /// Whether the reported admission levels of a called service admit an inner
  /// call.
  bool admitsInnerCall(const overload::RouteKey &Child,
                       const execution::RequestScope &Scope) const;

  /// Refuses new calls as draining from now on. Admitted calls still run.
  void startDraining();

  /// Number of calls queued or running.
  std::size_t openCalls() const;

  void tick();

  /// One line per value, for the administration API.
  std::string status() const;

private:
  struct QueuedCall {
    CallMessage Message;
    base::BootTime ArrivedAt;
    std::shared_ptr<std::atomic<bool>> Cancel;
  };
  struct RunningCall {
    base::CallId Id;
    QueuedCall Call;
    base::Handle Handle;
    Backend Target;
    base::Duration WaitTime{};
  };

  /// Inner calls of a request that the backend server is processing.
  struct InnerCallState {
    overload::RouteName Route;
    /// Number of open inner calls.
    std::uint32_t OpenCalls = 0;
    /// When the first of the open inner calls began.
    base::BootTime OpenSince;
    /// Total length of the completed periods with open inner calls.
    base::Duration TotalTime{};
  };

  void replaceLimit(std::uint32_t Slots);
  void replaceQueue(std::uint32_t Slots);
  void workerLoop();
  std::optional<RunningCall> startNextCall();
  BackendResult runAtBackend(const RunningCall &Running) const;
  void finish(const RunningCall &Running, execution::Response Response,
              overload::CompletionStatus Status, base::Duration Latency);
  void refuse(const base::CallId &Id, base::ErrorKind Kind);
  void refuseUnadmitted(transport::ConnectionId Connection,
                        const CallMessage &Message, base::ErrorKind Kind);
  void reply(transport::ConnectionId Connection, const base::CallId &Id,
             const execution::Response &Response,
             const overload::RouteName &Route);
  void refuseDequeued(const overload::DequeuedEntry &Dequeued);
  LoadReport reportFor(const overload::RouteName &Route) const;

  Runtime &Shared;
  transport::PeerTransport *Transport = nullptr;
  mutable std::mutex Mutex;
  std::condition_variable WorkReady;
  bool Stopping = false;
  bool Draining = false;
  std::optional<Backend> LocalBackend;
  execution::ExecutionTable Executions;
  execution::HandleTable Handles;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  std::unique_ptr<overload::FairQueue> Queue;
  overload::AdmissionController Admission;
  overload::RouteLevels Levels;
  std::unordered_map<base::CallId, QueuedCall> Pending;
  std::unordered_map<base::CallId, std::shared_ptr<std::atomic<bool>>> Running;
  std::unordered_map<base::Handle, InnerCallState> InnerCallStates;
  base::BootTime NextSlowTick;
  std::vector<std::thread> Workers;
};

} // namespace node

#endif // JACKDAW_NODE_SERVINGSERVICE_H
