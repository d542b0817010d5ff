#ifndef JACKDAW_NODE_UPSTREAMSELECTOR_H
#define JACKDAW_NODE_UPSTREAMSELECTOR_H

#include "config/configuration.h"
#include "execution/calltracker.h"
#include "membership/membertable.h"
#include "node/runtime.h"
#include "routing/regionbytebudget.h"
#include "routing/router.h"
#include "routing/upstreamtable.h"

#include <mutex>
#include <optional>
#include <vector>

namespace node {

/// Chooses the upstreams of calls by locality, load and recent failures. Safe
/// to use from any thread.
class UpstreamSelector {
public:
  explicit UpstreamSelector(Runtime &Shared);

  /// Applies changed members to the upstream table.
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed);

  /// Applies the settings of the services and of the fleet.
  void configure(const config::Configuration &Config);

  /// Chooses an upstream of the service. Returns no value if none is usable.
  /// The call counts as in flight until `recordCompletion`.
  std::optional<routing::UpstreamChoice>
  choose(const base::ServiceName &Service,
         const routing::SelectionContext &Context);

  /// Must be called once for each chosen upstream. `Load` is the load reported
  /// by the response, negative if there was no report.
  void recordCompletion(const routing::UpstreamChoice &Target,
                        const execution::CallCompletion &Completion,
                        std::int32_t Load);

  /// Copies the router's counters to the metrics.
  void exportCounters();

private:
  Runtime &Shared;
  std::mutex Mutex;
  routing::UpstreamTable Table;
  routing::RegionByteBudget Bytes;
  routing::Router Router;
  /// Members present in this daemon's region, which share its byte budgets.
  std::size_t RegionMembers = 1;
};

/// Classifies the completion of a call for the failure detection of its
/// upstream.
routing::CallResult toCallResult(const execution::CallCompletion &Completion);

} // namespace node

#endif // JACKDAW_NODE_UPSTREAMSELECTOR_H
