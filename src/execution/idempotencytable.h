#ifndef JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H
#define JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H

#include "base/clock.h"
#include "execution/idempotencymessages.h"
#include "execution/memorybudget.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace execution {

/// Maximum age of a key for which the shard owner decides whether an attempt
/// may run. The decision about an older key without a record is
/// `Indeterminate`.
inline constexpr base::Duration kRecordWindow = std::chrono::minutes(10);

/// How far a key's timestamp may be ahead of the shard owner's clock.
inline constexpr base::Duration kMaxFutureSkew = std::chrono::seconds(2);

/// Largest assumed difference between the wall clocks of two shard owners.
inline constexpr base::Duration kMaxClockDifference = std::chrono::seconds(2);

/// Largest response that is stored with a record, in bytes.
inline constexpr std::size_t kMaxStoredResponseBytes = std::size_t{64} << 10;

/// Idempotency records of one shard for one tenure of its owner. The shard
/// owner creates the table when its ownership becomes valid, destroys it when
/// the ownership ends, and checks that the ownership is valid before each
/// `begin`.
///
/// A record is removed only when its key has left the record window; from then
/// on the table can't determine whether an attempt with the key ran. If memory
/// is short, the table refuses new records instead of removing existing ones.
class IdempotencyTable {
public:
  IdempotencyTable(const base::Clock &Clock, MemoryBudget &Memory);
  IdempotencyTable(const IdempotencyTable &) = delete;
  IdempotencyTable &operator=(const IdempotencyTable &) = delete;
  ~IdempotencyTable();

  /// Decides whether an attempt may run. If the decision is `Run`, the attempt
  /// is recorded as in progress.
  IdempotencyReply begin(const IdempotencyBegin &Message);

  /// Records the outcome of an attempt. `NotRun` makes the key free for another
  /// attempt. Reports about other attempts than the recorded one are ignored,
  /// since a late copy must not free a key that is in use again.
  void finish(const IdempotencyFinish &Report);

  /// Removes the records whose key has left the record window. Must be called
  /// about once a second.
  void tick();

  std::size_t size() const { return Records.size(); }

private:
  enum class State : std::uint8_t { InProgress, Finished, Unknown, Free };

  struct Record {
    State Phase = State::InProgress;
    AttemptId Attempt;
    RequestDigest Digest;
    std::optional<Response> StoredResponse;
  };

  struct KeyHash {
    std::size_t operator()(const RequestKey &Value) const noexcept;
  };

  using Map = std::unordered_map<RequestKey, Record, KeyHash>;

  /// Returns the wall-clock time at the table's creation plus the time elapsed
  /// since, which is unaffected by later jumps of the wall clock.
  base::WallTime monotonicWallTime() const;
  /// Whether it is certain that no attempt with an unrecorded key ran: neither
  /// a removed record nor an earlier shard owner can have allowed one.
  bool canRuleOutEarlierRun(const IdempotencyKey &Key) const;
  IdempotencyReply beginNew(const IdempotencyBegin &Message);
  IdempotencyReply beginKnown(const IdempotencyBegin &Message, Record &Entry);
  /// Handles a report about a key that has no record.
  void finishWithoutRecord(const IdempotencyFinish &Report);
  Record *insert(const RequestKey &Request);
  void storeResponse(Record &Entry, const std::optional<Response> &Value);
  void releaseMemory(const Map::value_type &Entry);

  const base::Clock &Clock;
  MemoryBudget &Memory;
  const base::BootTime StartedAt;
  const base::WallTime StartedAtWall;
  Map Records;
  /// Keys of the records by the minute of the key's timestamp, so that expiry
  /// needs no scan.
  std::map<std::int64_t, std::vector<RequestKey>> ByMinute;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H
