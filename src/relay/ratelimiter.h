#ifndef JACKDAW_RELAY_RATELIMITER_H
#define JACKDAW_RELAY_RATELIMITER_H

#include "config/fleetpolicy.h"

#include <cstdint>
#include <functional>

namespace relay {

enum class RateLimitResult : std::uint8_t {
  Admitted,
  /// The workspace exceeds its rate.
  RateExceeded,
  /// No limit coordinator replied in time.
  Unavailable,
};

/// Admits requests under the fleet-wide rate limits of workspaces.
class RateLimiter {
public:
  using Callback = std::function<void(RateLimitResult)>;

  virtual ~RateLimiter() = default;

  /// Requests admission of one request of the workspace. `Done` is called once,
  /// either from within this call or later.
  virtual void admit(const config::WorkspacePolicy &Workspace,
                     Callback Done) = 0;

  /// Stops counting an admitted request that has not run; it is returned as one
  /// permit to the limit coordinator, if one is known.
  virtual void returnPermit(const base::WorkspaceName &Workspace) = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_RATELIMITER_H
