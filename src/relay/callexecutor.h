#ifndef JACKDAW_RELAY_CALLEXECUTOR_H
#define JACKDAW_RELAY_CALLEXECUTOR_H

#include "eventloop/eventloop.h"
#include "execution/executiontable.h"
#include "http/asyncclient.h"
#include "overload/concurrencylimit.h"
#include "overload/failureshare.h"
#include "overload/statedratelimit.h"
#include "overload/workqueue.h"
#include "relay/callcorrelator.h"
#include "relay/localserverstate.h"
#include "relay/messages.h"
#include "relay/refusalreason.h"
#include "relay/sentattempts.h"
#include "relay/serverloadmonitor.h"
#include "relay/servernotices.h"
#include "relay/structuredlog.h"
#include "transport/peertransport.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace relay {

struct ExecutorSettings {
  base::ProcessId Self;
  HeaderNames Headers;
  /// URL of the local backend server, such as `http://10.0.0.7:8080`.
  std::string ServerUrl;
  /// Charged with responses that are being received. Null if memory isn't
  /// limited.
  base::MemoryBudget *Budget = nullptr;
};

/// Runs calls at the local backend server: each at most once, no more
/// concurrently than the server has slots, no more a second than the server
/// states, and none after the server reported that it is shutting down. A call
/// that is refused here has not reached the server.
class CallExecutor {
public:
  /// `InitialState` is the state of the backend server by the reports received
  /// so far.
  CallExecutor(ExecutorSettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, StructuredLog &Log,
               transport::PeerTransport &Peers, CallCorrelator &Correlator,
               const LocalServerState &InitialState);

  /// Applies a report of the backend server.
  ReportResult onServerReport(const ServerReport &Received);

  /// Refuses queued and new calls, since the backend server is shutting down.
  /// Returns false if `Id` is not its current incarnation.
  bool onServerLeaving(const std::string &Id);

  /// Refuses new calls from now on, since this daemon is shutting down.
  void startDraining() { Draining = true; }

  void onCall(transport::ConnectionId From, CallFrame Message);
  void onFence(transport::ConnectionId From, const execution::Fence &Request);

  /// Applies what the server stated earlier, if this daemon has not heard from
  /// it since its own start.
  void onServerReminder(transport::ConnectionId From,
                        const ServerReminder &Reminder);

  void onConnectionClosed(transport::ConnectionId Connection) {
    Notices.onConnectionClosed(Connection);
  }

  /// Refuses calls whose queue time has expired and starts those that the
  /// server's rate limit allows now; must be called about every 20
  /// ms.
  void tick();

  const LocalServerState &server() const { return Server; }
  std::size_t openCalls() const { return Queued.size() + Running.size(); }
  std::size_t queuedCalls() const { return Queued.size(); }
  std::size_t runningCalls() const { return Running.size(); }

  /// Logs each call that is queued or running, since the exit of the process
  /// interrupts it.
  void logInterruptedCalls() const;

private:
  struct QueuedCall {
    CallFrame Message;
    base::BootTime ArrivedAt;
  };
  struct RunningCall {
    CallFrame Message;
    base::BootTime StartedAt;
    std::string AttemptId;
    http::TransferId Transfer;
    ServerIncarnation Server;
    /// Time that the call waited in the queue.
    base::Duration QueueTime{};
  };

  void logServer() const;
  void replaceLimit(std::uint32_t Slots);
  /// Handles a shutdown that the server stated in a response, directly or as
  /// reported by another daemon.
  void onStatedShutdown(const ServerIncarnation &Process, const char *Source);
  /// Refuses queued calls, since the server is shutting down.
  void stopUsingServer(const char *Source);
  ServerNotice currentNotice();
  void refuseQueued(RefusalReason Reason);
  /// Whether the rate limit will not allow a new call within `MaxWait`, given
  /// the queued calls that run before it.
  bool exceedsRateLimit(const overload::QueueEntry &Entry,
                        overload::WorkKind Kind, base::Duration MaxWait);
  void startQueuedCalls();
  bool startNext();
  void forward(const base::CallId &Id, QueuedCall Call,
               base::Duration QueueTime);
  /// Handles the headers of the server's response to a running call.
  void onResponseHeaders(const base::CallId &Id,
                         const http::Response &Received);
  void onExchangeCompleted(const base::CallId &Id,
                           http::ExchangeResult Exchange);
  void recordResponse(const RunningCall &Call,
                      const http::ExchangeResult &Exchange);
  execution::Response toCallResponse(const RunningCall &Call,
                                     http::ExchangeResult &Exchange);
  /// Whether the backend server failed or refused the call, for a reason that
  /// lies with the server itself.
  bool failedByServer(const http::ExchangeResult &Exchange,
                      const execution::Response &Result) const;
  void finish(const base::CallId &Id, execution::Response Result,
              overload::CompletionStatus Completion);
  void refuse(const base::CallId &Id, RefusalReason Reason);
  /// Logs and counts a refusal.
  void recordRefusal(const CallFrame &Message, RefusalReason Reason);
  /// Why a call was removed from the queue, or not accepted in it.
  RefusalReason refusalFor(const overload::DequeuedEntry &Removed) const;
  /// `SharedBody` is the body in place of the one in `Result`, or null.
  void sendResponse(transport::ConnectionId To, const base::CallId &Id,
                    execution::Response Result, bool Congested,
                    const CallTimes &Times = {},
                    std::shared_ptr<const std::string> SharedBody = nullptr);
  void logFailedCall(const RunningCall &Call,
                     const http::ExchangeResult &Exchange,
                     const char *Reason) const;
  void logCall(const char *Event, const CallFrame &Message, const char *Reason,
               const std::string &Detail) const;

  const ExecutorSettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  StructuredLog &Log;
  transport::PeerTransport &Peers;
  CallCorrelator &Correlator;
  http::AsyncClient Client;
  LocalServerState Server;
  ServerLoadMonitor LoadMonitor;
  execution::ExecutionTable Executions;
  SentAttempts Sent;
  overload::WorkQueue Queue;
  overload::StatedRateLimit RateLimit;
  ServerNotices Notices;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  overload::FailureShare Failures;
  std::unordered_map<base::CallId, QueuedCall> Queued;
  std::unordered_map<base::CallId, RunningCall> Running;
  /// Idle time after which a persistent connection is not reused: the one that
  /// the server states, less a margin.
  base::Duration MaxIdleTime;
  base::BootTime NextMaintenance;
  bool Draining = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLEXECUTOR_H
