#ifndef JACKDAW_BASE_CLOCK_H
#define JACKDAW_BASE_CLOCK_H

#include <chrono>
#include <mutex>

namespace base {

/// Time base of `BootTime`: time since boot, counting time during which the
/// instance was suspended.
struct BootTimeBase {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTimeBase>;
};

/// A moment on this instance's monotonic clock.
using BootTime = BootTimeBase::time_point;

/// A moment on the wall clock, UTC, for time lines and for times that other
/// processes have minted.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::microseconds>;

using Duration = std::chrono::nanoseconds;

/// The runtime's clock. Decision modules take all time from it, so that tests
/// can pause and advance it.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time; a paused or suspended process finds it advanced.
  virtual BootTime now() const = 0;

  /// Wall-clock time; it may jump.
  virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
public:
  BootTime now() const override;
  WallTime wallNow() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
  ManualClock();

  BootTime now() const override;
  WallTime wallNow() const override;

  /// Moves both times forward by `Step`.
  void advance(Duration Step);

private:
  mutable std::mutex Mutex;
  BootTime Boot;
  WallTime Wall;
};

} // namespace base

#endif // JACKDAW_BASE_CLOCK_H
