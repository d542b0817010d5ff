#ifndef JACKDAW_NODE_RATELIMITSERVICE_H
#define JACKDAW_NODE_RATELIMITSERVICE_H

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

/// Enforces the fleet-wide rate limits of workspaces: acquires permits for the
/// requests that enter at this daemon, and grants permits to other daemons from
/// the shards that this daemon owns. Safe to use from any thread.
class RateLimitService {
public:
  RateLimitService(Runtime &Shared, ControlPlane &Control);

  void setTransport(transport::PeerTransport &Peers) { Transport = &Peers; }

  /// Applies the limits of a configuration.
  void configure(const config::Configuration &Config);

  /// Acquires one permit, requesting more from shard owners if necessary, which
  /// blocks. Returns no value if the request is admitted, else the reason for
  /// its refusal.
  std::optional<base::ErrorKind> acquire(const base::ServiceName &Service,
                                         const base::WorkspaceName &Workspace);

  void onPermitRequest(transport::ConnectionId Connection,
                       const ratelimit::PermitRequest &Request);
  void onPermitGrant(const ratelimit::PermitGrant &Grant);
  void tick();

private:
  void applyLimits(const config::Configuration &Config);
  void applyChangedLimits(const config::Configuration &Config,
                          base::BootTime Now);
  ratelimit::AcquireStatus acquireOnce(std::unique_lock<std::mutex> &Lock,
                                       const base::ServiceName &Service,
                                       const base::WorkspaceName &Workspace);
  bool waitForPermit(std::unique_lock<std::mutex> &Lock,
                     const base::ServiceName &Service,
                     const base::WorkspaceName &Workspace);
  std::optional<ratelimit::PermitGrant>
  grantLocally(const ratelimit::PermitRequest &Request);
  bool sendToOwner(const ratelimit::PermitRequest &Request);
  std::optional<ratelimit::PermitGrant>
  requestFromOwner(const ratelimit::PermitRequest &Request);
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
  /// Services and fleet file of the last applied configuration, to find what
  /// has changed.
  config::Configuration::ServiceMap AppliedServices;
  std::shared_ptr<const config::FleetConfig> AppliedFleetConfig;
  std::size_t WaitingRequests = 0;
  base::BootTime NextBucketCleanup;
};

} // namespace node

#endif // JACKDAW_NODE_RATELIMITSERVICE_H
