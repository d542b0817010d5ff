#ifndef JACKDAW_OVERLOAD_STATEDRATELIMIT_H
#define JACKDAW_OVERLOAD_STATEDRATELIMIT_H

#include "base/clock.h"
#include "base/types.h"

#include <cstddef>
#include <optional>

namespace overload {

/// Keeps the requests to a backend server within the rate limit that the server
/// states in its responses. All requests to a server pass the daemon beside it,
/// so one token bucket there holds the limit for all callers together. The
/// bucket starts empty, so a daemon that is restarted allows no additional
/// burst.
class StatedRateLimit {
public:
  explicit StatedRateLimit(const base::Clock &Clock) : Clock(Clock) {}

  /// Applies what a response states, `std::nullopt` if it states no limit, to a
  /// request that was sent at `SentAt`. A lower limit applies at once. A higher
  /// one, or none, applies only if the request was sent after the current limit
  /// was last stated: otherwise the response may have been sent before that.
  void observe(std::optional<base::RequestRate> Stated, base::BootTime SentAt);

  /// Applies a limit that the server stated before this daemon was restarted,
  /// as reported by another daemon. Ignored after the first `observe`.
  void adopt(base::RequestRate Stated);

  /// Forgets everything, because another process of the server has started.
  void reset();

  /// The limit in force; empty if there is none.
  std::optional<base::RequestRate> rate() const { return Current; }

  /// Whether a request may be sent now.
  bool allows();

  /// Counts a request as sent.
  void consume();

  /// Time until a request may be sent if `Ahead` others are sent first; zero if
  /// there is no limit.
  base::Duration timeUntilAllowed(std::size_t Ahead);

  /// Chooses the time after which the next caller to be told should send its
  /// next request; zero if there is no limit. The callers get different times,
  /// spread at the rate of the limit, so that they neither come back all at
  /// once nor find the limit used up by each other. `Ahead` as above.
  base::Duration inviteAfter(std::size_t Ahead);

private:
  void set(base::RequestRate Stated);
  void refill();
  /// Tokens that the bucket gains per second.
  double refillRate() const;

  const base::Clock &Clock;
  std::optional<base::RequestRate> Current;
  /// When `Current` was last stated.
  base::BootTime StatedAt;
  bool Observed = false;
  double Tokens = 0;
  base::BootTime RefilledAt;
  /// Earliest time for which a caller may still be invited.
  base::BootTime NextInvitation;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_STATEDRATELIMIT_H
