#ifndef JACKDAW_EXECUTION_EXECUTIONTABLE_H
#define JACKDAW_EXECUTION_EXECUTIONTABLE_H

#include "base/clock.h"
#include "execution/messages.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace execution {

/// Bounds of an execution table.
struct ExecutionLimits {
  /// Time for which the response of a finished call is kept.
  base::Duration ResponseRetention = std::chrono::seconds(60);
  /// Total size of kept responses.
  std::size_t ResponseBytes = std::size_t{32} << 20;
  /// Time for which the outcome of a call is kept.
  base::Duration OutcomeRetention = std::chrono::minutes(3);
  /// Number of settled calls whose outcome is kept.
  std::size_t SettledCalls = 65536;
  /// Number of calls that are queued or running.
  std::size_t OpenCalls = 16384;
  /// Number of sending processes that are remembered.
  std::size_t Senders = 16384;
};

/// Longest time to a deadline that a call may claim.
inline constexpr base::Duration kMaxTimeLeft = std::chrono::hours(1);

/// Deadline of a call that arrived at `Now`, at most `kMaxTimeLeft` away.
base::BootTime deadlineOf(const CallContext &Call, base::BootTime Now);

/// Time without calls and fences after which a sender is forgotten. A frame
/// can't be delayed that long, because the transport closes a connection that
/// is silent for seconds, and senders ignore "not run" for calls older than
/// `kNotRunTrusted`, which is far shorter.
inline constexpr base::Duration kSenderRetention = std::chrono::hours(1);

enum class AdmitResult : std::uint8_t {
  /// The call is queued.
  Queued,
  /// The table is full. The call will never run; answer "not run".
  Refused,
  /// The id is known, fenced or too old. Drop the frame without an answer,
  /// since the call may have run.
  Discarded,
};

/// What became of a call when its turn came.
enum class StartResult : std::uint8_t {
  /// The call is running: from now on it may reach the backend server.
  Started,
  /// The call's deadline has passed. It will never run; answer "not run".
  Expired,
  /// The call has been fenced or withdrawn, or was never admitted. It must not
  /// run, and the answer has been given already.
  Stopped,
};

/// What the serving daemon answers to a fence.
struct FenceResult {
  FenceState State = FenceState::Indeterminate;
  /// Set if the state is `Finished`.
  ResponsePtr Response;
  /// The call was queued until now; its queue entry can be dropped.
  bool WasQueued = false;
};

/// Counts since the start of the process.
struct ExecutionCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t AfterTombstone = 0;
  std::uint64_t BelowFloor = 0;
  std::uint64_t WrongTarget = 0;
  std::uint64_t Expired = 0;
  std::uint64_t ResponsesDropped = 0;
};

/// Execution records of one serving daemon: runs each call at most once and
/// knows what can be said about it.
///
/// A settled record may be forgotten because its sender's floor is raised to
/// its sequence first: an unknown call at or below the floor is never run and
/// never vouched for. So a late frame can't run a call whose tombstone is
/// gone, whatever the delay and the clocks.
class ExecutionTable {
public:
  ExecutionTable(const base::Clock &Time, base::ProcessId Self,
                 ExecutionLimits Limits = {});

  /// Takes in a call that arrived on `ReplyTo`. Every refusal that claims "not
  /// run" has to go through here and `withdraw`, so that a copy of the frame
  /// can't run later.
  AdmitResult admit(const CallContext &Call, ConnectionId ReplyTo);

  /// Marks a queued call as running. This is the last moment at which a fence
  /// can stop it; call it before the first byte goes to the backend server.
  StartResult start(const base::RequestId &Id);

  /// Takes a queued call back, because it is shed or expired. True if it was
  /// queued, so that it will never run and "not run" can be answered.
  bool withdraw(const base::RequestId &Id);

  /// Ends a running call and keeps its response. `Answer->What` is `NotRun`
  /// only if no byte reached the backend server. False if the call wasn't
  /// running.
  bool finish(const base::RequestId &Id, ResponsePtr Answer);

  /// Settles the call if it has not started. The response of a running call
  /// goes to `ReplyTo` from now on. If `Request.Cancel` is set and the state
  /// is `Running`, cancel the call at the backend server.
  FenceResult fence(const Fence &Request, ConnectionId ReplyTo);

  /// Connection on which the sender of a known call waits for its response.
  std::optional<ConnectionId> replyConnection(const base::RequestId &Id) const;

  /// Forgets what has been kept for long enough. Meant to run each second.
  void tick();

  const ExecutionCounters &counters() const { return Counters; }
  std::size_t openCalls() const { return Open; }
  std::size_t settledCalls() const { return Settled.size(); }
  std::size_t responseBytes() const { return ResponseBytes; }

private:
  enum class State : std::uint8_t { Queued, Running, Finished, Tombstone };

  struct SenderState {
    /// Unknown calls up to here have been settled and forgotten, or never
    /// arrived in time.
    CallSequence Floor;
    base::BootTime LastSeen;
    std::size_t Records = 0;
  };

  struct Record {
    State Phase = State::Queued;
    base::Outcome What = base::Outcome::NotRun;
    CallSequence Sequence;
    SenderState *Sender = nullptr;
    base::BootTime Deadline;
    ConnectionId ReplyTo;
    ResponsePtr Answer;
  };

  struct Expiry {
    base::RequestId Id;
    base::BootTime At;
  };

  using Records = std::unordered_map<base::RequestId, Record>;

  SenderState *senderOf(const CallIdentity &Call);
  Record *insert(const CallIdentity &Call, SenderState &Sender);
  FenceResult fenceUnknown(const Fence &Request);
  void settle(const base::RequestId &Id, Record &Entry, State Phase);
  void keepResponse(const base::RequestId &Id, Record &Entry,
                    ResponsePtr Answer);
  void dropOldestResponse();
  void forgetOldest();
  void forgetIdleSenders();

  const base::Clock &Time;
  const base::ProcessId Self;
  const ExecutionLimits Limits;
  Records Calls;
  std::map<base::ProcessId, SenderState> Senders;
  std::deque<Expiry> Settled;
  std::deque<Expiry> Responses;
  std::size_t ResponseBytes = 0;
  std::size_t Open = 0;
  base::BootTime NextSenderScan;
  ExecutionCounters Counters;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_EXECUTIONTABLE_H
