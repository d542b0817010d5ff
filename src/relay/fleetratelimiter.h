#ifndef JACKDAW_RELAY_FLEETRATELIMITER_H
#define JACKDAW_RELAY_FLEETRATELIMITER_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "membership/membertable.h"
#include "ratelimit/dividedlimits.h"
#include "relay/messages.h"
#include "relay/ratelimiter.h"
#include "relay/structuredlog.h"
#include "transport/peertransport.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace relay {

/// Requests permits from the limit coordinator of a workspace.
struct PermitRequest {
  /// Identifies the request among those of its sender.
  std::uint64_t Number = 0;
  base::WorkspaceName Workspace;
  std::uint32_t Requested = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Number, Workspace, Requested);
  }
};

/// Reply of the limit coordinator to a `PermitRequest`.
struct PermitGrant {
  /// Number of the request.
  std::uint64_t Number = 0;
  std::uint32_t Granted = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Number, Granted); }
};

/// Returns permits of requests that have not run to the limit coordinator.
struct PermitReturn {
  base::WorkspaceName Workspace;
  std::uint32_t Count = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Workspace, Count); }
};

/// Tells a limit coordinator that its sender used another one before, which may
/// have granted permits until the sender replaced it.
struct CoordinatorNotice {
  base::WorkspaceName Workspace;
  std::uint64_t ReplacedAgoMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Workspace, ReplacedAgoMicros);
  }
};

/// Enforces the workspaces' rate limits over the whole fleet. Admits requests
/// from this daemon's own share, and requests permits from the workspace's
/// limit coordinator when the share is used up. A rendezvous hash over the
/// reachable members selects the coordinators. A daemon that does not reach a
/// majority of the fleet uses no coordinator, since the majority has one.
class FleetRateLimiter final : public RateLimiter {
public:
  /// Called with a limit coordinator that does not reply.
  using SilentListener = std::function<void(const base::ProcessId &)>;

  FleetRateLimiter(eventloop::EventLoop &Loop, base::MetricsRegistry &Metrics,
                   StructuredLog &Log, transport::PeerTransport &Peers,
                   const base::InstanceId &Self,
                   ratelimit::LimitTolerance Tolerance, bool FirstStart,
                   SilentListener OnSilent);

  void admit(const config::WorkspacePolicy &Workspace, Callback Done) override;

  void returnPermit(const base::WorkspaceName &Workspace) override;

  /// Applies the limits of a new policy.
  void setPolicy(config::FleetPolicyPtr NewPolicy);

  /// Sets the members from which the limit coordinators are selected, and the
  /// number of announced daemons.
  void setMembers(const membership::MemberTable &Members);
  void setDaemonCount(std::size_t Count);

  void onPermitRequest(transport::ConnectionId From,
                       const PermitRequest &Request);
  void onPermitGrant(const PermitGrant &Grant);
  void onPermitReturn(const PermitReturn &Returned);
  void onCoordinatorNotice(const CoordinatorNotice &Notice);

  /// Must be called about every 20 ms.
  void tick() { Limits.tick(); }

private:
  struct Member {
    base::ProcessId Process;
    base::Endpoint Peer;
  };
  /// The limit coordinator of a workspace.
  struct CoordinatorChoice {
    Member Coordinator;
    /// When it replaced another one; empty if it did not, or once it was told.
    std::optional<base::BootTime> ReplacedOtherAt;
  };
  /// Requests of one workspace that wait for permits.
  struct PendingRequest {
    std::uint64_t Number = 0;
    std::uint32_t Requested = 0;
    std::vector<Callback> Waiting;
    eventloop::TimerId Timer;
    /// The limit coordinator that the request was sent to; empty if there was
    /// none.
    base::ProcessId SentTo;
    base::BootTime SentAt;
    /// The request has already timed out at another limit coordinator.
    bool Retried = false;
  };

  void selectCoordinators();
  const Member *coordinatorOf(const base::WorkspaceName &Workspace) const;
  const config::WorkspacePolicy *
  policyOf(const base::WorkspaceName &Workspace) const;
  void requestPermits(const base::WorkspaceName &Workspace,
                      PendingRequest &Pending);
  /// Tells the coordinator of the one that it has replaced, once.
  void notifyCoordinator(const base::WorkspaceName &Workspace);
  void onTimeout(const base::WorkspaceName &Workspace);
  void completeRequest(const base::WorkspaceName &Workspace,
                       std::uint32_t Granted, RateLimitResult RefusalResult);

  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  StructuredLog &Log;
  transport::PeerTransport &Peers;
  const base::InstanceId Self;
  ratelimit::DividedLimits Limits;
  const SilentListener OnSilent;
  config::FleetPolicyPtr Policy;
  /// Reachable members, from which the limit coordinators are selected.
  std::vector<Member> Candidates;
  /// Number of announced daemons, whether reachable or not.
  std::size_t DaemonCount = 1;
  std::unordered_map<base::WorkspaceName, CoordinatorChoice> Coordinators;
  std::unordered_map<base::WorkspaceName, PendingRequest> PendingRequests;
  std::unordered_map<std::uint64_t, base::WorkspaceName> WorkspaceByRequest;
  std::uint64_t LastNumber = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_FLEETRATELIMITER_H
