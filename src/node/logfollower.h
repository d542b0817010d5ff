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
              ReadListener OnEndReached);
  ~LogFollower();

  /// Whether to follow the log with long polls.
  void setFollowing(bool Following);

  /// Asks for one read up to the end of the log.
  void requestRead();

  /// Queues a record. A record whose append fails for certain is tried again;
  /// one with an unknown outcome is not.
  void append(std::string Record);

  /// Whether the last read succeeded.
  bool connected() const { return Connected; }

private:
  void readLoop();
  void appendLoop();
  bool readPage(std::chrono::milliseconds Wait);
  void appendSnapshotIfDue(const platformlog::ReadResult &Page);

  Runtime &Shared;
  platformlog::LogClient &ReadClient;
  platformlog::LogClient &AppendClient;
  FleetState &Fleet;
  const ReadListener OnEndReached;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  bool Following = false;
  bool ReadRequested = true;
  bool Stopping = false;
  std::deque<std::string> Queue;
  std::atomic<bool> Connected = false;
  std::thread Reader;
  std::thread Appender;
};

} // namespace node

#endif // JACKDAW_NODE_LOGFOLLOWER_H
