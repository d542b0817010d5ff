#ifndef JACKDAW_RELAY_ENTRYHANDLER_H
#define JACKDAW_RELAY_ENTRYHANDLER_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "http/asyncserver.h"
#include "overload/entrythrottle.h"
#include "overload/workspacedemand.h"
#include "relay/callcorrelator.h"
#include "relay/callsender.h"
#include "relay/decisionlog.h"
#include "relay/ratelimiter.h"
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
  /// Service beside which this daemon runs.
  base::ServiceName Service;
  /// Retries at one service that all daemons together may cause in the window
  /// of `retry::kBudgetWindow`, per hundred first attempts.
  std::uint64_t RetryPercent = 10;
};

/// Takes requests from callers: finds the route and the workspace, applies the
/// limits, sends the request to a serving daemon, tries another one where that
/// is safe, and gives the final answer in time.
class EntryHandler final : public http::AsyncHandler {
public:
  EntryHandler(EntrySettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, DecisionLog &Log,
               CallSender &Calls, UpstreamSelector &Choice, RateLimiter &Rates,
               CallCorrelator &Graph);

  void adopt(config::FleetPolicyPtr New) { Policy = std::move(New); }
  const config::FleetPolicyPtr &policy() const { return Policy; }

  /// Responses close their connections from now on.
  void startDraining() { Draining = true; }

  /// Answers all open requests, as not run or with an unknown outcome if a call
  /// may still run, and turns further ones away.
  void endAll();

  /// Retries that this daemon may cause at a service without first attempts.
  void setRetryFloor(std::uint64_t Floor) { RetryFloor = Floor; }

  void onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                 http::Request Received) override;
  void onAbandoned(http::ExchangeId Id) override;

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
    /// When the caller stops waiting.
    base::BootTime CallerDeadline;
    /// When the final answer is due.
    base::BootTime Deadline;
    eventloop::TimerId Timer;
    std::optional<base::RequestId> Call;
    routing::UpstreamChoice Target;
    std::vector<base::ProcessId> Tried;
    /// The call that the backend server makes this call for, if a caller did
    /// not send the request.
    std::optional<base::RequestId> Parent;
    /// It counts in its workspace's limit.
    bool Charged = false;
    /// All targets were busy, so the call waits at one of them.
    bool LastRound = false;
    /// A call on the way waited for a slot.
    bool Congested = false;
    /// It was let in, so its end says something about the route.
    bool Started = false;
    /// Attempts that reached a backend server.
    std::uint32_t Arrivals = 0;
    base::Outcome Overall = base::Outcome::NotRun;
    std::optional<base::ErrorKind> LastError;
  };

  /// What `identify` found.
  struct Identity {
    std::optional<base::ErrorKind> Refusal;
    /// Null for callers without a workspace.
    const config::WorkspacePolicy *Workspace = nullptr;
  };

  Identity identify(OpenRequest &Request);
  void onGateVerdict(http::ExchangeId Id, RateLimitResult Verdict);
  void begin(OpenRequest &Request);
  void adoptParent(OpenRequest &Request);
  bool admitNew(OpenRequest &Request);
  void setDeadlines(OpenRequest &Request);
  const base::ServiceName &pickService(const config::HostRoute &Route);
  void prepareHeaders(OpenRequest &Request, const std::string &Key) const;
  void attempt(OpenRequest &Request);
  base::Duration queueTime(const OpenRequest &Request,
                           base::BootTime Now) const;
  void onCallEnded(http::ExchangeId Id, const CallEnding &Ending);
  bool mayTryAgain(OpenRequest &Request,
                   const execution::CallCompletion &Verdict);
  void answerWith(OpenRequest &Request, const execution::Response &Answer,
                  const CallTimes &Times);
  void onDeadline(http::ExchangeId Id);
  void end(OpenRequest &Request, base::ErrorKind Reason);
  void giveUp(OpenRequest &Request);
  void refuse(OpenRequest &Request, base::ErrorKind Kind);
  void respond(OpenRequest &Request, http::Response Answer);
  http::Response refusal(const OpenRequest &Request, base::ErrorKind Kind,
                         std::uint16_t Status);
  void logRequest(const char *Event, const OpenRequest &Request,
                  base::ErrorKind Kind, std::uint16_t Status) const;
  retry::RetryBudget &budgetOf(const base::ServiceName &Service);
  overload::EntryThrottle &throttleOf(const OpenRequest &Request);
  double admittedShare(const OpenRequest &Request) const;
  void recordEnd(const OpenRequest &Request, bool Succeeded);

  const EntrySettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  DecisionLog &Log;
  CallSender &Calls;
  UpstreamSelector &Choice;
  RateLimiter &Rates;
  CallCorrelator &Graph;
  overload::WorkspaceDemand Demand;
  config::FleetPolicyPtr Policy;
  std::unordered_map<http::ExchangeId, OpenRequest> Requests;
  std::unordered_map<base::ServiceName, retry::RetryBudget> Budgets;
  /// By route and rank, since workspaces may outrank the route.
  std::map<std::pair<std::string, base::PriorityClass>, overload::EntryThrottle>
      Throttles;
  std::uint64_t RetryFloor = 1;
  std::mt19937_64 Random;
  bool Draining = false;
  bool Ending = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_ENTRYHANDLER_H
