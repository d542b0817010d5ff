#ifndef JACKDAW_RATELIMIT_CONTACTSAMPLER_H
#define JACKDAW_RATELIMIT_CONTACTSAMPLER_H

#include "base/clock.h"
#include "ratelimit/dividedlimits.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace ratelimit {

/// Time from the sending of a probe for which its reply counts. A limit
/// coordinator that is cut off stops granting within this time, by its own
/// clock, and its successor starts later.
inline constexpr base::Duration kContactLifetime =
    kCoordinatorDelay - std::chrono::milliseconds(100);

/// Interval of the probes, and their number each time.
inline constexpr base::Duration kContactInterval =
    std::chrono::milliseconds(150);
inline constexpr std::size_t kContactProbes = 5;

/// Tells a limit coordinator whether it is in contact with the fleet, by probes
/// to random daemons. Membership needs about a second for each daemon to find
/// out that it can't be reached, which is too long for a coordinator that goes
/// on granting beside its successor. Where the fleet is divided into larger
/// parts, membership decides which of them has the majority.
class ContactSampler {
public:
  explicit ContactSampler(const base::Clock &Clock) : Clock(Clock) {}

  /// Whether the next probes are due.
  bool due() const;

  /// Records a probe. `Number` must be larger than those before.
  void onProbeSent(std::uint64_t Number);

  /// Records the reply to a probe; late and repeated ones are ignored.
  void onReply(std::uint64_t Number);

  /// Whether enough of the recent probes were replied to. False before the
  /// first reply.
  bool inContact() const;

private:
  struct Probe {
    std::uint64_t Number = 0;
    base::BootTime SentAt;
    bool Replied = false;
  };

  const base::Clock &Clock;
  /// In the order of sending.
  std::deque<Probe> Probes;
};

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_CONTACTSAMPLER_H
