#ifndef JACKDAW_EVENTLOOP_EVENTLOOP_H
#define JACKDAW_EVENTLOOP_EVENTLOOP_H

#include "base/clock.h"
#include "base/types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eventloop {

using TimerId = base::StrongNumber<struct TimerTag>;

/// One thread's loop over descriptors, timers and tasks. Everything but `post`
/// and `stop` belongs to the thread that calls `run`.
class EventLoop {
public:
  /// Gets the epoll events that occurred.
  using Watcher = std::function<void(std::uint32_t Events)>;
  using Task = std::function<void()>;

  explicit EventLoop(const base::Clock &Time);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  const base::Clock &clock() const { return Time; }

  /// Calls `Ready` whenever one of `Events` (epoll bits) occurs. Replaces an
  /// earlier watch of the descriptor.
  void watch(int Descriptor, std::uint32_t Events, Watcher Ready);

  /// Must be called before the descriptor is closed.
  void unwatch(int Descriptor);

  /// Runs `Due` once after `Delay`.
  TimerId startTimer(base::Duration Delay, Task Due);

  /// Does nothing for a timer that has run.
  void cancelTimer(TimerId Id);

  /// Runs `Work` on the loop's thread soon. Safe from any thread.
  void post(Task Work);

  /// Runs `Work` at the end of each turn of the loop.
  void atTurnEnd(Task Work);

  /// Serves until `stop`; may be called again.
  void run();

  /// Safe from any thread and from tasks.
  void stop();

private:
  struct Watched {
    std::uint64_t Serial = 0;
    Watcher Ready;
  };
  using TimerKey = std::pair<base::BootTime, std::uint64_t>;

  void runTimers();
  void runPosted();
  int waitMilliseconds() const;

  const base::Clock &Time;
  int Epoll = -1;
  int Wakeup = -1;
  std::uint64_t NextSerial = 1;
  std::unordered_map<int, std::shared_ptr<Watched>> Watches;
  std::map<TimerKey, Task> Timers;
  std::unordered_map<std::uint64_t, base::BootTime> TimerTimes;
  std::vector<Task> TurnEnd;
  std::mutex Mutex;
  std::vector<Task> Posted;
  std::atomic<bool> Stopping = false;
};

} // namespace eventloop

#endif // JACKDAW_EVENTLOOP_EVENTLOOP_H
