#ifndef JACKDAW_NODE_LOGFOLLOWER_H
#define JACKDAW_NODE_LOGFOLLOWER_H

#include "node/fleetstate.h"
#include "node/runtime.h"
#include "platformlog/logclient.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace node {

/// Reads the platform log into the fleet state and appends this daemon's
/// records, on two threads of its own. Only the log readers of a data centre
/// follow the log with long polls; the other daemons read it on request and at
/// long intervals.
class LogFollower {
public:
  /// Called after a read that reached the end of the log, with the time at
  /// which it was sent and the offset of the last record.
  using ReadListener =
      std::function<void(base::BootTime SentAt, base::LogOffset End)>;

  LogFollower(Runtime &Shared, platformlog::LogClient &ReadClient,
              platformlog::LogClient &AppendClient, FleetState &Fleet,
              base::Duration SnapshotInterval, ReadListener OnEndReached);
  ~LogFollower();

  /// Sets whether to follow the log with long polls.
  void setFollowing(bool Following);

  /// Requests one read up to the end of the log.
  void requestRead();

  /// Queues a record, dropping the oldest one in the queue if that is full.
  /// Appending is retried until the log confirms it, so the log may contain the
  /// record more than once; all kinds of record tolerate that. A record that is
  /// too large for the log is dropped.
  void append(std::string Record);

  /// Time at which the last read that reached the end of the log was sent; the
  /// time of construction before the first one.
  base::BootTime lastContact() const { return LastContact; }

private:
  void readLoop();
  void appendLoop();
  bool appendUntilDone(const std::string &Record);
  bool readToEnd(std::chrono::milliseconds Wait);
  void reportLostHistory(base::LogOffset Applied, base::LogOffset End);
  void appendSnapshotIfDue();
  base::Duration jitter();

  Runtime &Shared;
  platformlog::LogClient &ReadClient;
  platformlog::LogClient &AppendClient;
  FleetState &Fleet;
  const base::Duration SnapshotInterval;
  const ReadListener OnEndReached;
  // The next five fields are used by the reader thread only.
  /// The log has come back from an older copy.
  bool HistoryLost = false;
  base::LogOffset LastSeenSnapshot;
  base::BootTime SnapshotDueAt;
  std::uint64_t SnapshotDueAfterRecords = 0;
  std::mt19937_64 Random;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::atomic<bool> Following = false;
  bool ReadRequested = true;
  bool Stopping = false;
  std::deque<std::string> Queue;
  std::atomic<bool> Connected = false;
  std::atomic<base::BootTime> LastContact;
  std::thread Reader;
  std::thread Appender;
};

} // namespace node

#endif // JACKDAW_NODE_LOGFOLLOWER_H
