#ifndef JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H
#define JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H

#include "eventloop/eventloop.h"
#include "platformlog/keyedstore.h"

#include <functional>
#include <random>
#include <string>

namespace platformlog {

/// Timing of the long polls of a follower.
struct PollTiming {
  /// Longest time that one read waits for records. It limits how long a silent
  /// connection can delay them.
  base::Duration MaxWait = std::chrono::milliseconds(1200);
  /// Time from the end of one read to the start of the next. If it is not zero,
  /// new records are read at once only after `StreamFollower::catchUpTo`.
  base::Duration Interval{};

  friend bool operator==(const PollTiming &, const PollTiming &) = default;
};

struct FollowerSettings {
  std::string Stream;
  PollTiming Timing;
  /// After the store came back from an older copy, the newest records are read
  /// after a random part of this time, so that a large fleet doesn't read them
  /// at once.
  base::Duration RestartSpread{};
};

/// Receives the records and the reachability of a followed stream.
class StreamListener {
public:
  virtual ~StreamListener() = default;

  /// Called for each record in offset order. If the store no longer retains the
  /// next records, only the newest record of each key is passed.
  virtual void onRecord(const KeyedRecord &Record) = 0;

  /// Called when all records up to offset `End` have been passed to `onRecord`.
  virtual void onCaughtUp(base::LogOffset End) = 0;

  /// Called when the store has come back from an older copy: records that were
  /// passed before may be missing there, and offsets are given out again. The
  /// newest records are passed next, of which most are known already.
  virtual void onHistoryReplaced() = 0;

  /// Called after the first read and whenever the store becomes unreachable or
  /// reachable again; `Detail` gives the reason why it is unreachable.
  virtual void onReachabilityChanged(bool Reachable,
                                     const std::string &Detail) = 0;
};

/// Follows one keyed stream: reads the newest record of each key, then polls
/// for further records. Failed reads are retried with exponential backoff.
///
/// If the store comes back from an older copy, the position is dropped and the
/// newest records are read again. The store's era tells; where a platform
/// states none, an end before the follower's position does.
class StreamFollower {
public:
  StreamFollower(FollowerSettings Settings, eventloop::EventLoop &Loop,
                 KeyedStore &Store, StreamListener &Listener);
  ~StreamFollower() { Loop.cancelTimer(ReadTimer); }

  StreamFollower(const StreamFollower &) = delete;
  StreamFollower &operator=(const StreamFollower &) = delete;

  void start();

  /// Starts with the newest record of each key as `Known` contains them, which
  /// have just been read from the store, and reads on from the end that it
  /// states.
  void startFrom(const KeyedPage &Known);

  /// Reads at once, on a separate connection, if records up to `Offset` have
  /// not been read yet. Called when another daemon is known to have read them.
  /// Does nothing before the first read has completed, within 200 ms of the
  /// last read that it started (more if that has not completed), and while the
  /// newest records are being read.
  void catchUpTo(base::LogOffset Offset);

  /// Reads at once without waiting for records, on a separate connection. Does
  /// nothing before the first read has completed.
  void readNow();

  /// Drops the position and every read that has not completed, since the store
  /// has come back from an older copy. Does nothing before the start.
  void restart();

  void setRestartSpread(base::Duration Spread) {
    Settings.RestartSpread = Spread;
  }

  /// Changes the timing from the next read on. If the new interval is zero, a
  /// scheduled read starts at once.
  void setPollTiming(const PollTiming &NewTiming);

  /// Offset of the last record passed to the listener.
  base::LogOffset position() const { return Position; }

private:
  void dropPosition();
  /// Starts the timer of the next read instead of the one that is running.
  void startReadTimer(base::Duration Delay, std::function<void()> Action);
  void readNewest();
  void readNext();
  void read(base::Duration Wait);
  void scheduleNextRead();
  void onNewest(std::uint64_t ReadId, base::LogOffset SentAt,
                const StoreResult &Result);
  void adoptNewest(const KeyedPage &Page);
  void deliverNewest(KeyedPage Page);
  void onRead(std::uint64_t ReadId, const StoreResult &Result);
  void deliver(const KeyedPage &Page);
  /// Schedules a failed read again: `readNewest` if `Newest`, else `readNext`.
  void retry(const StoreResult &Result, bool Newest);
  void setReachable(bool NewState, const std::string &Detail);

  FollowerSettings Settings;
  eventloop::EventLoop &Loop;
  KeyedStore &Store;
  StreamListener &Listener;
  base::LogOffset Position;
  /// Number of the latest read. Earlier reads that are still pending have been
  /// superseded.
  std::uint64_t LatestRead = 0;
  base::Duration RetryDelay;
  eventloop::TimerId ReadTimer;
  /// The read after which the next one is scheduled; 0 if none is scheduled.
  std::uint64_t ScheduledAfter = 0;
  /// Earliest time of the next read that `catchUpTo` may start.
  base::BootTime ExtraReadAllowedAt;
  base::Duration ExtraReadInterval;
  /// The last page ended before the stream did.
  bool Behind = false;
  bool Reachable = false;
  bool ReachabilityReported = false;
  /// Whether the newest record of each key has been read once.
  bool Synced = false;
  /// Reads of the newest records that have not completed.
  int NewestReads = 0;
  /// Counts restarts. Reads of before the last one are ignored.
  std::uint64_t Restarts = 0;
  /// The store didn't have the records behind the newest ones that were read
  /// last.
  bool GoneAfterNewest = false;
  /// Delay after the next such refusal.
  base::Duration GoneDelay;
  std::mt19937_64 Random{std::random_device{}()};
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H
