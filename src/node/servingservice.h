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

/// The local backend server.
struct Backend {
  base::ServiceName Service;
  std::uint16_t Port = 0;
  config::BackendConfig Limits;
};

/// A call that the local backend server makes on behalf of a request in
/// flight.
struct InnerCall {
  execution::RequestScope Scope;
  base::BootTime Deadline;
  std::uint16_t Depth = 0;
  /// Route of the request in flight.
  overload::RouteName Parent;
  retry::AllowanceGrant Grant;
};

/// Runs calls from peers at the local backend server: at most once each, in
/// the order of the queue, within the adaptive limit. Safe to use from any
/// thread.
class ServingService {
public:
  explicit ServingService(Runtime &Shared);
  ~ServingService();

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Takes the backend server that has registered.
  void setBackend(Backend Local);
  std::optional<Backend> backend() const;

  void onCall(transport::ConnectionId Connection, CallMessage Message);
  void onFence(transport::ConnectionId Connection,
               const execution::Fence &Request);

  /// The request in flight of a handle; nothing if the handle is unknown.
  std::optional<InnerCall> beginInnerCall(const base::Handle &Value);

  /// Ends a call begun with `beginInnerCall`.
  void endInnerCall(const base::Handle &Value, InnerCall Inner,
                    std::uint32_t UnusedRetries);

  /// Records a level that a response to an inner call carried.
  void learnLevel(const overload::RouteName &Parent,
                  const overload::RouteKey &Child,
                  const overload::AdmissionLevel &Reported);

  /// Whether the levels learned from a called service admit an inner call.
  bool admitsInner(const overload::RouteKey &Child,
                   const execution::RequestScope &Scope) const;

  /// From now on new calls are refused as draining; admitted ones run.
  void startDraining();

  /// Calls queued or running.
  std::size_t openCalls() const;

  void tick();

  /// One line per figure, for the administration API.
  std::string status() const;

private:
  struct PendingCall {
    CallMessage Message;
    base::BootTime ArrivedAt;
    std::shared_ptr<std::atomic<bool>> Cancel;
  };
  struct RunningCall {
    base::RequestId Id;
    PendingCall Call;
    base::Handle Handle;
    Backend Target;
    base::Duration Waited{};
  };

  /// What a request in flight does besides running at the backend server.
  struct HandleUse {
    overload::RouteName Route;
    std::uint32_t InnerCalls = 0;
    base::BootTime InnerSince;
    /// Time with at least one inner call open.
    base::Duration InnerTime{};
  };

  void replaceLimit(std::uint32_t Slots);
  void replaceQueue(std::uint32_t Slots);
  void workerLoop();
  std::optional<RunningCall> takeNext();
  BackendResult runAtBackend(const RunningCall &Running) const;
  void finish(const RunningCall &Running, execution::Response Answer,
              overload::CallCompletion End, base::Duration Latency);
  void refuse(const base::RequestId &Id, base::ErrorKind Kind);
  void refuseUnadmitted(transport::ConnectionId Connection,
                        const CallMessage &Message, base::ErrorKind Kind);
  void reply(transport::ConnectionId Connection, const base::RequestId &Id,
             const execution::Response &Answer,
             const overload::RouteName &Route);
  void dropDeparted(const overload::DequeuedEntry &Left);
  LoadReport reportFor(const overload::RouteName &Route) const;

  Runtime &Shared;
  transport::PeerTransport *Transport = nullptr;
  mutable std::mutex Mutex;
  std::condition_variable WorkReady;
  bool Stopping = false;
  bool Draining = false;
  std::optional<Backend> Local;
  execution::ExecutionTable Executions;
  execution::HandleTable Handles;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  std::unique_ptr<overload::FairQueue> Queue;
  overload::AdmissionController Admission;
  overload::RouteLevels Levels;
  std::unordered_map<base::RequestId, PendingCall> Pending;
  std::unordered_map<base::RequestId, std::shared_ptr<std::atomic<bool>>>
      Running;
  std::unordered_map<base::Handle, HandleUse> HandleUses;
  base::BootTime NextSlowTick;
  std::vector<std::thread> Workers;
};

} // namespace node

#endif // JACKDAW_NODE_SERVINGSERVICE_H
