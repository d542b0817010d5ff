#ifndef JACKDAW_RELAY_INTERNAL_DURATIONS_H
#define JACKDAW_RELAY_INTERNAL_DURATIONS_H

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace relay {

/// Whole milliseconds, as in headers and logs.
inline std::int64_t milliseconds(base::Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// Whole microseconds, as in messages; 0 for a negative duration.
inline std::uint64_t microseconds(base::Duration Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(Value).count()));
}

} // namespace relay

#endif // JACKDAW_RELAY_INTERNAL_DURATIONS_H
