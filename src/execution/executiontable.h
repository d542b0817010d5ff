#ifndef JACKDAW_EXECUTION_EXECUTIONTABLE_H
#define JACKDAW_EXECUTION_EXECUTIONTABLE_H

#include "base/clock.h"
#include "execution/messages.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace execution {

/// Size and retention limits of an execution table.
struct ExecutionLimits {
  /// Time for which the response of a finished call is stored.
  base::Duration ResponseRetention = std::chrono::seconds(60);
  /// Total size of the stored responses, in bytes.
  std::size_t ResponseBytes = std::size_t{32} << 20;
  /// Time for which the record of a completed call is kept.
  base::Duration OutcomeRetention = std::chrono::minutes(3);
  /// Number of records of completed calls.
  std::size_t CompletedCalls = 65536;
  /// Number of queued and running calls.
  std::size_t OpenCalls = 16384;
  /// Number of sending processes that are tracked.
  std::size_t Senders = 16384;
};

/// Upper limit of the time left to a call's deadline.
inline constexpr base::Duration kMaxTimeLeft = std::chrono::hours(1);

/// Returns the deadline of a call that arrived at `Now`, at most `kMaxTimeLeft`
/// later.
base::BootTime deadlineOf(const CallContext &Call, base::BootTime Now);

/// Time without calls and fences after which a sender's state is removed. This
/// is safe because a frame can't be delayed that long (the transport closes a
/// connection that is silent for seconds) and because senders ignore `NotRun`
/// for calls older than `kMaxNotRunAge`, which is far shorter.
inline constexpr base::Duration kSenderRetention = std::chrono::hours(1);

/// Result of `ExecutionTable::admit`.
enum class AdmitResult : std::uint8_t {
  /// The call is queued.
  Queued,
  /// The table is full. The call will never run; respond with `NotRun`.
  Refused,
  /// The call is known, fenced, too old or meant for another process, or the
  /// sender can't be tracked. Drop the frame without a response, since the call
  /// may have run.
  Discarded,
};

/// Result of `ExecutionTable::start`.
enum class StartResult : std::uint8_t {
  /// The call is running and may reach the backend server from now on.
  Started,
  /// The call's deadline has passed. It will never run; respond with `NotRun`.
  Expired,
  /// The call was fenced or withdrawn, or was never admitted. It must not run.
  /// Its reply or response was already sent.
  Stopped,
};

/// Result of `ExecutionTable::fence`, from which the serving daemon makes its
/// reply.
struct FenceResult {
  FenceState State = FenceState::Indeterminate;
  /// Set if the state is `Finished`.
  ResponsePtr Response;
  /// The call was queued until now; its queue entry can be dropped.
  bool WasQueued = false;
};

/// Event counts since the start of the process.
struct ExecutionCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Calls discarded because an admitted call has the same id.
  std::uint64_t Duplicates = 0;
  /// Calls discarded because they had been fenced, withdrawn, refused or
  /// expired.
  std::uint64_t AfterTombstone = 0;
  /// Calls discarded because their sequence is at or below the sender's floor
  /// or the sender can't be tracked.
  std::uint64_t BelowFloor = 0;
  /// Calls discarded because they are meant for another process.
  std::uint64_t WrongTarget = 0;
  std::uint64_t Expired = 0;
  /// Responses that were dropped or not stored because of the size limit.
  std::uint64_t ResponsesDropped = 0;
};

/// Execution records of one serving daemon. They ensure that each call runs at
/// most once and that a fence reports nothing false about it.
///
/// A call is completed when it has finished, or when it is certain never to
/// run; the record is then a tombstone. Before the record of a completed call
/// is removed, the floor of its sender is raised to the call's sequence. An
/// unknown call at or below the floor never runs, and a fence reports it as
/// `Indeterminate`. So a late frame can't run a call whose tombstone is
/// removed, regardless of its delay and of the clocks.
class ExecutionTable {
public:
  ExecutionTable(const base::Clock &Clock, base::ProcessId Self,
                 ExecutionLimits Limits = {});

  /// Admits a call that arrived on connection `ReplyTo`. A call may be refused
  /// as `NotRun` only if this function or `withdraw` has recorded that, so that
  /// a duplicate of the frame can't run later.
  AdmitResult admit(const CallContext &Call, ConnectionId ReplyTo);

  /// Marks a queued call as running. A fence can't stop the call any more after
  /// that. Must be called before the first byte is sent to the backend server.
  StartResult start(const base::CallId &Id);

  /// Withdraws a queued call that is refused or has expired in the queue.
  /// Returns true if it was queued: it will never run, and the response may be
  /// `NotRun`.
  bool withdraw(const base::CallId &Id);

  /// Completes a running call and stores its response, whose outcome may be
  /// `NotRun` only if no byte reached the backend server. Returns false if the
  /// call isn't running.
  bool finish(const base::CallId &Id, ResponsePtr CallResponse);

  /// Prevents the call from running if it has not started, and returns its
  /// state. The response of a running call is sent on `ReplyTo` from now on. If
  /// `Request.Cancel` is set and the state is `Running`, the function's caller
  /// must cancel the call at the backend server.
  FenceResult fence(const Fence &Request, ConnectionId ReplyTo);

  /// Returns the connection for the response of a call, or an empty optional if
  /// the call is unknown.
  std::optional<ConnectionId> replyConnection(const base::CallId &Id) const;

  /// Removes expired responses and records. Must be called about once a second.
  void tick();

  const ExecutionCounters &counters() const { return Counters; }
  std::size_t openCalls() const { return Open; }
  std::size_t completedCalls() const { return Completed.size(); }
  std::size_t responseBytes() const { return ResponseBytes; }

private:
  enum class State : std::uint8_t { Queued, Running, Finished, Tombstone };

  struct SenderState {
    /// Unknown calls up to this sequence were completed and their records
    /// removed, or they did not arrive in time.
    CallSequence Floor;
    base::BootTime LastSeen;
    /// Number of records of this sender's calls.
    std::size_t Records = 0;
  };

  struct Record {
    State Phase = State::Queued;
    base::Outcome Outcome = base::Outcome::NotRun;
    CallSequence Sequence;
    SenderState *Sender = nullptr;
    base::BootTime Deadline;
    ConnectionId ReplyTo;
    ResponsePtr StoredResponse;
  };

  struct Expiry {
    base::CallId Id;
    base::BootTime At;
  };

  using Records = std::unordered_map<base::CallId, Record>;

  SenderState *findOrAddSender(const CallIdentity &Call);
  Record *insert(const CallIdentity &Call, SenderState &Sender);
  /// Handles a fence of a call that has no record.
  FenceResult fenceWithoutRecord(const Fence &Request);
  void complete(const base::CallId &Id, Record &Entry, State Phase);
  void storeResponse(const base::CallId &Id, Record &Entry,
                     ResponsePtr CallResponse);
  void dropOldestResponse();
  void removeOldestCompleted();
  void removeIdleSenders();

  const base::Clock &Clock;
  const base::ProcessId Self;
  const ExecutionLimits Limits;
  Records Calls;
  std::map<base::ProcessId, SenderState> Senders;
  std::deque<Expiry> Completed;
  std::deque<Expiry> Responses;
  std::size_t ResponseBytes = 0;
  std::size_t Open = 0;
  base::BootTime NextSenderScan;
  ExecutionCounters Counters;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_EXECUTIONTABLE_H
