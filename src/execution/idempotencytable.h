#ifndef JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H
#define JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H

#include "base/clock.h"
#include "execution/idempotencymessages.h"
#include "execution/memorybudget.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace execution {

/// Age up to which an owner vouches for a key.
inline constexpr base::Duration kRecordWindow = std::chrono::minutes(10);

/// How far in the future an owner accepts a key's time.
inline constexpr base::Duration kFutureAllowance = std::chrono::seconds(2);

/// Largest difference assumed between the wall clocks of two owners.
inline constexpr base::Duration kClockAllowance = std::chrono::seconds(2);

/// Largest response that is kept with a record, in bytes.
inline constexpr std::size_t kMaxStoredResponseBytes = std::size_t{64} << 10;

/// Idempotency records of one shard for one term of ownership. Create it when
/// the ownership starts to be valid and destroy it when it ends; check the
/// ownership's validity before each `begin`.
///
/// A record is dropped only when its key is out of the record window, from
/// when on the table doesn't vouch for the key. If memory is short, new
/// records are refused instead.
class IdempotencyTable {
public:
  IdempotencyTable(const base::Clock &Time, MemoryBudget &Memory);
  IdempotencyTable(const IdempotencyTable &) = delete;
  IdempotencyTable &operator=(const IdempotencyTable &) = delete;
  ~IdempotencyTable();

  /// Decides about an attempt; `Run` records it as in progress.
  IdempotencyReply begin(const IdempotencyBegin &Request);

  /// Takes in the end of an attempt: `Ran`, `NotRun` (the key becomes free
  /// again) or `Unknown`. Reports of other attempts than the recorded one are
  /// ignored, since a late copy must not free a key that is in use again.
  void finish(const IdempotencyFinish &Report);

  /// Drops records whose key is out of the window. Meant to run each second.
  void tick();

  std::size_t size() const { return Records.size(); }

private:
  enum class State : std::uint8_t { InProgress, Finished, Unknown, Free };

  struct Record {
    State Phase = State::InProgress;
    AttemptId Attempt;
    RequestDigest Digest;
    std::optional<Response> Answer;
  };

  struct KeyHash {
    std::size_t operator()(const RequestKey &Value) const noexcept;
  };

  using Map = std::unordered_map<RequestKey, Record, KeyHash>;

  /// The wall clock as it would be without jumps since the start.
  base::WallTime steadyWall() const;
  bool vouchesFor(const IdempotencyKey &Key) const;
  IdempotencyReply beginNew(const IdempotencyBegin &Request);
  IdempotencyReply beginKnown(const IdempotencyBegin &Request, Record &Entry);
  void finishUnknown(const IdempotencyFinish &Report);
  Record *insert(const RequestKey &Request);
  void keepResponse(Record &Entry, const std::optional<Response> &Answer);
  void release(const Map::value_type &Entry);

  const base::Clock &Time;
  MemoryBudget &Memory;
  const base::BootTime StartedAt;
  const base::WallTime StartedAtWall;
  Map Records;
  /// Records by the minute of their key's time, so that expiry needs no scan.
  std::map<std::int64_t, std::vector<RequestKey>> ByMinute;
};

} // namespace execution

#endif // JACKDAW_EXECUTION_IDEMPOTENCYTABLE_H
