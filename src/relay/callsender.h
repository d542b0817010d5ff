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

/// How a call to a serving daemon ended.
struct CallEnding {
  execution::CallCompletion Verdict;
  /// Load that the serving daemon reported; negative if it did not.
  std::int32_t Load = -1;
  /// Calls that it lets run at a time; 0 if it did not say.
  std::uint32_t Slots = 0;
  /// The call, or one that the backend server made for it, waited for a slot.
  bool Congested = false;
  CallTimes Times;
};

/// Sends calls to serving daemons and finds out how each ended, also when the
/// connection breaks: then a fence on a new connection asks for the outcome.
class CallSender {
public:
  using Callback = std::function<void(CallEnding)>;

  CallSender(const base::Clock &Time, const base::ProcessId &Self,
             transport::PeerTransport &Peers);

  /// Sends the call; `Message`'s identity is filled in. `Done` is called
  /// once, from `tick` or one of the handlers, never from within this call.
  base::RequestId send(const routing::UpstreamChoice &Target,
                       base::BootTime Deadline, CallFrame Message,
                       Callback Done);

  /// The caller has gone or has its answer: stops the work at the target.
  void cancel(const base::RequestId &Id);

  void onAnswer(CallAnswerFrame Message);
  void onFenceReply(const execution::FenceReply &Reply);
  void onConnectionClosed(transport::ConnectionId Connection);

  /// Must be called about every 20 ms.
  void tick();

  std::size_t openCalls() const { return Tracker.size(); }
  const execution::CallCounters &counters() const { return Tracker.counters(); }

private:
  struct Waiting {
    base::PeerAddress Peer;
    Callback Done;
    /// Filled in by the response; the verdict follows.
    CallEnding Ending;
  };

  void runActions();
  void settle(execution::CallCompleted &Settled);
  void sendFence(const execution::Fence &Fence);

  transport::PeerTransport &Peers;
  execution::CallTracker Tracker;
  std::unordered_map<base::RequestId, Waiting> Calls;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLSENDER_H
