#ifndef JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H
#define JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H

#include "eventloop/eventloop.h"
#include "platformlog/keyedstore.h"

#include <functional>
#include <string>

namespace platformlog {

/// How often a follower reads.
struct FollowerPace {
  /// Longest wait of one read for news. It bounds the time for which a
  /// connection that went silent holds news back.
  base::Duration Wait = std::chrono::milliseconds(1200);
  /// Time from the end of a read to the next one. A follower that pauses
  /// relies on `StreamFollower::expect` to hear of news at once.
  base::Duration Pause{};

  friend bool operator==(const FollowerPace &, const FollowerPace &) = default;
};

struct FollowerSettings {
  std::string Stream;
  FollowerPace Pace;
};

/// What a follower learns.
class StreamListener {
public:
  virtual ~StreamListener() = default;

  /// A record in offset order. After a gap in what the store retains, only the
  /// newest record of each key.
  virtual void onRecord(const KeyedRecord &Record) = 0;

  /// All records up to `End` have been handed out.
  virtual void onCaughtUp(base::LogOffset End) = 0;

  /// The store was lost or came back; `Detail` says why it was lost.
  virtual void onStoreState(bool Reachable, const std::string &Detail) = 0;
};

/// Follows one keyed stream: reads the newest records first, then waits for
/// further ones. Failed reads are repeated with growing pauses.
class StreamFollower {
public:
  StreamFollower(FollowerSettings Settings, eventloop::EventLoop &Loop,
                 KeyedStore &Store, StreamListener &Listener);

  void start();

  /// Reads again on a connection of its own if records up to `Offset` have not
  /// been seen, because another daemon has seen them.
  void expect(base::LogOffset Offset);

  /// Takes effect from the next read on; a pause ends if there is none now.
  void setPace(const FollowerPace &New);

  base::LogOffset position() const { return Position; }

private:
  void readNewest();
  void readOn();
  void pause();
  void onNewest(std::uint64_t Round, const StoreResult &Result);
  void onRead(std::uint64_t Round, const StoreResult &Result);
  void take(const KeyedPage &Page);
  void retry(const StoreResult &Result, bool Newest);
  void setReachable(bool New, const std::string &Detail);

  FollowerSettings Settings;
  eventloop::EventLoop &Loop;
  KeyedStore &Store;
  StreamListener &Listener;
  base::LogOffset Position;
  /// Calls of earlier rounds have been overtaken.
  std::uint64_t Round = 0;
  base::Duration RetryPause;
  /// Number of the pause that lasts now; 0 for none.
  std::uint64_t Pausing = 0;
  base::BootTime ExtraReadAllowedAt;
  bool Reachable = false;
  bool EverReported = false;
  bool Synced = false;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_STREAMFOLLOWER_H
