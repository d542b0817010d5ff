#ifndef JACKDAW_EXECUTION_CALLTRACKER_H
#define JACKDAW_EXECUTION_CALLTRACKER_H

#include "base/clock.h"
#include "execution/messages.h"

#include <unordered_map>
#include <variant>

namespace execution {

/// Fences that are sent for a call before its outcome is given up as unknown.
/// The count starts again when the target answers that the call is running.
inline constexpr std::uint32_t kFenceAttempts = 3;

/// The same for a call that may be repeated without harm.
inline constexpr std::uint32_t kIdempotentFenceAttempts = 1;

/// Time to wait for the reply to a fence. It covers a new connection, a round
/// trip between regions and a short stall of the target.
inline constexpr base::Duration kFenceTimeout = std::chrono::seconds(1);

/// Pause before a further fence; it doubles with each.
inline constexpr base::Duration kFencePause = std::chrono::milliseconds(50);

/// Time after a deadline or cancellation in which the target may still report
/// the outcome.
inline constexpr base::Duration kSettleGrace = std::chrono::milliseconds(200);

/// Age of a call up to which a fence's "not run" is believed. Targets forget a
/// silent sender after `kSenderRetention`, and this side may have been
/// suspended before it sent the fence.
inline constexpr base::Duration kNotRunTrusted = std::chrono::minutes(10);

/// A call that is about to be made.
struct CallSpec {
  base::ProcessId Target;
  base::BootTime Deadline;
  bool Idempotent = false;
};

/// The final word on a call.
struct CallCompletion {
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Why there is no response.
  std::optional<base::ErrorKind> Error;
  /// Set if the target sent a response, also if that is a refusal.
  ResponsePtr Response;
  /// Whether a repeat can't make the request run twice.
  bool MayRetry = false;
};

/// Send the fence over a connection that is known to work, opened for it if
/// need be, and report it with `onFenceSent` or `onConnectFailed`.
struct SendFence {
  Fence Message;
};

/// The call is settled and forgotten.
struct CallCompleted {
  base::RequestId Id;
  CallCompletion Completion;
};

using CallAction = std::variant<SendFence, CallCompleted>;

/// Counts since the start of the process.
struct CallCounters {
  std::uint64_t Opened = 0;
  std::uint64_t Fences = 0;
  std::uint64_t SettledUnknown = 0;
  /// Responses and fence replies for calls that no longer wait.
  std::uint64_t Unmatched = 0;
  std::uint64_t NotRunTooOld = 0;
};

/// Outgoing calls of one daemon. Each call settles once, with an outcome that
/// stays true whatever arrives later: "not run" needs that no byte of the call
/// was sent, or that the target said so.
class CallTracker {
public:
  CallTracker(const base::Clock &Time, base::ProcessId Self);

  /// Registers a call that has not been sent. Every retry is a call of its own
  /// with a new identity.
  CallIdentity open(const CallSpec &Spec);

  /// Reports that the call is about to go out on `Connection`; to be called
  /// before the first byte is written. False if the call has been settled
  /// meanwhile, for example cancelled: it must not be sent then.
  [[nodiscard]] bool beginSend(const base::RequestId &Id,
                               ConnectionId Connection);

  /// Reports that no connection to the target could be made. Settles a call
  /// that was never sent as not run; counts as a failed fence otherwise.
  void onConnectFailed(const base::RequestId &Id);

  /// Reports that the fence goes out on `Connection`, where the reply and the
  /// response will arrive.
  void onFenceSent(const base::RequestId &Id, ConnectionId Connection);

  /// Reports that a connection broke or went silent.
  void onConnectionLost(ConnectionId Connection);

  /// Takes in a response. Returns false and counts it if no call waits for it.
  bool onResponse(const base::RequestId &Id, ResponsePtr Answer);

  /// Takes in the reply to a fence; false as above.
  bool onFenceReply(const FenceReply &Reply);

  /// Gives up a call because its caller cancelled it. The call settles within
  /// `kSettleGrace`.
  void cancel(const base::RequestId &Id);

  /// Runs the timers. Meant to run every 10 ms.
  void tick();

  /// What is to be done, oldest first; to be asked for after each other call.
  std::vector<CallAction> takeActions();

  const CallCounters &counters() const { return Counters; }
  std::size_t size() const { return Calls.size(); }

private:
  enum class State : std::uint8_t {
    /// Registered, and no byte was sent.
    Opened,
    /// A response is expected on `Connection`.
    Waiting,
    /// A fence was handed out or sent, and its reply is due by `TimerAt`.
    Fencing,
    /// The next fence is due at `TimerAt`.
    Pausing,
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
    /// Set once the call is given up; the fences cancel it from then on.
    std::optional<base::ErrorKind> GivenUp;
    base::BootTime SettleBy;
  };

  using Map = std::unordered_map<base::RequestId, Call>;

  static std::uint32_t fenceAttempts(const Call &Entry);
  void giveUp(Call &Entry, base::ErrorKind Kind);
  void sendFence(Call &Entry);
  void fenceFailed(Call &Entry);
  void runTimers(Call &Entry, base::BootTime Now);
  void confirmNotRun(Call &Entry);
  void settleUnknown(Call &Entry);
  void settle(Call &Entry, CallCompletion Verdict);

  const base::Clock &Time;
  const base::ProcessId Self;
  std::uint64_t LastSequence = 0;
  Map Calls;
  std::vector<CallAction> Actions;
  CallCounters Counters;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_CALLTRACKER_H
