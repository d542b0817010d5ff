#ifndef JACKDAW_EXECUTION_ATTEMPTTRACKER_H
#define JACKDAW_EXECUTION_ATTEMPTTRACKER_H

#include "base/clock.h"
#include "execution/calltracker.h"
#include "execution/idempotencymessages.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace execution {

/// Number of times that an `IdempotencyBegin` is sent before the shard owner
/// counts as unreachable.
inline constexpr std::uint32_t kMaxBeginSends = 3;

/// Time to wait for the shard owner's reply; a round trip between regions takes
/// 60 ms.
inline constexpr base::Duration kBeginTimeout = std::chrono::milliseconds(250);

/// Number of times that an `IdempotencyFinish` is sent if the shard owner
/// doesn't acknowledge it. If all are lost, the key stays in progress until it
/// leaves the record window.
inline constexpr std::uint32_t kMaxFinishSends = 8;

/// Delay before an `IdempotencyFinish` is sent again; it doubles each time.
inline constexpr base::Duration kFinishRetryDelay =
    std::chrono::milliseconds(250);

/// Action: send the message to the shard owner.
struct SendBegin {
  IdempotencyBegin Message;
};

/// Action: send the message to the shard owner, which acknowledges it.
struct SendFinish {
  IdempotencyFinish Message;
};

/// Action: run or refuse the attempt, because the shard owner has decided about
/// it or is unreachable.
struct AttemptDecided {
  AttemptId Attempt;
  /// What the caller gets; empty if the attempt may run.
  std::optional<CallCompletion> Refusal;

  bool mayRun() const { return !Refusal.has_value(); }
};

using AttemptAction = std::variant<SendBegin, SendFinish, AttemptDecided>;

/// Tracks the attempts with an idempotency key at one entry daemon. The shard
/// owner relies on one invariant: an attempt that was abandoned or reported as
/// not run never runs, even if a reply that allows it arrives later.
class AttemptTracker {
public:
  explicit AttemptTracker(const base::Clock &Clock) : Clock(Clock) {}

  /// Starts a new attempt, which runs only if the shard owner allows it.
  AttemptId begin(RequestKey Request, const RequestDigest &Digest);

  /// Handles the shard owner's reply. Late and duplicate replies are ignored.
  void onReply(const IdempotencyReply &Reply);

  /// Reports the outcome of an attempt that was allowed to run. Every such
  /// attempt must be reported, as `NotRun` if its caller disconnected before
  /// the call was made.
  void finish(const AttemptId &Attempt, base::Outcome Outcome,
              std::optional<Response> ResponseToStore);

  /// Handles the shard owner's acknowledgement of an `IdempotencyFinish`.
  void onFinishAck(const AttemptId &Attempt);

  /// Handles expired timers. Must be called about every 10 ms.
  void tick();

  /// Returns and clears the pending actions, oldest first. Must be called after
  /// every call of another member function.
  std::vector<AttemptAction> takeActions();

  std::size_t size() const { return Attempts.size(); }

private:
  enum class State : std::uint8_t { AwaitingDecision, Running, Reporting };

  struct Entry {
    State Phase = State::AwaitingDecision;
    IdempotencyBegin Begin;
    IdempotencyFinish Finish;
    std::uint32_t SendCount = 0;
    base::BootTime TimerAt;
  };

  void sendBegin(Entry &Tracked);
  void sendFinish(Entry &Tracked);
  void abandon(Entry &Tracked);

  const base::Clock &Clock;
  std::unordered_map<AttemptId, Entry> Attempts;
  std::vector<AttemptAction> Actions;
};

/// Converts a shard owner's refusal to the completion that the caller gets.
CallCompletion refusalFor(const IdempotencyReply &Reply);

} // namespace execution

#endif // JACKDAW_EXECUTION_ATTEMPTTRACKER_H
