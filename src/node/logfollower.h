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

/// Threads that read the platform log into the fleet state and append this
/// daemon's records. Only some daemons of a data centre follow the log all the
/// time; the others read it on request.
class LogFollower {
public:
  /// Called after a read that reached the log's end: when it was sent, and the
  /// offset of the last record then.
  using ReadListener =
      std::function<void(base::BootTime SentAt, base::LogOffset End)>;

  LogFollower(Runtime &Shared, platformlog::LogClient &ReadClient,
              platformlog::LogClient &AppendClient, FleetState &Fleet,
              base::Duration SnapshotInterval, ReadListener OnEndReached);
  ~LogFollower();

  /// Whether to follow the log with long polls.
  void setFollowing(bool Following);

  /// Asks for one read up to the end of the log.
  void requestRead();

  /// Queues a record. It is appended again until the log confirms it, so it
  /// may stand in the log more than once; all kinds of record allow for that.
  void append(std::string Record);

  /// When the last successful read of the log was sent; the start of the
  /// process before the first one.
  base::BootTime lastContact() const { return LastContact; }

private:
  void readLoop();
  void appendLoop();
  bool readPage(std::chrono::milliseconds Wait);
  void appendSnapshotIfDue();
  base::Duration jitter();

  Runtime &Shared;
  platformlog::LogClient &ReadClient;
  platformlog::LogClient &AppendClient;
  FleetState &Fleet;
  const base::Duration SnapshotInterval;
  const ReadListener OnEndReached;
  /// Used by the reading thread only.
  base::LogOffset SnapshotSeen;
  base::BootTime SnapshotDueAt;
  std::uint64_t RecordsDue = 0;
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
