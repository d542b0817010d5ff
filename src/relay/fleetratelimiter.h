#ifndef JACKDAW_RELAY_FLEETRATELIMITER_H
#define JACKDAW_RELAY_FLEETRATELIMITER_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "membership/membertable.h"
#include "ratelimit/dividedlimits.h"
#include "relay/decisionlog.h"
#include "relay/messages.h"
#include "relay/ratelimiter.h"
#include "transport/peertransport.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace relay {

/// Asks the keeper of a workspace's limit for permits.
struct PermitRequest {
  std::uint64_t Number = 0;
  base::WorkspaceName Workspace;
  std::uint32_t Wanted = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Number, Workspace, Wanted);
  }
};

struct PermitGrant {
  std::uint64_t Number = 0;
  std::uint32_t Granted = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Number, Granted); }
};

/// Returns permits of requests that have not run to the keeper.
struct PermitReturn {
  base::WorkspaceName Workspace;
  std::uint32_t Count = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Workspace, Count); }
};

/// Holds the workspaces' limits over the whole fleet. Admits from this daemon's
/// own share, and asks the keeper of the workspace's limit when that is used
/// up; a rendezvous hash over the members chooses the keepers. Daemons that
/// reach no majority of the fleet have no keeper, since the others have one.
class FleetRateLimiter final : public RateLimiter {
public:
  /// Told of a keeper that does not answer.
  using SilenceListener = std::function<void(const base::ProcessId &)>;

  FleetRateLimiter(eventloop::EventLoop &Loop, base::MetricsRegistry &Metrics,
                   DecisionLog &Log, transport::PeerTransport &Peers,
                   const base::InstanceId &Self,
                   ratelimit::LimitTolerance Tolerance, bool Fresh,
                   SilenceListener OnSilence);

  void admit(const config::WorkspacePolicy &Workspace, Callback Done) override;

  void giveBack(const base::WorkspaceName &Workspace) override;

  /// Takes over the limits of the policy in force.
  void adopt(config::FleetPolicyPtr New);

  /// Takes over the members that may be keepers, and the number of daemons.
  void follow(const membership::MemberTable &Members);
  void setDaemons(std::size_t Count);

  void onPermitRequest(transport::ConnectionId From,
                       const PermitRequest &Request);
  void onPermitGrant(const PermitGrant &Grant);
  void onPermitReturn(const PermitReturn &Returned);

private:
  struct Member {
    base::ProcessId Process;
    base::PeerAddress Peer;
  };
  /// Requests of one workspace that wait for permits.
  struct Asking {
    std::uint64_t Number = 0;
    std::uint32_t Wanted = 0;
    std::vector<Callback> Waiting;
    eventloop::TimerId Timer;
    /// The keeper that was asked, if there was one.
    base::ProcessId Asked;
    base::BootTime AskedAt;
    /// An earlier keeper has not answered these requests.
    bool Repeated = false;
  };

  void chooseKeepers();
  const Member *keeperOf(const base::WorkspaceName &Workspace) const;
  const config::WorkspacePolicy *
  policyOf(const base::WorkspaceName &Workspace) const;
  void ask(const base::WorkspaceName &Workspace, Asking &Current);
  void onTimeout(const base::WorkspaceName &Workspace);
  void settle(const base::WorkspaceName &Workspace, std::uint32_t Granted,
              RateLimitResult Otherwise);

  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  DecisionLog &Log;
  transport::PeerTransport &Peers;
  const base::InstanceId Self;
  ratelimit::DividedLimits Limits;
  const SilenceListener OnSilence;
  config::FleetPolicyPtr Policy;
  std::vector<Member> Candidates;
  /// Daemons that are announced, whether reachable or not.
  std::size_t Announced = 1;
  std::unordered_map<base::WorkspaceName, Member> Keepers;
  std::unordered_map<base::WorkspaceName, Asking> Asks;
  std::unordered_map<std::uint64_t, base::WorkspaceName> ByNumber;
  std::uint64_t LastNumber = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_FLEETRATELIMITER_H
