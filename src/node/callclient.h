#ifndef JACKDAW_NODE_CALLCLIENT_H
#define JACKDAW_NODE_CALLCLIENT_H

#include "execution/calltracker.h"
#include "http/server.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "node/upstreamselector.h"
#include "retry/retryallowance.h"
#include "retry/retrybudgettable.h"
#include "retry/retrypolicy.h"
#include "transport/peertransport.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace node {

/// A call to a service; the client chooses the upstream of each attempt.
struct OutgoingCall {
  execution::RequestScope Scope;
  base::ServiceName Service;
  overload::RouteName Route;
  base::BootTime Deadline;
  /// Timeout of one attempt.
  base::Duration AttemptTimeout{};
  bool Idempotent = false;
  /// Number of calls above this one in the call chain: 0 for a caller's own
  /// request, 1 for an inner call made for it.
  std::uint16_t Depth = 0;
  /// Time spent in queues at earlier hops.
  base::Duration PriorWait{};
  http::Request Request;
};

/// Result of a call after all its attempts.
struct OutgoingCallResult {
  execution::CallCompletion Completion;
  /// Load report of the last response that carried one.
  std::optional<LoadReport> Report;
  /// Number of attempts made, including the first one.
  std::uint32_t Attempts = 0;
};

/// Makes calls to other daemons: chooses the upstream, sends the call, fences
/// it after a lost connection to learn whether it ran, and retries within the
/// allowance and the budget. Safe to use from any thread.
class CallClient {
public:
  CallClient(Runtime &Shared, UpstreamSelector &Selector);

  /// Must be called before the first call. Set separately because the transport
  /// needs its listener first.
  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Makes the call and blocks until it completes. Retries are taken from
  /// `Allowance`. Cancels the call if the caller's connection closes.
  OutgoingCallResult call(const OutgoingCall &Call,
                          retry::RetryAllowance &Allowance,
                          const http::CallerConnection &Caller);

  void onResponse(const CallResponseMessage &Message);
  void onFenceReply(const execution::FenceReply &Reply);
  void onConnectionClosed(transport::ConnectionId Connection);
  void tick();

  /// Number of calls in progress.
  std::size_t openCalls() const;

private:
  struct PendingAttempt {
    base::Endpoint Target;
    std::optional<execution::CallCompletion> Completion;
    /// Set when a response with a valid admission level arrives.
    std::optional<LoadReport> Report;
    std::condition_variable Completed;
  };

  execution::CallCompletion attempt(const OutgoingCall &Call,
                                    const routing::UpstreamChoice &Target,
                                    std::uint32_t GrantedRetries,
                                    const http::CallerConnection &Caller,
                                    std::optional<LoadReport> &Report);
  std::string encodeCall(const OutgoingCall &Call,
                         const execution::CallIdentity &Identity,
                         std::uint32_t GrantedRetries) const;
  void sendCall(const routing::UpstreamChoice &Target, const base::CallId &Id,
                std::string Body);
  execution::CallCompletion
  waitForCompletion(std::unique_lock<std::mutex> &Lock, PendingAttempt &Pending,
                    const base::CallId &Id,
                    const http::CallerConnection &Caller);
  void runActions();

  Runtime &Shared;
  UpstreamSelector &Selector;
  transport::PeerTransport *Transport = nullptr;
  mutable std::mutex Mutex;
  execution::CallTracker Tracker;
  retry::RetryBudgetTable Budgets;
  retry::RetryPolicy Policy;
  std::unordered_map<base::CallId, std::shared_ptr<PendingAttempt>>
      PendingAttempts;
};

} // namespace node

#endif // JACKDAW_NODE_CALLCLIENT_H
