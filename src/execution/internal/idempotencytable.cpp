#include "execution/idempotencytable.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

namespace execution {

namespace {

// Estimate of hash node, index entry and allocator overhead per record.
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
  // Keys come from callers, so the hash has to spread any choice of bytes;
  // the library's string hash does.
  std::size_t Seed = std::hash<std::string_view>()(
      {reinterpret_cast<const char *>(Value.Key.Bytes.data()),
       Value.Key.Bytes.size()});
  boost::hash_combine(Seed, std::hash<base::WorkspaceName>()(Value.Workspace));
  boost::hash_combine(Seed, std::hash<base::ServiceName>()(Value.Service));
  return Seed;
}

IdempotencyTable::IdempotencyTable(const base::Clock &Time,
                                   MemoryBudget &Memory)
    : Time(Time), Memory(Memory), StartedAt(Time.now()),
      StartedAtWall(Time.wallNow()) {}

IdempotencyTable::~IdempotencyTable() {
  for (const auto &Entry : Records)
    release(Entry);
}

base::WallTime IdempotencyTable::steadyWall() const {
  return StartedAtWall + std::chrono::duration_cast<std::chrono::microseconds>(
                             Time.now() - StartedAt);
}

bool IdempotencyTable::vouchesFor(const IdempotencyKey &Key) const {
  // The wall clock may have jumped since the start. A key has to pass by both
  // readings, because either may be the wrong one.
  const base::WallTime Steady = steadyWall();
  const base::WallTime Wall = Time.wallNow();
  const base::WallTime Start =
      StartedAtWall + (std::max(Wall, Steady) - Steady);
  const base::WallTime Minted = Key.timestamp();
  // The predecessor may have run keys up to the future allowance ahead of its
  // own clock, which may be ahead of this one.
  return Minted > Start + kFutureAllowance + kClockAllowance &&
         Minted + kRecordWindow >= std::max(Wall, Steady) &&
         Minted <= std::min(Wall, Steady) + kFutureAllowance;
}

IdempotencyReply IdempotencyTable::begin(const IdempotencyBegin &Request) {
  const auto Found = Records.find(Request.Request);
  if (Found != Records.end())
    return beginKnown(Request, Found->second);
  return beginNew(Request);
}

IdempotencyReply IdempotencyTable::beginNew(const IdempotencyBegin &Request) {
  if (!vouchesFor(Request.Request.Key))
    return {Request.Attempt, IdempotencyDecision::Indeterminate, {}};
  Record *Entry = insert(Request.Request);
  if (Entry == nullptr)
    return {Request.Attempt, IdempotencyDecision::Full, {}};
  Entry->Attempt = Request.Attempt;
  Entry->Digest = Request.Digest;
  return {Request.Attempt, IdempotencyDecision::Run, {}};
}

IdempotencyReply IdempotencyTable::beginKnown(const IdempotencyBegin &Request,
                                              Record &Entry) {
  using enum IdempotencyDecision;
  const bool SameAttempt = Entry.Attempt == Request.Attempt;
  if (Entry.Phase == State::Free && SameAttempt)
    return {Request.Attempt, AttemptOver, {}};
  if (Entry.Phase == State::Free) {
    Entry.Phase = State::InProgress;
    Entry.Attempt = Request.Attempt;
    Entry.Digest = Request.Digest;
    return {Request.Attempt, Run, {}};
  }
  if (Entry.Digest != Request.Digest)
    return {Request.Attempt, OtherRequest, {}};
  if (Entry.Phase == State::InProgress)
    return {Request.Attempt, SameAttempt ? Run : InProgress, {}};
  if (Entry.Phase == State::Unknown)
    return {Request.Attempt, OutcomeUnknown, {}};
  if (!Entry.Answer)
    return {Request.Attempt, ResponseNotHeld, {}};
  return {Request.Attempt, Finished, Entry.Answer};
}

void IdempotencyTable::finish(const IdempotencyFinish &Report) {
  const auto Found = Records.find(Report.Request);
  if (Found == Records.end()) {
    finishUnknown(Report);
    return;
  }
  Record &Entry = Found->second;
  const bool Open =
      Entry.Phase == State::InProgress || Entry.Phase == State::Unknown;
  if (!Open || Entry.Attempt != Report.Attempt)
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
    keepResponse(Entry, Report.ResponseToStore);
    return;
  }
}

void IdempotencyTable::finishUnknown(const IdempotencyFinish &Report) {
  // The report has overtaken its `begin`, which would otherwise leave the key
  // in progress with nobody to end it.
  if (Report.Outcome != base::Outcome::NotRun ||
      !vouchesFor(Report.Request.Key))
    return;
  Record *Entry = insert(Report.Request);
  if (Entry == nullptr)
    return;
  Entry->Phase = State::Free;
  Entry->Attempt = Report.Attempt;
}

IdempotencyTable::Record *IdempotencyTable::insert(const RequestKey &Request) {
  if (!Memory.takeForRecord(recordBytes(Request)))
    return nullptr;
  ByMinute[minuteOf(Request.Key.timestamp())].push_back(Request);
  return &Records[Request];
}

void IdempotencyTable::keepResponse(Record &Entry,
                                    const std::optional<Response> &Answer) {
  if (!Answer || Answer->size() > kMaxStoredResponseBytes + sizeof(Response))
    return;
  if (Memory.takeForResponse(Answer->size()))
    Entry.Answer = Answer;
}

void IdempotencyTable::release(const Map::value_type &Entry) {
  if (Entry.second.Answer)
    Memory.releaseResponse(Entry.second.Answer->size());
  Memory.releaseRecord(recordBytes(Entry.first));
}

void IdempotencyTable::tick() {
  const std::int64_t Oldest = minuteOf(steadyWall() - kRecordWindow);
  while (!ByMinute.empty() && ByMinute.begin()->first < Oldest) {
    for (const RequestKey &Request : ByMinute.begin()->second) {
      const auto Found = Records.find(Request);
      release(*Found);
      Records.erase(Found);
    }
    ByMinute.erase(ByMinute.begin());
  }
}

} // namespace execution
