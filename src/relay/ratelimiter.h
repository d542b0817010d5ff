#ifndef JACKDAW_RELAY_RATELIMITER_H
#define JACKDAW_RELAY_RATELIMITER_H

#include "config/fleetpolicy.h"

#include <cstdint>
#include <functional>

namespace relay {

enum class RateLimitResult : std::uint8_t {
  Admitted,
  /// The workspace is over its rate.
  RateExceeded,
  /// Nobody who could tell was reached in time.
  Unavailable,
};

/// Admits requests under fleet-wide limits.
class RateLimiter {
public:
  using Callback = std::function<void(RateLimitResult)>;

  virtual ~RateLimiter() = default;

  /// Takes one request of the workspace. `Done` is called once, from within
  /// this call or later.
  virtual void admit(const config::WorkspacePolicy &Workspace,
                     Callback Done) = 0;

  /// A request that was admitted has not run and does not count.
  virtual void giveBack(const base::WorkspaceName &Workspace) = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_RATELIMITER_H
