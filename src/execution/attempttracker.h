#ifndef JACKDAW_EXECUTION_ATTEMPTTRACKER_H
#define JACKDAW_EXECUTION_ATTEMPTTRACKER_H

#include "base/clock.h"
#include "execution/calltracker.h"
#include "execution/idempotencymessages.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace execution {

/// Times that the owner is asked about an attempt before it counts as out of
/// reach.
inline constexpr std::uint32_t kBeginTries = 3;

/// Time to wait for the owner's reply; a round trip between regions takes
/// 60 ms.
inline constexpr base::Duration kBeginTimeout = std::chrono::milliseconds(250);

/// Times that the end of an attempt is reported until the owner confirms it.
/// A report that gets lost leaves the key in progress until its window ends.
inline constexpr std::uint32_t kFinishTries = 8;

/// Pause between such reports; it doubles with each.
inline constexpr base::Duration kFinishPause = std::chrono::milliseconds(250);

/// Send to the owner of the shard.
struct SendBegin {
  IdempotencyBegin Message;
};

/// Send to the owner of the shard, who confirms it.
struct SendFinish {
  IdempotencyFinish Message;
};

/// The owner has decided, or can't be reached.
struct AttemptDecided {
  AttemptId Attempt;
  /// What to answer to the caller; nothing if the attempt may run.
  std::optional<CallCompletion> Refusal;

  bool mayRun() const { return !Refusal.has_value(); }
};

using AttemptAction = std::variant<SendBegin, SendFinish, AttemptDecided>;

/// Attempts with an idempotency key at one entry daemon. It keeps the promise
/// that the owner relies on: an attempt that was given up or reported as not
/// run never runs, whatever reply arrives later.
class AttemptTracker {
public:
  explicit AttemptTracker(const base::Clock &Time) : Time(Time) {}

  /// Asks the owner whether a new attempt may run.
  AttemptId begin(RequestKey Request, const RequestDigest &Digest);

  /// Takes in the owner's reply. Replies that come late or twice are ignored.
  void onReply(const IdempotencyReply &Reply);

  /// Reports the end of an attempt that was allowed to run. Each of them has
  /// to be reported, as `NotRun` if its caller left before the call was made.
  void finish(const AttemptId &Attempt, base::Outcome What,
              std::optional<Response> Answer);

  /// Takes in the owner's confirmation of a report.
  void onFinishAck(const AttemptId &Attempt);

  /// Runs the timers. Meant to run every 10 ms.
  void tick();

  /// What is to be done, oldest first; to be asked for after each other call.
  std::vector<AttemptAction> takeActions();

  std::size_t size() const { return Attempts.size(); }

private:
  enum class State : std::uint8_t { Asking, Running, Reporting };

  struct Entry {
    State Phase = State::Asking;
    IdempotencyBegin Begin;
    IdempotencyFinish Finish;
    std::uint32_t Tries = 0;
    base::BootTime TimerAt;
  };

  void ask(Entry &Value);
  void report(Entry &Value);
  void giveUp(Entry &Value);

  const base::Clock &Time;
  std::unordered_map<AttemptId, Entry> Attempts;
  std::vector<AttemptAction> Actions;
};

/// What a refusing reply of the owner means for the caller.
CallCompletion refusalFor(const IdempotencyReply &Reply);

} // namespace execution

#endif // JACKDAW_EXECUTION_ATTEMPTTRACKER_H
