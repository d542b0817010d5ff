#ifndef JACKDAW_RELAY_SENTATTEMPTS_H
#define JACKDAW_RELAY_SENTATTEMPTS_H

#include "base/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace relay {

/// Remembers which attempt ids were sent to the local backend server. Once an
/// id has been sent, a response that echoes it may be a late one to an earlier
/// request with that id, if it arrives on a connection that was open then.
class SentAttempts {
public:
  explicit SentAttempts(const base::Clock &Clock) : Clock(Clock) {}

  /// Records that a request with this id is being sent. Returns true if one was
  /// sent before whose deadline has not passed, or if the id is empty and so
  /// identifies no request.
  bool record(const std::string &AttemptId, base::BootTime Deadline);

  /// Removes the ids whose deadline has passed: their callers have stopped
  /// waiting, so they are not sent again. Must be called about once a second.
  void tick();

  std::size_t size() const { return Deadlines.size(); }

private:
  const base::Clock &Clock;
  std::unordered_map<std::string, base::BootTime> Deadlines;
};

} // namespace relay

#endif // JACKDAW_RELAY_SENTATTEMPTS_H
