#include "node/logfollower.h"

#include "platformlog/errors.h"

namespace node {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecordsPerRead = 200;
constexpr std::chrono::milliseconds kLongPoll = 2000ms;
constexpr std::chrono::milliseconds kRetryPause = 500ms;
/// A daemon that does not follow the log still reads it this often, in case
/// gossip does not reach it.
constexpr std::chrono::milliseconds kOccasionalRead = 20000ms;
constexpr std::size_t kMaxQueuedRecords = 1000;
constexpr std::uint64_t kRecordsPerSnapshot = 500;

} // namespace

LogFollower::LogFollower(Runtime &Shared, platformlog::LogClient &ReadClient,
                         platformlog::LogClient &AppendClient,
                         FleetState &Fleet, base::Duration SnapshotInterval,
                         ReadListener OnEndReached)
    : Shared(Shared), ReadClient(ReadClient), AppendClient(AppendClient),
      Fleet(Fleet), SnapshotInterval(SnapshotInterval),
      OnEndReached(std::move(OnEndReached)), Random(std::random_device()()),
      LastContact(Shared.Time.now()), Reader([this] { readLoop(); }),
      Appender([this] { appendLoop(); }) {}

LogFollower::~LogFollower() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_all();
  Reader.join();
  Appender.join();
}

void LogFollower::setFollowing(bool New) {
  std::lock_guard Lock(Mutex);
  if (Following == New)
    return;
  Following = New;
  Shared.noteChange("log_reader", New ? "started" : "stopped");
  Wakeup.notify_all();
}

void LogFollower::requestRead() {
  std::lock_guard Lock(Mutex);
  ReadRequested = true;
  Wakeup.notify_all();
}

void LogFollower::append(std::string Record) {
  std::lock_guard Lock(Mutex);
  if (Queue.size() >= kMaxQueuedRecords)
    Queue.pop_front();
  Queue.push_back(std::move(Record));
  Wakeup.notify_all();
}

void LogFollower::readLoop() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    const bool Poll = Following;
    ReadRequested = false;
    Lock.unlock();
    const bool Good = readPage(Poll ? kLongPoll : 0ms);
    Lock.lock();
    if (Connected != Good) {
      Connected = Good;
      Shared.noteChange("platform_log", Good ? "reachable" : "unreachable");
    }
    if (!Good)
      Wakeup.wait_for(Lock, kRetryPause, [this] { return Stopping; });
    else if (!Following)
      Wakeup.wait_for(Lock, kOccasionalRead, [this] {
        return Stopping || Following || ReadRequested;
      });
  }
}

/// Reads until the end of the log; false if the log can't be read.
bool LogFollower::readPage(std::chrono::milliseconds Wait) {
  for (;;) {
    const base::BootTime SentAt = Shared.Time.now();
    const base::LogOffset Before = Fleet.applied();
    const base::LogOffset From(Before.value() + 1);
    auto Page = ReadClient.read(From, kRecordsPerRead, Wait);
    if (!Page) {
      Shared.Metrics.counter("log_read_failures_total").add();
      return false;
    }
    Fleet.apply(Page->Records);
    const base::LogOffset After = Fleet.applied();
    if (After >= Page->End) {
      LastContact = SentAt;
      OnEndReached(SentAt, Page->End);
      appendSnapshotIfDue();
      return true;
    }
    // Nothing that leads on: the log has forgotten records, and holds no
    // snapshot behind the gap. A peer may have one.
    if (After == Before) {
      Shared.Metrics.counter("log_gaps_total").add();
      return true;
    }
  }
}

/// Keeps a snapshot within the log's retention. All readers watch; each waits
/// a random time more, so that usually only one of them appends.
void LogFollower::appendSnapshotIfDue() {
  const base::BootTime Now = Shared.Time.now();
  const base::LogOffset Seen = Fleet.lastSnapshot();
  const base::LogOffset Applied = Fleet.applied();
  if (SnapshotDueAt == base::BootTime() || Seen != SnapshotSeen) {
    SnapshotSeen = Seen;
    SnapshotDueAt = Now + SnapshotInterval + jitter();
    RecordsDue = kRecordsPerSnapshot + Random() % kRecordsPerSnapshot;
  }
  const bool ManyRecords = Applied.value() - Seen.value() >= RecordsDue;
  if (!Following || (Now < SnapshotDueAt && !ManyRecords))
    return;
  SnapshotDueAt = Now + SnapshotInterval + jitter();
  RecordsDue += kRecordsPerSnapshot;
  std::string Record = Fleet.snapshotRecord();
  if (Record.size() > platformlog::kMaxRecordBytes) {
    Shared.Metrics.counter("snapshots_too_large_total").add();
    return;
  }
  Shared.noteChange("snapshot_appended",
                    std::to_string(Record.size()) + " bytes");
  append(std::move(Record));
}

base::Duration LogFollower::jitter() {
  return SnapshotInterval * static_cast<std::int64_t>(Random() % 100) / 400;
}

void LogFollower::appendLoop() {
  std::unique_lock Lock(Mutex);
  for (;;) {
    Wakeup.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    const std::string Record = Queue.front();
    Lock.unlock();
    auto Appended = AppendClient.append(Record);
    Lock.lock();
    if (Appended) {
      Queue.pop_front();
      ReadRequested = true;
      Wakeup.notify_all();
      continue;
    }
    Shared.Metrics.counter("log_append_failures_total").add();
    if (Stopping)
      return;
    Wakeup.wait_for(Lock, kRetryPause, [this] { return Stopping; });
  }
}

} // namespace node
