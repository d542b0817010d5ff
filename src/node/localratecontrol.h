#ifndef JACKDAW_NODE_LOCALRATECONTROL_H
#define JACKDAW_NODE_LOCALRATECONTROL_H

#include "node/fleetstate.h"
#include "node/ratecontrol.h"
#include "node/runtime.h"

#include <map>
#include <mutex>
#include <utility>

namespace node {

/// Applies each limit at this daemon alone, as the baseline without fleet-wide
/// permits.
class LocalRateControl final : public RateControl {
public:
  LocalRateControl(Runtime &Shared, FleetState &Fleet);

  std::optional<base::ErrorKind>
  take(const base::ServiceName &Service,
       const base::WorkspaceName &Workspace) override;

private:
  struct Bucket {
    double Tokens = 0;
    base::BootTime RefilledAt;
  };

  Runtime &Shared;
  FleetState &Fleet;
  std::mutex Mutex;
  std::map<std::pair<base::ServiceName, base::WorkspaceName>, Bucket> Buckets;
};

} // namespace node

#endif // JACKDAW_NODE_LOCALRATECONTROL_H
