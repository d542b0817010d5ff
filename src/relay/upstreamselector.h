#ifndef JACKDAW_RELAY_UPSTREAMSELECTOR_H
#define JACKDAW_RELAY_UPSTREAMSELECTOR_H

#include "membership/membertable.h"
#include "relay/callsender.h"
#include "relay/peerservertable.h"
#include "routing/regionbytebudget.h"
#include "routing/router.h"
#include "routing/upstreamtable.h"

#include <optional>
#include <vector>

namespace relay {

/// Chooses the upstream that runs a call.
class UpstreamSelector {
public:
  UpstreamSelector(const base::Clock &Clock, routing::Topology OwnTopology);

  /// Applies the changes of the given members.
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed);

  /// Chooses an upstream of the service; an empty optional if none can be used.
  /// The call counts as in flight until `recordCompletion`.
  std::optional<routing::UpstreamChoice>
  choose(const base::ServiceName &Service,
         const routing::SelectionContext &Context);

  /// Records the outcome of a call; must be called once for each choice.
  void recordCompletion(const routing::UpstreamChoice &Target,
                        const CallSummary &Summary);

  /// Applies what the daemon `Peer` reports of its backend server.
  void onServerNotice(const base::ProcessId &Peer, const ServerNotice &Notice);

  /// What to remind an upstream's daemon of before a call.
  std::optional<ServerReminder>
  reminderFor(const base::InstanceId &Instance) const {
    return PeerServers.reminderFor(Instance);
  }

  const routing::RouterCounters &counters() const { return Router.counters(); }

private:
  const base::Clock &Clock;
  routing::UpstreamTable Table;
  routing::RegionByteBudget ByteBudget;
  routing::Router Router;
  PeerServerTable PeerServers;
};

/// What the completion of a call says about its upstream.
routing::CallResult toCallResult(const execution::CallCompletion &Completion);

} // namespace relay

#endif // JACKDAW_RELAY_UPSTREAMSELECTOR_H
