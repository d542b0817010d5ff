#include "base/clock.h"

#include <ctime>

namespace base {

BootTime SystemClock::now() const {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return BootTime(std::chrono::seconds(Now.tv_sec) +
                  std::chrono::nanoseconds(Now.tv_nsec));
}

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
}

// Starts well after zero so that tests can use earlier times.
ManualClock::ManualClock()
    : Boot(std::chrono::hours(1)), Wall(std::chrono::hours(24 * 365 * 50)) {}

BootTime ManualClock::now() const {
  std::lock_guard Lock(Mutex);
  return Boot;
}

WallTime ManualClock::wallNow() const {
  std::lock_guard Lock(Mutex);
  return Wall;
}

void ManualClock::stepWall(Duration Step) {
  std::lock_guard Lock(Mutex);
  Wall += std::chrono::duration_cast<WallTime::duration>(Step);
}

void ManualClock::advance(Duration Step) {
  std::lock_guard Lock(Mutex);
  Boot += Step;
  Wall += std::chrono::duration_cast<std::chrono::microseconds>(Step);
}

} // namespace base
