#ifndef JACKDAW_RATELIMIT_DIVIDEDLIMITS_H
#define JACKDAW_RATELIMIT_DIVIDEDLIMITS_H

#include "base/clock.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ratelimit {

/// By how much limits may be exceeded in any window.
struct LimitTolerance {
  base::Duration Window = std::chrono::seconds(5);
  /// As a fraction of rate x window + burst.
  double Overage = 0;
  /// As a number of requests, in addition to `Overage`.
  double Slack = 0;
};

/// A fleet-wide limit, or a part of one: a daemon's share, or what the limit
/// coordinator grants.
struct RateAndBurst {
  /// Requests per second; 0 as a fleet-wide limit means no limit.
  double Rate = 0;
  double Burst = 0;
};

/// Outcome of `DividedLimits::tryAdmit`.
enum class AdmissionResult : std::uint8_t {
  Admitted,
  /// This daemon's share is used up; a permit of the limit coordinator is
  /// needed.
  NeedsPermit,
};

/// Admits requests of one daemon under fleet-wide limits.
///
/// A part of each limit is divided into equal shares, one for each daemon. A
/// daemon uses its share without any message, also during a network partition.
/// The rest is granted as permits by one daemon per workspace, the limit
/// coordinator, so that demand may be concentrated at a few daemons. Each share
/// is a token bucket, and so is the part that a coordinator grants; both start
/// empty in a process that starts later than the fleet. So in any window, all
/// daemons together admit at most rate x window + burst within the tolerance,
/// as long as they agree on the number of daemons and on the coordinator.
///
/// A daemon uses either this class or the slices of `LimitTable`, whose permits
/// shard owners grant.
class DividedLimits {
public:
  /// `FirstStart` is set if no earlier process can have used a part of any
  /// limit, so that the buckets may start full.
  DividedLimits(const base::Clock &Clock, LimitTolerance Tolerance,
                bool FirstStart);

  /// Sets the number of daemons, each of which has a share.
  void setDaemonCount(std::size_t Count);

  /// Admits one request if a permit of the coordinator or a token of this
  /// daemon's share is left.
  AdmissionResult tryAdmit(const base::WorkspaceName &Workspace,
                           const RateAndBurst &Limit);

  /// Adds permits that the coordinator granted; they expire after
  /// `kCoordinatorPermitLifetime`.
  void addPermits(const base::WorkspaceName &Workspace, std::uint32_t Count);

  /// As coordinator: grants at most `Requested` permits and returns their
  /// number.
  std::uint32_t grant(const base::WorkspaceName &Workspace,
                      const RateAndBurst &Limit, std::uint32_t Requested);

  /// As coordinator: makes permits of requests that have not run available
  /// again.
  void returnPermits(const base::WorkspaceName &Workspace,
                     const RateAndBurst &Limit, std::uint32_t Count);

  /// Sets whether this daemon is the coordinator. A new coordinator grants no
  /// permits for `kCoordinatorDelay`, until its predecessor has learned of the
  /// change.
  void setCoordinator(const base::WorkspaceName &Workspace, bool IsCoordinator);

  /// As coordinator: sets the share of the fleet that uses this daemon, from 0
  /// to 1, in proportion to which permits become available from now on.
  void setCoordinatedShare(const base::WorkspaceName &Workspace,
                           const RateAndBurst &Limit, double Share);

  /// As coordinator: whether the workspace uses so much of its limit that the
  /// share of the fleet matters: from a refusal, or from when less than half of
  /// the burst is left, until all of it is.
  bool isScarce(const base::WorkspaceName &Workspace,
                const RateAndBurst &Limit);

  /// As coordinator: another daemon may have granted permits until `Since` ago,
  /// so only what has become available since then is left.
  void onOtherCoordinator(const base::WorkspaceName &Workspace,
                          const RateAndBurst &Limit, base::Duration Since);

  /// Must be called about every 20 ms. A longer gap means that the process was
  /// paused, and that other coordinators may have granted permits meanwhile.
  void tick();

private:
  struct Bucket {
    double Tokens = 0;
    base::BootTime RefilledAt;
    bool Initialized = false;
  };
  struct WorkspaceState {
    Bucket ShareBucket;
    Bucket CoordinatorBucket;
    std::uint32_t Permits = 0;
    base::BootTime PermitsExpireAt;
    bool IsCoordinator = false;
    base::BootTime GrantsFrom;
    double CoordinatedShare = 1;
    bool Scarce = false;
    base::BootTime ScarceAt;
  };

  /// Whether a coordinator that was chosen at this time has no predecessor that
  /// granted permits, because the fleet was starting for the first time.
  bool isFirstCoordinator(base::BootTime ChosenAt) const;
  /// Empties the coordinator's buckets if the process was paused.
  void checkForPause();
  /// Rate and burst with the tolerance included. The burst stays that of the
  /// limit; the whole tolerance is added to the rate, from which sustained
  /// demand benefits.
  RateAndBurst withTolerance(const RateAndBurst &Limit) const;
  /// The share of one daemon; its burst is a whole number. Zero if the share
  /// would be too small; the coordinator then grants the whole limit.
  RateAndBurst daemonShare(const RateAndBurst &Total) const;
  /// The part of a limit that is not divided into shares; the coordinator
  /// grants it.
  RateAndBurst coordinatorPart(const RateAndBurst &Total) const;
  void refill(Bucket &Target, const RateAndBurst &Limit) const;
  void markScarce(WorkspaceState &State) const;
  /// Refills the bucket of a coordinator and returns its limit.
  RateAndBurst refillCoordinated(WorkspaceState &State,
                                 const RateAndBurst &Limit) const;

  const base::Clock &Clock;
  const LimitTolerance Tolerance;
  const bool FirstStart;
  const base::BootTime StartedAt;
  base::BootTime LastTick;
  std::size_t DaemonCount = 1;
  std::unordered_map<base::WorkspaceName, WorkspaceState> Workspaces;
};

/// Fraction of the requests allowed by limit and tolerance that the daemons
/// together admit. The rest covers daemons that briefly disagree on the number
/// of daemons while instances start and stop, and permits that are used later
/// than they were granted.
inline constexpr double kUsableFraction = 0.96;
/// Fraction of a limit that is divided into equal shares. With a smaller
/// fraction, less of the limit is lost in shares that stay unused while others
/// are used up, but more requests wait for a permit.
inline constexpr double kDividedFraction = 0.3;
/// The smallest share of the fleet for which a coordinator may grant the whole
/// of its part: what the coordinator of the rest grants beside it is covered by
/// the fraction that isn't used.
inline constexpr double kWholeFleetShare =
    1 - (1 - kUsableFraction) / (1 - kDividedFraction);

/// Lifetime of a permit of the coordinator at the daemon that requested it.
inline constexpr base::Duration kCoordinatorPermitLifetime =
    std::chrono::milliseconds(300);

/// Time in which most daemons learn of a new coordinator. A coordinator that is
/// stopping knows of the change at once, and one that the others no longer use
/// grants in proportion to those that do.
inline constexpr base::Duration kCoordinatorDelay =
    std::chrono::milliseconds(500);

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_DIVIDEDLIMITS_H
