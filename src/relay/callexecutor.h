#ifndef JACKDAW_RELAY_CALLEXECUTOR_H
#define JACKDAW_RELAY_CALLEXECUTOR_H

#include "eventloop/eventloop.h"
#include "execution/executiontable.h"
#include "http/asyncclient.h"
#include "overload/concurrencylimit.h"
#include "overload/workqueue.h"
#include "relay/callcorrelator.h"
#include "relay/decisionlog.h"
#include "relay/localserverstate.h"
#include "relay/messages.h"
#include "transport/peertransport.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace relay {

struct ExecutorSettings {
  base::ProcessId Self;
  HeaderNames Headers;
  /// Such as `http://10.0.0.7:8080`.
  std::string ServerUrl;
};

/// Runs calls at the backend server beside this daemon: each at most once, no
/// more at a time than the server has slots, and none after the server said
/// that it leaves. What is turned away here has not reached the server.
class CallExecutor {
public:
  /// `Known` is what the backend server has said so far.
  CallExecutor(ExecutorSettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, DecisionLog &Log,
               transport::PeerTransport &Peers, CallCorrelator &Graph,
               const LocalServerState &Known);

  /// Takes in a report of the backend server.
  ReportResult report(const ServerReport &Received);

  /// The backend server of this id says that it is going.
  bool leave(const std::string &Id);

  /// This daemon stops: calls that come from now on are turned away.
  void startDraining() { Draining = true; }

  void onCall(transport::ConnectionId From, CallFrame Message);
  void onFence(transport::ConnectionId From, const execution::Fence &Request);

  /// Must be called about every 20 ms.
  void tick();

  const LocalServerState &server() const { return Server; }
  std::size_t openCalls() const { return Queued.size() + Running.size(); }

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
    std::string ServerId;
    base::Duration Queued{};
  };

  void logServer() const;
  void replaceLimit(std::uint32_t Slots);
  void rejectQueued(base::ErrorKind Kind);
  void pump();
  bool startNext();
  void pass(const base::RequestId &Id, QueuedCall Call, base::Duration Waited);
  void onExchangeEnded(const base::RequestId &Id, http::ExchangeResult Result);
  execution::Response answerOf(const RunningCall &Call,
                               http::ExchangeResult &Result);
  void finish(const base::RequestId &Id, execution::Response Answer,
              overload::CallCompletion End);
  void refuse(const base::RequestId &Id, base::ErrorKind Kind, const char *Why);
  void answer(transport::ConnectionId To, const base::RequestId &Id,
              execution::Response Answer, bool Congested,
              const CallTimes &Times = {});
  void logCall(const char *Event, const CallFrame &Message, const char *Why,
               const std::string &Detail) const;

  const ExecutorSettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  DecisionLog &Log;
  transport::PeerTransport &Peers;
  CallCorrelator &Graph;
  http::AsyncClient Client;
  LocalServerState Server;
  execution::ExecutionTable Executions;
  overload::WorkQueue Queue;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  std::unordered_map<base::RequestId, QueuedCall> Queued;
  std::unordered_map<base::RequestId, RunningCall> Running;
  /// Longest idle time of a kept connection, as the server states it.
  base::Duration MaxIdle;
  base::BootTime NextSlowTick;
  bool Draining = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLEXECUTOR_H
