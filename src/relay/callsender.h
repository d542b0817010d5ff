#ifndef JACKDAW_RELAY_CALLSENDER_H
#define JACKDAW_RELAY_CALLSENDER_H

#include "execution/calltracker.h"
#include "relay/messages.h"
#include "routing/types.h"
#include "transport/peertransport.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace relay {

/// How a call to a serving daemon completed.
struct CallSummary {
  execution::CallCompletion Completion;
  /// Load that the serving daemon reported, in calls queued and running; -1 if
  /// it reported none.
  std::int32_t Load = -1;
  /// Concurrent calls that the serving daemon runs at most; 0 if it reported no
  /// limit.
  std::uint32_t Slots = 0;
  /// See `CallResponseFrame::Congested`.
  bool Congested = false;
  CallTimes Times;
  /// Share of its calls that the backend server fails or refuses now, as the
  /// serving daemon reported it.
  double FailureShare = 0;
};

/// Sends calls to serving daemons and determines the outcome of each. If the
/// connection breaks, the outcome is requested by a fence on a new connection.
class CallSender {
public:
  using Callback = std::function<void(CallSummary)>;

  CallSender(const base::Clock &Clock, const base::ProcessId &Self,
             transport::PeerTransport &Peers);

  /// Sends the call; the identity in `Message` is filled in. `Done` is called
  /// once, from `tick`, `cancel` or one of the handlers, never from within this
  /// function.
  base::CallId send(const routing::UpstreamChoice &Target,
                    base::BootTime Deadline, CallFrame Message, Callback Done);

  /// Sends a reminder that arrives before the calls sent to `Target` later.
  void remind(const routing::UpstreamChoice &Target,
              const ServerReminder &Reminder);

  /// Cancels the call at its target, because the caller has disconnected or
  /// already has its response. May call `Done` at once.
  void cancel(const base::CallId &Id);

  void onCallResponse(CallResponseFrame Message);
  void onFenceReply(const execution::FenceReply &Reply);
  void onConnectionClosed(transport::ConnectionId Connection);

  /// Resends fences and checks deadlines; must be called about every 20 ms.
  void tick();

  std::size_t openCalls() const { return Tracker.size(); }
  const execution::CallCounters &counters() const { return Tracker.counters(); }

private:
  struct PendingCall {
    base::Endpoint Peer;
    Callback Done;
    /// Filled in when the response arrives, except for the completion, which
    /// the tracker reports.
    CallSummary Summary;
  };

  void runActions();
  void complete(execution::CallCompleted &Completed);
  void sendFence(const execution::Fence &Fence);

  transport::PeerTransport &Peers;
  execution::CallTracker Tracker;
  std::unordered_map<base::CallId, PendingCall> Calls;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLSENDER_H
