#include "execution/idempotencytable.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace execution {

namespace {

// Estimated size of hash node, index entry and allocator overhead per record,
// in bytes.
constexpr std::size_t kRecordOverhead = 256;

std::size_t recordBytes(const RequestKey &Request) {
  return kRecordOverhead +
         2 * (Request.Service.str().size() + Request.Workspace.str().size());
}

template <typename TimePoint> std::int64_t minuteOf(TimePoint At) {
  return std::chrono::floor<std::chrono::minutes>(At.time_since_epoch())
      .count();
}

} // namespace

std::size_t
IdempotencyTable::KeyHash::operator()(const RequestKey &Value) const noexcept {
  // Callers choose the keys, so the hash must distribute arbitrary bytes well.
  // The standard library's string hash does.
  std::size_t Seed = std::hash<std::string_view>()(
      {reinterpret_cast<const char *>(Value.Key.Bytes.data()),
       Value.Key.Bytes.size()});
  boost::hash_combine(Seed, std::hash<base::WorkspaceName>()(Value.Workspace));
  boost::hash_combine(Seed, std::hash<base::ServiceName>()(Value.Service));
  return Seed;
}

IdempotencyTable::IdempotencyTable(const base::Clock &Clock,
                                   MemoryBudget &Memory)
    : Clock(Clock), Memory(Memory), StartedAt(Clock.now()),
      StartedAtWall(Clock.wallNow()) {}

IdempotencyTable::~IdempotencyTable() {
  for (const auto &Entry : Records)
    releaseMemory(Entry);
}

base::WallTime IdempotencyTable::monotonicWallTime() const {
  return StartedAtWall + std::chrono::duration_cast<std::chrono::microseconds>(
                             Clock.now() - StartedAt);
}

bool IdempotencyTable::canRuleOutEarlierRun(const IdempotencyKey &Key) const {
  // The wall clock may have jumped since the table was created. The key must be
  // valid by both clocks, because either may be wrong.
  const base::WallTime Monotonic = monotonicWallTime();
  const base::WallTime Wall = Clock.wallNow();
  const base::WallTime Start =
      StartedAtWall + (std::max(Wall, Monotonic) - Monotonic);
  const base::WallTime Timestamp = Key.timestamp();
  // The previous shard owner may have accepted keys up to `kMaxFutureSkew`
  // ahead of its own clock, which may be up to `kMaxClockDifference` ahead of
  // this one.
  return Timestamp > Start + kMaxFutureSkew + kMaxClockDifference &&
         Timestamp + kRecordWindow >= std::max(Wall, Monotonic) &&
         Timestamp <= std::min(Wall, Monotonic) + kMaxFutureSkew;
}

IdempotencyReply IdempotencyTable::begin(const IdempotencyBegin &Message) {
  const auto Found = Records.find(Message.Request);
  if (Found != Records.end())
    return beginKnown(Message, Found->second);
  return beginNew(Message);
}

IdempotencyReply IdempotencyTable::beginNew(const IdempotencyBegin &Message) {
  if (!canRuleOutEarlierRun(Message.Request.Key))
    return {Message.Attempt, IdempotencyDecision::Indeterminate, {}};
  Record *Entry = insert(Message.Request);
  if (Entry == nullptr)
    return {Message.Attempt, IdempotencyDecision::Full, {}};
  Entry->Attempt = Message.Attempt;
  Entry->Digest = Message.Digest;
  return {Message.Attempt, IdempotencyDecision::Run, {}};
}

IdempotencyReply IdempotencyTable::beginKnown(const IdempotencyBegin &Message,
                                              Record &Entry) {
  using enum IdempotencyDecision;
  const bool SameAttempt = Entry.Attempt == Message.Attempt;
  if (Entry.Phase == State::Free && SameAttempt)
    return {Message.Attempt, AttemptOver, {}};
  if (Entry.Phase == State::Free) {
    Entry.Phase = State::InProgress;
    Entry.Attempt = Message.Attempt;
    Entry.Digest = Message.Digest;
    return {Message.Attempt, Run, {}};
  }
  if (Entry.Digest != Message.Digest)
    return {Message.Attempt, OtherRequest, {}};
  if (Entry.Phase == State::InProgress)
    return {Message.Attempt, SameAttempt ? Run : InProgress, {}};
  if (Entry.Phase == State::Unknown)
    return {Message.Attempt, OutcomeUnknown, {}};
  if (!Entry.StoredResponse)
    return {Message.Attempt, ResponseNotStored, {}};
  return {Message.Attempt, Finished, Entry.StoredResponse};
}

void IdempotencyTable::finish(const IdempotencyFinish &Report) {
  const auto Found = Records.find(Report.Request);
  if (Found == Records.end()) {
    finishWithoutRecord(Report);
    return;
  }
  Record &Entry = Found->second;
  const bool IsOpen =
      Entry.Phase == State::InProgress || Entry.Phase == State::Unknown;
  if (!IsOpen || Entry.Attempt != Report.Attempt)
    return;
  switch (Report.Outcome) {
  case base::Outcome::NotRun:
    Entry.Phase = State::Free;
    return;
  case base::Outcome::Unknown:
    Entry.Phase = State::Unknown;
    return;
  case base::Outcome::Ran:
    Entry.Phase = State::Finished;
    storeResponse(Entry, Report.ResponseToStore);
    return;
  }
}

void IdempotencyTable::finishWithoutRecord(const IdempotencyFinish &Report) {
  // The `IdempotencyFinish` has arrived before its `IdempotencyBegin`. Without
  // this record, the late `IdempotencyBegin` would leave the key in progress
  // and nothing would complete it.
  if (Report.Outcome != base::Outcome::NotRun ||
      !canRuleOutEarlierRun(Report.Request.Key))
    return;
  Record *Entry = insert(Report.Request);
  if (Entry == nullptr)
    return;
  Entry->Phase = State::Free;
  Entry->Attempt = Report.Attempt;
}

IdempotencyTable::Record *IdempotencyTable::insert(const RequestKey &Request) {
  if (!Memory.reserveRecord(recordBytes(Request)))
    return nullptr;
  ByMinute[minuteOf(Request.Key.timestamp())].push_back(Request);
  return &Records[Request];
}

void IdempotencyTable::storeResponse(Record &Entry,
                                     const std::optional<Response> &Value) {
  if (!Value || Value->size() > kMaxStoredResponseBytes + sizeof(Response))
    return;
  if (Memory.reserveResponse(Value->size()))
    Entry.StoredResponse = Value;
}

void IdempotencyTable::releaseMemory(const Map::value_type &Entry) {
  if (Entry.second.StoredResponse)
    Memory.releaseResponse(Entry.second.StoredResponse->size());
  Memory.releaseRecord(recordBytes(Entry.first));
}

void IdempotencyTable::tick() {
  const std::int64_t Oldest = minuteOf(monotonicWallTime() - kRecordWindow);
  while (!ByMinute.empty() && ByMinute.begin()->first < Oldest) {
    for (const RequestKey &Request : ByMinute.begin()->second) {
      const auto Found = Records.find(Request);
      releaseMemory(*Found);
      Records.erase(Found);
    }
    ByMinute.erase(ByMinute.begin());
  }
}

} // namespace execution
