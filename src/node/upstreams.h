#ifndef JACKDAW_NODE_UPSTREAMS_H
#define JACKDAW_NODE_UPSTREAMS_H

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

/// Chooses upstreams for calls by locality, load and recent failures. Safe to
/// use from any thread.
class Upstreams {
public:
  explicit Upstreams(Runtime &Shared);

  /// Takes over members that have changed.
  void follow(const membership::MemberTable &Members,
              const std::vector<base::InstanceId> &Changed);

  /// Takes over the services' and the fleet's settings.
  void configure(const config::Configuration &Config);

  /// An upstream of the service; nothing if none can be used. Counts the call
  /// as in flight until `finished`.
  std::optional<routing::UpstreamChoice>
  choose(const base::ServiceName &Service, const routing::CallContext &Context);

  /// Must be called once for each choice. `Load` is what the response
  /// reported, negative if there was none.
  void finished(const routing::UpstreamChoice &Target,
                const execution::CallCompletion &Verdict, std::int32_t Load);

  /// Copies the router's counters into the metrics.
  void exportCounters();

private:
  Runtime &Shared;
  std::mutex Mutex;
  routing::UpstreamTable Table;
  routing::RegionByteBudget Bytes;
  routing::Router Router;
  std::size_t RegionMembers = 1;
};

/// What the end of a call says about its upstream.
routing::CallResult callResultOf(const execution::CallCompletion &Verdict);

} // namespace node

#endif // JACKDAW_NODE_UPSTREAMS_H
