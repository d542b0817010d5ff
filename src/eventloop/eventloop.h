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

/// Event loop of one thread over file descriptors, timers and tasks. All
/// functions except `post` and `stop` must be called on the thread that calls
/// `run`.
class EventLoop {
public:
  /// Receives the epoll events that occurred.
  using EventHandler = std::function<void(std::uint32_t Events)>;
  using Task = std::function<void()>;

  explicit EventLoop(const base::Clock &Clock);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// The clock that the timers use.
  const base::Clock &clock() const { return Clock; }

  /// Calls `Handler` whenever one of `Events` (epoll bits) occurs on the
  /// descriptor. Replaces an earlier watch of the descriptor.
  void watch(int Descriptor, std::uint32_t Events, EventHandler Handler);

  /// Stops watching a descriptor; must be called before it is closed. Does
  /// nothing if the descriptor is not watched.
  void unwatch(int Descriptor);

  /// Runs `OnExpiry` once after `Delay`.
  TimerId startTimer(base::Duration Delay, Task OnExpiry);

  /// Cancels a timer. Does nothing if it has already run.
  void cancelTimer(TimerId Id);

  /// Queues `Work` to run on the loop's thread. May be called from any thread.
  void post(Task Work);

  /// Runs `Work` at the end of every iteration of the loop.
  void atIterationEnd(Task Work);

  /// Processes events until `stop` is called. May be called again afterwards.
  void run();

  /// Makes `run` return. May be called from any thread and from tasks.
  void stop();

private:
  struct Watch {
    /// Differs for each call of `watch`, also for the same descriptor.
    std::uint64_t Serial = 0;
    EventHandler Handler;
  };
  using TimerKey = std::pair<base::BootTime, std::uint64_t>;

  void runTimers();
  void runPostedTasks();
  int waitMilliseconds() const;

  const base::Clock &Clock;
  int Epoll = -1;
  int Wakeup = -1;
  std::uint64_t NextSerial = 1;
  std::unordered_map<int, std::shared_ptr<Watch>> Watches;
  std::map<TimerKey, Task> Timers;
  std::unordered_map<std::uint64_t, base::BootTime> TimerDeadlines;
  std::vector<Task> IterationEndTasks;
  std::mutex Mutex;
  std::vector<Task> PostedTasks;
  std::atomic<bool> Stopping = false;
};

} // namespace eventloop

#endif // JACKDAW_EVENTLOOP_EVENTLOOP_H
