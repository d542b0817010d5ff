#ifndef JACKDAW_RELAY_ENTRYHANDLER_H
#define JACKDAW_RELAY_ENTRYHANDLER_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "http/asyncserver.h"
#include "overload/entrythrottle.h"
#include "overload/workspacedemand.h"
#include "relay/callcorrelator.h"
#include "relay/callsender.h"
#include "relay/policyfreshness.h"
#include "relay/ratelimiter.h"
#include "relay/structuredlog.h"
#include "relay/types.h"
#include "relay/upstreamselector.h"
#include "retry/retrybudget.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace relay {

struct EntrySettings {
  HeaderNames Headers;
  /// Service of the local backend server.
  base::ServiceName Service;
  /// Retries of calls to one service that all daemons together may send within
  /// `retry::kBudgetWindow`, per hundred first attempts.
  std::uint64_t RetryPercent = 10;
};

/// Handles callers' requests at the entry daemon: finds the route and the
/// workspace, applies the limits, sends the request to a serving daemon,
/// retries at another one where that is safe, and responds before the deadline.
class EntryHandler final : public http::AsyncHandler {
public:
  EntryHandler(EntrySettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, StructuredLog &Log,
               CallSender &Calls, UpstreamSelector &Upstreams,
               RateLimiter &Limiter, CallCorrelator &Correlator,
               const PolicyFreshness &Freshness);

  void setPolicy(config::FleetPolicyPtr NewPolicy) {
    Policy = std::move(NewPolicy);
  }
  const config::FleetPolicyPtr &policy() const { return Policy; }

  /// Makes responses close their connections from now on.
  void startDraining() { Draining = true; }

  /// Refuses requests that arrive after `From` as not run if their deadline is
  /// later than `LastDeadline`, when this daemon fails the open requests.
  void refuseLongRequests(base::BootTime From, base::BootTime LastDeadline) {
    Stop = StopLimits{From, LastDeadline};
  }

  /// Responds to all open requests with an error, as not run, or as of unknown
  /// outcome if a call may still run; refuses further requests.
  void failOpenRequests();

  /// Sets how many retries this daemon may send to a service within the budget
  /// window regardless of first attempts.
  void setRetryFloor(std::uint64_t Floor) { RetryFloor = Floor; }

  void onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                 http::Request Received) override;
  void onCallerDisconnected(http::ExchangeId Id) override;

  std::size_t openRequests() const { return Requests.size(); }

private:
  struct OpenRequest {
    http::AsyncServer *Server = nullptr;
    http::ExchangeId Exchange;
    CallFrame Message;
    config::FleetPolicyPtr Policy;
    const config::HostRoute *Route = nullptr;
    std::string AttemptId;
    base::BootTime ArrivedAt;
    /// When the caller stops waiting, by the time that it states.
    base::BootTime CallerDeadline;
    /// When the response is due: at the latest `CallerDeadline`, earlier if the
    /// route has a shorter timeout.
    base::BootTime Deadline;
    eventloop::TimerId Timer;
    std::optional<base::CallId> Call;
    routing::UpstreamChoice Target;
    std::vector<base::ProcessId> Attempted;
    /// The call that the local backend server was running when it made this
    /// request; empty if an external caller sent it.
    std::optional<base::CallId> Parent;
    /// The request counts towards its workspace's rate limit.
    bool CountsTowardsLimit = false;
    /// All upstreams were busy, so the call waits for a slot at one of them.
    bool FinalAttempt = false;
    /// A call of this request was congested; see
    /// `CallResponseFrame::Congested`.
    bool Congested = false;
    /// The request was admitted, so its outcome counts for the throttle of its
    /// route.
    bool Admitted = false;
    /// Attempts that have, or may have, reached a backend server.
    std::uint32_t DeliveredAttempts = 0;
    base::Outcome CombinedOutcome = base::Outcome::NotRun;
    std::optional<base::ErrorKind> LastError;
  };

  /// See `refuseLongRequests`.
  struct StopLimits {
    base::BootTime RefuseFrom;
    base::BootTime LastDeadline;
  };

  /// Result of `identifyCaller`: a refusal, or the workspace.
  struct CallerIdentity {
    std::optional<base::ErrorKind> Refusal;
    /// Null for requests without a workspace.
    const config::WorkspacePolicy *Workspace = nullptr;
  };

  CallerIdentity identifyCaller(OpenRequest &Request);
  /// `Kind`, which states that a route or key doesn't exist, unless this daemon
  /// knows that there may be newer ones.
  base::ErrorKind unlessOutdated(base::ErrorKind Kind) const;
  void onRateLimitResult(http::ExchangeId Id, RateLimitResult Result);
  void dispatch(OpenRequest &Request);
  void inheritScope(OpenRequest &Request);
  bool passesThrottle(OpenRequest &Request);
  void setDeadlines(OpenRequest &Request);
  const base::ServiceName &chooseService(const config::HostRoute &Route);
  void rewriteHeaders(OpenRequest &Request, const std::string &Key) const;
  void sendAttempt(OpenRequest &Request);
  base::Duration maxQueueTime(const OpenRequest &Request,
                              base::BootTime Now) const;
  void onCallCompleted(http::ExchangeId Id, const CallSummary &Summary);
  /// Whether to send another attempt, which may become the final one.
  bool canRetry(OpenRequest &Request,
                const execution::CallCompletion &Completion);
  void forwardResponse(OpenRequest &Request,
                       const execution::Response &Received,
                       const CallTimes &Times);
  static bool endsConnectionOfOthers(const OpenRequest &Request,
                                     const execution::Response &Received);
  void logDiscardedResponse(const OpenRequest &Request,
                            const execution::Response &Received);
  void onDeadline(http::ExchangeId Id);
  void abort(OpenRequest &Request, base::ErrorKind Reason);
  void cancelCall(OpenRequest &Request);
  void respondWithError(OpenRequest &Request, base::ErrorKind Kind);
  void respond(OpenRequest &Request, http::Response Final);
  http::Response makeErrorResponse(const OpenRequest &Request,
                                   base::ErrorKind Kind, std::uint16_t Status);
  static std::string attemptedInstances(const OpenRequest &Request);
  void logRequest(const char *Event, const OpenRequest &Request,
                  base::ErrorKind Kind, std::uint16_t Status) const;
  retry::RetryBudget &retryBudgetFor(const base::ServiceName &Service);
  overload::EntryThrottle &throttleFor(const OpenRequest &Request);
  double admittedShare(const OpenRequest &Request) const;
  void updateThrottle(const OpenRequest &Request, bool Succeeded);

  const EntrySettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  StructuredLog &Log;
  CallSender &Calls;
  UpstreamSelector &Upstreams;
  RateLimiter &Limiter;
  CallCorrelator &Correlator;
  const PolicyFreshness &Freshness;
  overload::WorkspaceDemand Demand;
  config::FleetPolicyPtr Policy;
  std::unordered_map<http::ExchangeId, OpenRequest> Requests;
  std::unordered_map<base::ServiceName, retry::RetryBudget> Budgets;
  /// By route and priority class, since a workspace's priority overrides that
  /// of the route.
  std::map<std::pair<std::string, base::PriorityClass>, overload::EntryThrottle>
      Throttles;
  std::uint64_t RetryFloor = 1;
  std::mt19937_64 Random;
  bool Draining = false;
  std::optional<StopLimits> Stop;
  bool Stopping = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_ENTRYHANDLER_H
