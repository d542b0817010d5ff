#include "node/logfollower.h"

#include "platformlog/errors.h"

#include <algorithm>
#include <utility>

namespace node {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecordsPerRead = 200;
constexpr std::chrono::milliseconds kLongPollTimeout = 2000ms;
constexpr std::chrono::milliseconds kRetryDelay = 500ms;
/// How often a daemon that doesn't follow the log reads it, in case gossip
/// doesn't reach the daemon.
constexpr std::chrono::milliseconds kIdleReadInterval = 20000ms;
/// Maximum number of records that wait to be appended.
constexpr std::size_t kMaxQueuedRecords = 1000;
/// A snapshot is due this many records after the last one, plus a random number
/// below it, even if the snapshot interval has not passed.
constexpr std::uint64_t kRecordsPerSnapshot = 500;

} // namespace

LogFollower::LogFollower(Runtime &Shared, platformlog::LogClient &ReadClient,
                         platformlog::LogClient &AppendClient,
                         FleetState &Fleet, base::Duration SnapshotInterval,
                         ReadListener OnEndReached)
    : Shared(Shared), ReadClient(ReadClient), AppendClient(AppendClient),
      Fleet(Fleet), SnapshotInterval(SnapshotInterval),
      OnEndReached(std::move(OnEndReached)), Random(std::random_device()()),
      LastContact(Shared.Clock.now()), Reader([this] { readLoop(); }),
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
  Shared.recordEvent("log_reader", New ? "started" : "stopped");
  Wakeup.notify_all();
}

void LogFollower::requestRead() {
  std::lock_guard Lock(Mutex);
  ReadRequested = true;
  Wakeup.notify_all();
}

void LogFollower::append(std::string Record) {
  std::lock_guard Lock(Mutex);
  if (Queue.size() >= kMaxQueuedRecords) {
    Queue.pop_front();
    Shared.Metrics.counter("log_records_dropped_total").add();
  }
  Queue.push_back(std::move(Record));
  Wakeup.notify_all();
}

void LogFollower::readLoop() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    const bool LongPoll = Following;
    ReadRequested = false;
    Lock.unlock();
    const bool Succeeded = readToEnd(LongPoll ? kLongPollTimeout : 0ms);
    Lock.lock();
    if (Connected != Succeeded) {
      Connected = Succeeded;
      Shared.recordEvent("platform_log",
                         Succeeded ? "reachable" : "unreachable");
    }
    if (!Succeeded)
      Wakeup.wait_for(Lock, kRetryDelay, [this] { return Stopping; });
    else if (!Following)
      Wakeup.wait_for(Lock, kIdleReadInterval, [this] {
        return Stopping || Following || ReadRequested;
      });
  }
}

/// Reads up to the end of the log. Returns false if the log can't be read.
bool LogFollower::readToEnd(std::chrono::milliseconds Wait) {
  // Last record after a gap that was searched for a snapshot.
  base::LogOffset Searched;
  for (;;) {
    const base::BootTime SentAt = Shared.Clock.now();
    const base::LogOffset Before = Fleet.appliedOffset();
    const base::LogOffset From(std::max(Before, Searched).value() + 1);
    auto Page = ReadClient.read(From, kRecordsPerRead, Wait);
    if (!Page) {
      Shared.Metrics.counter("log_read_failures_total").add();
      return false;
    }
    if (Page->End < Before || HistoryLost) {
      reportLostHistory(Before, Page->End);
      return false;
    }
    Fleet.apply(Page->Records);
    const base::LogOffset After = Fleet.appliedOffset();
    if (After >= Page->End) {
      LastContact = SentAt;
      OnEndReached(SentAt, Page->End);
      appendSnapshotIfDue();
      return true;
    }
    if (After > Before) {
      Searched = base::LogOffset();
      continue;
    }
    if (!Page->Records.empty() && Page->Records.back().Offset < Page->End) {
      Searched = Page->Records.back().Offset;
      continue;
    }
    // The log has dropped records that this daemon needs and holds no snapshot
    // after the gap. A peer may have one.
    Shared.Metrics.counter("log_gaps_total").add();
    return true;
  }
}

