#ifndef JACKDAW_RELAY_FLEETRATELIMITER_H
#define JACKDAW_RELAY_FLEETRATELIMITER_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "membership/membertable.h"
#include "ratelimit/coordinatorcontact.h"
#include "ratelimit/coordinatortable.h"
#include "ratelimit/dividedlimits.h"
#include "relay/permitmessages.h"
#include "relay/ratelimiter.h"
#include "relay/structuredlog.h"
#include "transport/peertransport.h"
#include "transport/replaywindow.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace relay {

/// Enforces the workspaces' rate limits over the whole fleet. Admits requests
/// from this daemon's own share, and requests permits from the workspace's
/// limit coordinator when the share is used up. A rendezvous hash over the
/// reachable members selects the coordinators. A daemon that does not reach a
/// majority of the fleet uses no coordinator, since the majority has one.
///
/// It takes daemons seconds to learn that they reach no majority. Until then a
/// coordinator of either side of a network partition grants the permits of a
/// scarce workspace in proportion to the share of the fleet that uses it; see
/// `ratelimit::CoordinatorContact`.
///
/// Permits are exchanged in datagrams, so a daemon needs no connection to a
/// coordinator. A permit that is lost on the way, or arrives late, is lost
/// rate; a datagram that arrives twice counts once.
class FleetRateLimiter final : public RateLimiter {
public:
  /// Called with a limit coordinator that does not reply.
  using SilentListener = std::function<void(const base::ProcessId &)>;

  FleetRateLimiter(eventloop::EventLoop &Loop, base::MetricsRegistry &Metrics,
                   StructuredLog &Log, transport::PeerTransport &Peers,
                   const base::ProcessId &Self,
                   ratelimit::LimitTolerance Tolerance, bool FirstStart,
                   SilentListener OnSilent);

  void admit(const config::WorkspacePolicy &Workspace, Callback Done) override;

  void returnPermit(const base::WorkspaceName &Workspace) override;

  /// Applies the limits of a new policy.
  void setPolicy(config::FleetPolicyPtr NewPolicy);

  /// Applies the changes of these instances to the members from which the limit
  /// coordinators are selected.
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed);

  /// Sets the number of announced daemons.
  void setDaemonCount(std::size_t Count);

  /// Handles the body of a datagram for which `isPermitMessage` is true.
  void onDatagram(const base::Endpoint &From, const std::string &Body);

  /// Must be called about every 20 ms.
  void tick();

