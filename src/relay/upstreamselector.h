#ifndef JACKDAW_RELAY_UPSTREAMSELECTOR_H
#define JACKDAW_RELAY_UPSTREAMSELECTOR_H

#include "membership/membertable.h"
#include "relay/callsender.h"
#include "routing/regionbytebudget.h"
#include "routing/router.h"
#include "routing/upstreamtable.h"

#include <optional>
#include <vector>

namespace relay {

/// Chooses the daemon beside whose backend server a request runs.
class UpstreamSelector {
public:
  UpstreamSelector(const base::Clock &Time, routing::Topology Place);

  /// Takes over members that have changed.
  void follow(const membership::MemberTable &Members,
              const std::vector<base::InstanceId> &Changed);

  /// A daemon of the service; nothing if none can be used. Counts the call as
  /// in flight until `finished`.
  std::optional<routing::UpstreamChoice>
  choose(const base::ServiceName &Service, const routing::CallContext &Context);

  /// Must be called once for each choice.
  void finished(const routing::UpstreamChoice &Target,
                const CallEnding &Ending);

  const routing::RouterCounters &counters() const { return Router.counters(); }

private:
  const base::Clock &Time;
  routing::UpstreamTable Table;
  routing::RegionByteBudget Bytes;
  routing::Router Router;
};

/// What the end of a call says about its target.
routing::CallResult resultOf(const execution::CallCompletion &Verdict);

} // namespace relay

#endif // JACKDAW_RELAY_UPSTREAMSELECTOR_H
