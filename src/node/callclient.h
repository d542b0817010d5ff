#ifndef JACKDAW_NODE_CALLCLIENT_H
#define JACKDAW_NODE_CALLCLIENT_H

#include "execution/calltracker.h"
#include "http/server.h"
#include "node/messages.h"
#include "node/runtime.h"
#include "node/upstreams.h"
#include "retry/retryallowance.h"
#include "retry/retrybudgettable.h"
#include "retry/retrypolicy.h"
#include "transport/peertransport.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace node {

/// A call to a service, at whichever of its upstreams.
struct OutgoingCall {
  execution::RequestScope Scope;
  base::ServiceName Service;
  overload::RouteName Route;
  base::BootTime Deadline;
  /// Longest wait for the response of one attempt.
  base::Duration AttemptTimeout{};
  bool Idempotent = false;
  std::uint16_t Depth = 0;
  base::Duration WaitedBefore{};
  http::Request Request;
};

/// The end of a call after all its attempts.
struct CallResult {
  execution::CallCompletion Verdict;
  /// What the last response told about the called service.
  std::optional<LoadReport> Report;
  /// Attempts that were made, the first one included.
  std::uint32_t Attempts = 0;
};

/// Makes calls to other daemons: chooses the upstream, sends, settles lost
/// connections by fences, and retries within the allowance and the budget.
/// Safe to use from any thread.
class CallClient {
public:
  CallClient(Runtime &Shared, Upstreams &Choice);

  /// Must be set before the first call; the transport needs its listener
  /// first.
  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Makes the call and waits for its end. Uses up retries of `Allowance`.
  /// Cancels the call if the caller's connection closes.
  CallResult call(const OutgoingCall &Call, retry::RetryAllowance &Allowance,
                  const http::CallerConnection &Caller);

  void onResponse(const CallResponseMessage &Message);
  void onFenceReply(const execution::FenceReply &Reply);
  void onConnectionClosed(transport::ConnectionId Connection);
  void tick();

  std::size_t openCalls() const;

private:
  struct Waiter {
    base::PeerAddress Target;
    std::optional<execution::CallCompletion> Verdict;
    /// Set once a response has arrived.
    std::optional<LoadReport> Report;
    std::condition_variable Settled;
  };

  execution::CallCompletion attempt(const OutgoingCall &Call,
                                    const routing::UpstreamChoice &Target,
                                    std::uint32_t AllowanceUnits,
                                    const http::CallerConnection &Caller,
                                    std::optional<LoadReport> &Report);
  std::string encodeCall(const OutgoingCall &Call,
                         const execution::CallIdentity &Identity,
                         std::uint32_t AllowanceUnits) const;
  void transmit(const routing::UpstreamChoice &Target,
                const base::RequestId &Id, std::string Body);
  execution::CallCompletion wait(std::unique_lock<std::mutex> &Lock,
                                 Waiter &Waiting, const base::RequestId &Id,
                                 const http::CallerConnection &Caller);
  void runActions();

  Runtime &Shared;
  Upstreams &Choice;
  transport::PeerTransport *Transport = nullptr;
  mutable std::mutex Mutex;
  execution::CallTracker Tracker;
  retry::RetryBudgetTable Budgets;
  retry::RetryPolicy Policy;
  std::unordered_map<base::RequestId, std::shared_ptr<Waiter>> Waiters;
};

} // namespace node

#endif // JACKDAW_NODE_CALLCLIENT_H