/// The log has come back from an older copy. Its offsets are given out again,
/// so no record of it can be applied to the state of this process any more, and
/// reading it proves nothing about ownership. The next process starts from what
/// the log has then.
void LogFollower::reportLostHistory(base::LogOffset Applied,
                                    base::LogOffset End) {
  if (std::exchange(HistoryLost, true))
    return;
  Shared.Metrics.counter("log_history_lost_total").add();
  Shared.recordEvent("log_history_lost",
                     "the log ends at offset " + std::to_string(End.value()) +
                         ", offset " + std::to_string(Applied.value()) +
                         " was applied; restart this daemon");
}

/// Appends snapshots often enough that one is always within the log's
/// retention. All log readers check this, each with a random extra delay, so
/// that usually only one of them appends.
void LogFollower::appendSnapshotIfDue() {
  const base::BootTime Now = Shared.Clock.now();
  const base::LogOffset Seen = Fleet.lastSnapshotOffset();
  const base::LogOffset Applied = Fleet.appliedOffset();
  if (SnapshotDueAt == base::BootTime() || Seen != LastSeenSnapshot) {
    LastSeenSnapshot = Seen;
    SnapshotDueAt = Now + SnapshotInterval + jitter();
    SnapshotDueAfterRecords =
        kRecordsPerSnapshot + Random() % kRecordsPerSnapshot;
  }
  const bool ManyRecords =
      Applied.value() - Seen.value() >= SnapshotDueAfterRecords;
  if (!Following || (Now < SnapshotDueAt && !ManyRecords))
    return;
  SnapshotDueAt = Now + SnapshotInterval + jitter();
  SnapshotDueAfterRecords += kRecordsPerSnapshot;
  std::string Record = Fleet.snapshotRecord();
  if (Record.size() > platformlog::kMaxRecordBytes) {
    Shared.Metrics.counter("snapshots_too_large_total").add();
    return;
  }
  Shared.recordEvent("snapshot_appended",
                     std::to_string(Record.size()) + " bytes");
  append(std::move(Record));
}

/// Random extra delay of up to a quarter of the snapshot interval.
base::Duration LogFollower::jitter() {
  return SnapshotInterval * static_cast<std::int64_t>(Random() % 100) / 400;
}

void LogFollower::appendLoop() {
  std::unique_lock Lock(Mutex);
  for (;;) {
    Wakeup.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    const std::string Record = std::move(Queue.front());
    Queue.pop_front();
    Lock.unlock();
    const bool Done = appendUntilDone(Record);
    Lock.lock();
    if (!Done)
      return;
    ReadRequested = true;
    Wakeup.notify_all();
  }
}

/// Appends a record, again if that fails and may succeed later. Returns false
/// if the daemon stops before that.
bool LogFollower::appendUntilDone(const std::string &Record) {
  for (;;) {
    platformlog::LogError Failure;
    const bool Appended = boost::leaf::try_handle_all(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(AppendClient.append(Record));
          return true;
        },
        [&Failure](const platformlog::LogError &Reason) {
          Failure = Reason;
          return false;
        },
        [] { return false; });
    if (Appended)
      return true;
    Shared.Metrics.counter("log_append_failures_total").add();
    if (Failure.Kind == platformlog::LogErrorKind::RecordTooLarge) {
      Shared.recordEvent("log_record_dropped",
                         std::to_string(Record.size()) +
                             " bytes are too large for the log");
      return true;
    }
    std::unique_lock Lock(Mutex);
    if (Wakeup.wait_for(Lock, kRetryDelay, [this] { return Stopping; }))
      return false;
  }
}

} // namespace node