private:
  /// How often a request is sent to one coordinator before it is taken for
  /// unresponsive.
  static constexpr std::size_t kMaxSends = 2;

  /// A change of a group's limit coordinator, as seen by this daemon.
  struct CoordinatorChange {
    /// Counts the changes of the group; 0 if it has had one coordinator only.
    std::uint64_t Number = 0;
    base::BootTime At;
  };
  struct Group {
    /// The limit coordinator, also while there is no majority; empty if there
    /// has been none.
    ratelimit::CoordinatorCandidate Coordinator;
    CoordinatorChange LastChange;
    /// The coordinator that the log names, and when to log the current one;
    /// empty if it is logged.
    base::InstanceId LoggedCoordinator;
    std::optional<base::BootTime> LogAt;
    /// The workspaces of the current policy.
    std::vector<base::WorkspaceName> Workspaces;
    /// As coordinator: the daemons that use it, and when a permit was last
    /// requested.
    ratelimit::CoordinatorContact Contact;
    base::BootTime RequestedAt;
    /// Whether the last logged share of the fleet was less than all of it.
    bool LoggedDivided = false;
    base::BootTime LoggedDividedAt;
  };
  /// Requests of one workspace that wait for permits.
  struct PendingRequest {
    /// Whether a permit request is waiting for its grant.
    bool Active = false;
    /// Numbers under which the last request was sent; 0 if it wasn't. They are
    /// known until the next request, since a grant may arrive late.
    std::array<std::uint64_t, kMaxSends> Numbers{};
    std::uint32_t Requested = 0;
    std::vector<Callback> Waiting;
    eventloop::TimerId Timer;
    /// The limit coordinator that the request was sent to; empty if there was
    /// none.
    base::ProcessId SentTo;
    /// When the request was first sent to this coordinator.
    base::BootTime SentAt;
    /// How often it was sent to this coordinator.
    std::size_t Sends = 0;
    /// The request has already timed out at another limit coordinator.
    bool Retried = false;
    /// The change of coordinator that the pending request states, and the last
    /// one that a coordinator has confirmed by its grant.
    std::uint64_t StatedChange = 0;
    std::uint64_t ConfirmedChange = 0;
  };
  /// What is known of a daemon that sends permit messages.
  struct Sender {
    base::Incarnation Process;
    transport::ReplayWindow Window;
  };

  bool hasMajority() const;
  void updateMajority();
  void updateCoordinators();
  void setCoordinator(Group &Target,
                      const ratelimit::CoordinatorCandidate &Selected);
  void setWorkspaces(Group &Target, std::vector<base::WorkspaceName> Names);
  void applyOwnRole(const Group &Target);
  void logChange(Group &Target);

  /// As coordinator: updates the share of the fleet that uses this daemon, and
  /// asks some of the other daemons if it needs to know.
  void updateContact(Group &Target);
  bool hasScarceWorkspace(const Group &Target);
  void sendChecks(Group &Target);
  void logShare(Group &Target, double Share);

  Group &groupOf(const base::WorkspaceName &Workspace);
  /// The limit coordinator of a group; null if there is none or no majority.
  const ratelimit::CoordinatorCandidate *
  coordinatorOf(const Group &Target) const;
  const config::WorkspacePolicy *
  policyOf(const base::WorkspaceName &Workspace) const;

  void requestPermits(const base::WorkspaceName &Workspace,
                      PendingRequest &Pending);
  void grantOwnPermits(const base::WorkspaceName &Workspace,
                       PendingRequest &Pending);
  void sendRequest(const base::WorkspaceName &Workspace,
                   PendingRequest &Pending);
  std::uint64_t replacedAgoMicros(const Group &Target,
                                  PendingRequest &Pending) const;
  void forgetNumbers(PendingRequest &Pending);
  void onTimer(const base::WorkspaceName &Workspace);
  void onTimeout(const base::WorkspaceName &Workspace, PendingRequest &Pending);
  void requestElsewhere(const base::WorkspaceName &Workspace,
                        PendingRequest &Pending);
  void completeRequest(const base::WorkspaceName &Workspace,
                       std::uint32_t Granted, RateLimitResult RefusalResult);
  void sendReturn(const base::WorkspaceName &Workspace, std::uint32_t Count);

  bool isNew(const base::Endpoint &From, const PermitMessageId &Id);
  void onMessage(const base::Endpoint &From, const PermitRequest &Request);
  void onMessage(const base::Endpoint &From, const PermitGrant &Grant);
  void onMessage(const base::Endpoint &From, const PermitReturn &Returned);
  void onMessage(const base::Endpoint &From, const CoordinatorCheck &Check);
  void onMessage(const base::Endpoint &From,
                 const CoordinatorCheckReply &Reply);
  PermitMessageId nextId();
  void send(const base::Endpoint &To, const PermitMessage &Message);

  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  StructuredLog &Log;
  transport::PeerTransport &Peers;
  const base::ProcessId Self;
  ratelimit::DividedLimits Limits;
  const SilentListener OnSilent;
  config::FleetPolicyPtr Policy;
  ratelimit::CoordinatorTable Coordinators;
  std::array<Group, ratelimit::kLimitGroups> Groups;
  /// Addresses of the other daemons that are not known to end or to have ended,
  /// whether reachable or not.
  std::map<base::InstanceId, base::Endpoint> Others;
  base::BootTime ContactUpdatedAt;
  std::mt19937_64 Random{std::random_device{}()};
  /// Number of announced daemons, whether reachable or not.
  std::size_t DaemonCount = 1;
  bool Majority = false;
  std::unordered_map<base::WorkspaceName, PendingRequest> PendingRequests;
  std::unordered_map<std::uint64_t, base::WorkspaceName> WorkspaceByRequest;
  /// By address; one entry for each address that a daemon has had.
  std::map<base::Endpoint, Sender> Senders;
  std::uint64_t LastNumber = 0;
};

} // namespace relay

#endif // JACKDAW_RELAY_FLEETRATELIMITER_H
