#ifndef JACKDAW_EXECUTION_CALLTRACKER_H
#define JACKDAW_EXECUTION_CALLTRACKER_H

#include "base/clock.h"
#include "execution/messages.h"

#include <unordered_map>
#include <variant>

namespace execution {

/// Number of fences that are sent for a call before its outcome counts as
/// unknown. The count restarts when the target replies that the call is
/// running.
inline constexpr std::uint32_t kMaxFences = 3;

/// Number of fences for an idempotent call, which may be retried even if its
/// outcome is unknown.
inline constexpr std::uint32_t kMaxIdempotentFences = 1;

/// Time to wait for the reply to a fence. It covers a new connection, a round
/// trip between regions and a short stall of the target process.
inline constexpr base::Duration kFenceTimeout = std::chrono::seconds(1);

/// Delay before the next fence; it doubles with each fence.
inline constexpr base::Duration kFenceRetryDelay =
    std::chrono::milliseconds(50);

/// Time after the deadline or cancellation of a call within which the target
/// may still report the outcome.
inline constexpr base::Duration kCompletionGrace =
    std::chrono::milliseconds(200);

/// Maximum age of a call for which the fence state `NotRun` is trusted. Targets
/// remove a silent sender after `kSenderRetention` and then report its old
/// calls as not run; this process may have been paused that long before it
/// sent the fence.
inline constexpr base::Duration kMaxNotRunAge = std::chrono::minutes(10);

/// Parameters of a new call.
struct CallSpec {
  base::ProcessId Target;
  base::BootTime Deadline;
  bool Idempotent = false;
};

/// Final result of a call.
struct CallCompletion {
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Set if the call failed or a daemon responded in place of the backend
  /// server.
  std::optional<base::ErrorKind> Error;
  /// Set if the target sent a response, including a refusal.
  ResponsePtr Response;
  /// Whether a retry is safe: the call did not run, or it is idempotent and may
  /// have run.
  bool MayRetry = false;
};

/// Action: send the fence over a connection that is known to work, opened for
/// it if necessary, and report the result with `onFenceSent` or
/// `onConnectFailed`.
struct SendFence {
  Fence Message;
};

/// Action: pass on the result of a call, which is completed and no longer
/// tracked.
struct CallCompleted {
  base::CallId Id;
  CallCompletion Completion;
};

using CallAction = std::variant<SendFence, CallCompleted>;

/// Event counts since the start of the process.
struct CallCounters {
  std::uint64_t Opened = 0;
  std::uint64_t Fences = 0;
  std::uint64_t CompletedUnknown = 0;
  /// Responses and fence replies for calls that are no longer tracked.
  std::uint64_t Unmatched = 0;
  /// `NotRun` replies that were not trusted because the call was older than
  /// `kMaxNotRunAge`.
  std::uint64_t NotRunTooOld = 0;
};

/// Tracks the outgoing calls of one daemon. Each call is completed exactly
/// once, with an outcome that no later message can contradict: `NotRun`
/// requires that no byte of the call was sent or that the target has reported
/// it.
class CallTracker {
public:
  CallTracker(const base::Clock &Clock, base::ProcessId Self);

  /// Registers a call that is not sent yet. Every retry is a separate call with
  /// a new identity.
  CallIdentity open(const CallSpec &Spec);

  /// Records that the call is about to be sent on `Connection`. Must be called
  /// before the first byte is written. Returns false if the call must not be
  /// sent because it was completed in the meantime, for example by `cancel`.
  [[nodiscard]] bool beginSend(const base::CallId &Id, ConnectionId Connection);

  /// Handles a failure to connect to the target: completes a call that was
  /// never sent as not run, and counts as a failed fence for any other call.
  void onConnectFailed(const base::CallId &Id);

  /// Records the connection on which the fence is sent and on which the reply
  /// and the response will arrive.
  void onFenceSent(const base::CallId &Id, ConnectionId Connection);

  /// Handles a connection that was closed or timed out. Sends fences for the
  /// calls that await a response on it.
  void onConnectionLost(ConnectionId Connection);

  /// Handles a response. Returns false and counts it as unmatched if the call
  /// is not tracked.
  bool onResponse(const base::CallId &Id, ResponsePtr CallResponse);

  /// Handles the reply to a fence. Returns false and counts it as unmatched if
  /// the call is not tracked.
  bool onFenceReply(const FenceReply &Reply);

  /// Cancels a call on behalf of its caller. The call is completed within
  /// `kCompletionGrace`.
  void cancel(const base::CallId &Id);

  /// Handles expired timers. Must be called about every 10 ms.
  void tick();

  /// Returns and clears the pending actions, oldest first. Must be called after
  /// every call of another member function.
  std::vector<CallAction> takeActions();

  const CallCounters &counters() const { return Counters; }
  std::size_t size() const { return Calls.size(); }

private:
  enum class State : std::uint8_t {
    /// Registered; no byte was sent.
    Opened,
    /// A response is expected on `Connection`.
    AwaitingResponse,
    /// A fence was requested or sent; its reply is due by `TimerAt`.
    AwaitingFenceReply,
    /// The last fence failed; the next one is due at `TimerAt`.
    AwaitingFenceRetry,
  };

  struct Call {
    CallIdentity Identity;
    State Phase = State::Opened;
    bool Idempotent = false;
    ConnectionId Connection;
    base::BootTime OpenedAt;
    base::BootTime Deadline;
    base::BootTime TimerAt;
    std::uint32_t FencesLeft = 0;
    /// Set once the call is cancelled or past its deadline. From then on its
    /// fences ask the target to cancel it.
    std::optional<base::ErrorKind> AbandonReason;
    /// Time at which an abandoned call is completed without a reply.
    base::BootTime CompleteBy;
  };

  using Map = std::unordered_map<base::CallId, Call>;

  static std::uint32_t maxFences(const Call &Entry);
  void abandon(Call &Entry, base::ErrorKind Kind);
  void sendFence(Call &Entry);
  void fenceFailed(Call &Entry);
  void runTimers(Call &Entry, base::BootTime Now);
  void onNotRunReported(Call &Entry);
  void completeUnknown(Call &Entry);
  void complete(Call &Entry, CallCompletion Completion);

  const base::Clock &Clock;
  const base::ProcessId Self;
  std::uint64_t LastSequence = 0;
  Map Calls;
  std::vector<CallAction> Actions;
  CallCounters Counters;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_CALLTRACKER_H
