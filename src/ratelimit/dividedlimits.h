#ifndef JACKDAW_RATELIMIT_DIVIDEDLIMITS_H
#define JACKDAW_RATELIMIT_DIVIDEDLIMITS_H

#include "base/clock.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ratelimit {

/// How far limits may be exceeded in any window.
struct LimitTolerance {
  base::Duration Window = std::chrono::seconds(5);
  /// As a share of rate x window + burst.
  double Overage = 0;
  /// As a number of requests.
  double Slack = 0;
};

/// A limit over the whole fleet.
struct RateAndBurst {
  /// Requests per second; 0 means no limit.
  double Rate = 0;
  double Burst = 0;
};

/// Outcome of asking for one request.
enum class AdmissionResult : std::uint8_t {
  Admitted,
  /// The own share is used up; permits must come from the keeper.
  RequestPermits,
};

/// Admission of one daemon under fleet-wide limits.
///
/// A part of each limit is divided into equal shares, one for each daemon,
/// which need no message and hold in every partition. The rest is handed out as
/// permits by one daemon per workspace, the keeper, so that demand may gather
/// at few daemons. Every part is a token bucket, and a process that starts
/// later than the fleet starts with empty ones. So in any window all daemons
/// together admit at most rate x window + burst within the tolerance, as long
/// as they agree on the number of daemons and on the keeper.
class DividedLimits {
public:
  /// With `Fresh`, no earlier process can have used anything.
  DividedLimits(const base::Clock &Time, LimitTolerance Tolerance, bool Fresh);

  /// Number of daemons that have a share each.
  void setDaemonCount(std::size_t Count);

  /// Admits one request from permits of the keeper or from the own share.
  AdmissionResult tryAdmit(const base::WorkspaceName &Workspace,
                           const RateAndBurst &Limit);

  /// Permits that the keeper granted; they lapse after `kPermitLifetime`.
  void addPermits(const base::WorkspaceName &Workspace, std::uint32_t Count);

  /// As keeper: grants up to `Wanted` permits.
  std::uint32_t grant(const base::WorkspaceName &Workspace,
                      const RateAndBurst &Limit, std::uint32_t Wanted);

  /// As keeper: takes back permits of requests that have not run.
  void returnPermits(const base::WorkspaceName &Workspace,
                     const RateAndBurst &Limit, std::uint32_t Count);

  /// Whether this daemon is the keeper now. A new keeper grants nothing for
  /// `kKeeperDelay`, until its predecessor has heard of it.
  void setCoordinator(const base::WorkspaceName &Workspace, bool Keeper);

private:
  struct Bucket {
    double Tokens = 0;
    base::BootTime RefilledAt;
    bool Started = false;
  };
  struct Usage {
    Bucket Own;
    Bucket Pool;
    std::uint32_t Permits = 0;
    base::BootTime PermitsLapseAt;
    bool Keeper = false;
    base::BootTime GrantsFrom;
  };

  /// Rate and burst that together make up what a window allows. The burst is
  /// the limit's own; the tolerance goes to the rate, which serves demand that
  /// lasts.
  RateAndBurst tolerated(const RateAndBurst &Limit) const;
  /// The part of each daemon; its burst is a whole number.
  RateAndBurst ownPart(const RateAndBurst &Whole) const;
  /// What the daemons' parts leave to the keeper.
  RateAndBurst pooledPart(const RateAndBurst &Whole) const;
  void refill(Bucket &Filled, const RateAndBurst &Limit) const;

  const base::Clock &Time;
  const LimitTolerance Tolerance;
  const bool Fresh;
  const base::BootTime StartedAt;
  std::size_t Daemons = 1;
  std::unordered_map<base::WorkspaceName, Usage> Usages;
};

/// Life of a permit at the daemon that asked for it.
inline constexpr base::Duration kPermitLifetime =
    std::chrono::milliseconds(300);

/// Time in which most daemons hear of a new keeper. A keeper that stops knows
/// of it at once, and one that was cut off has no majority.
inline constexpr base::Duration kKeeperDelay = std::chrono::milliseconds(500);

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_DIVIDEDLIMITS_H
