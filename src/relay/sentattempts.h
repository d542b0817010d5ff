#ifndef JACKDAW_RELAY_SENTATTEMPTS_H
#define JACKDAW_RELAY_SENTATTEMPTS_H

#include "base/clock.h"
#include "http/asyncclient.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace relay {

/// Remembers which attempt ids were sent to the local backend server, and on
/// which connections. A response that echoes an id may be a late one to an
/// earlier request with that id, if it arrives on a connection on which that
/// one was sent.
class SentAttempts {
public:
  explicit SentAttempts(const base::Clock &Clock) : Clock(Clock) {}

  /// Records that a request with this id is being sent on the connection.
  /// Returns false if one that has not reached its deadline was sent on the
  /// same one, or on one that can't be told from it, or if the id is empty and
  /// so identifies no request.
  bool record(const std::string &AttemptId, http::ConnectionNumber Connection,
              base::BootTime Deadline);

  /// Removes the ids whose deadline has passed: their callers have stopped
  /// waiting, so they are not sent again. Must be called about once a second.
  void tick();

  std::size_t size() const { return Attempts.size(); }

private:
  struct Attempt {
    base::BootTime Deadline;
    std::vector<http::ConnectionNumber> Connections;
  };

  const base::Clock &Clock;
  std::unordered_map<std::string, Attempt> Attempts;
};

} // namespace relay

#endif // JACKDAW_RELAY_SENTATTEMPTS_H
