#ifndef JACKDAW_NODE_RATECONTROL_H
#define JACKDAW_NODE_RATECONTROL_H

#include "base/errors.h"
#include "node/controlplane.h"
#include "node/messages.h"
#include "node/replytable.h"
#include "node/runtime.h"
#include "ratelimit/limittable.h"
#include "ratelimit/permitgrantor.h"
#include "ratelimit/permitpool.h"
#include "transport/peertransport.h"

#include <memory>
#include <mutex>
#include <optional>

namespace node {

/// Applies the workspaces' fleet-wide limits: takes permits at the entry, and
/// grants them for the shards that this daemon owns. Safe to use from any
/// thread.
class RateControl {
public:
  RateControl(Runtime &Shared, ControlPlane &Control);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Takes over the limits of a configuration.
  void configure(const config::Configuration &Config);

  /// Takes one permit, asking shard owners if need be. Nothing if the request
  /// may go on, else why not.
  std::optional<base::ErrorKind> take(const base::ServiceName &Service,
                                      const base::WorkspaceName &Workspace);

  void onPermitRequest(transport::ConnectionId Connection,
                       const ratelimit::PermitRequest &Request);
  void onPermitGrant(const ratelimit::PermitGrant &Grant);
  void tick();

private:
  void adoptLimits(const config::Configuration &Config);
  void adoptChanges(const config::Configuration &Config, base::BootTime Now);
  ratelimit::AcquireStatus takeOnce(std::unique_lock<std::mutex> &Lock,
                                    const base::ServiceName &Service,
                                    const base::WorkspaceName &Workspace);
  bool waitForPermit(std::unique_lock<std::mutex> &Lock,
                     const base::ServiceName &Service,
                     const base::WorkspaceName &Workspace);
  std::optional<ratelimit::PermitGrant>
  grantLocally(const ratelimit::PermitRequest &Request);
  bool sendToOwner(const ratelimit::PermitRequest &Request);
  std::optional<ratelimit::PermitGrant>
  ask(const ratelimit::PermitRequest &Request);
  base::ErrorKind refuse(base::ErrorKind Kind);

  Runtime &Shared;
  ControlPlane &Control;
  transport::PeerTransport *Transport = nullptr;
  ReplyTable<std::uint64_t, ratelimit::PermitGrant> Replies;
  std::mutex Mutex;
  ratelimit::LimitTable Limits;
  ratelimit::PermitGrantor Grantor;
  std::unique_ptr<ratelimit::PermitPool> Pool;
  std::vector<base::DataCentreId> PoolOrder;
  /// Services whose limits have been adopted, to find what has changed.
  config::Configuration::ServiceMap Adopted;
  std::shared_ptr<const config::FleetConfig> AdoptedFleet;
  std::size_t Sleepers = 0;
  base::BootTime NextCollect;
};

} // namespace node

#endif // JACKDAW_NODE_RATECONTROL_H
