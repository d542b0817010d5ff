#ifndef JACKDAW_BASE_CLOCK_H
#define JACKDAW_BASE_CLOCK_H

#include <chrono>
#include <mutex>

namespace base {

/// Clock type of `BootTime`: time since boot, including time during which the
/// instance was suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
};

/// A time point on this instance's monotonic clock: time since boot.
using BootTime = BootClock::time_point;

/// A UTC wall-clock time point, for timelines and for timestamps from other
/// processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::microseconds>;

using Duration = std::chrono::nanoseconds;

/// Source of the current time. Modules that decide by time take it only from
/// here, so that tests can pause and advance it; blocking waits use real time.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time; advances also while the process is paused or the instance
  /// suspended.
  virtual BootTime now() const = 0;

  /// Wall-clock time; may jump in either direction.
  virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  BootTime now() const override;
  WallTime wallNow() const override;
};

/// A clock for tests that advances only through `advance`.
class ManualClock final : public Clock {
public:
  ManualClock();

  BootTime now() const override;
  WallTime wallNow() const override;

  /// Advances the monotonic and the wall-clock time by `Step`.
  void advance(Duration Step);

  /// Moves only the wall-clock time, forward or backward.
  void stepWall(Duration Step);

private:
  mutable std::mutex Mutex;
  BootTime Boot;
  WallTime Wall;
};

} // namespace base

#endif // JACKDAW_BASE_CLOCK_H
