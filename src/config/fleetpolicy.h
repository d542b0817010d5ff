#ifndef JACKDAW_CONFIG_FLEETPOLICY_H
#define JACKDAW_CONFIG_FLEETPOLICY_H

#include "base/clock.h"
#include "base/types.h"
#include "config/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace config {

/// Version of a fleet policy; a newer policy has a larger one.
using PolicyVersion = base::StrongNumber<struct PolicyVersionTag>;

/// One of the services among which a route distributes its requests.
struct WeightedService {
  base::ServiceName Service;
  /// Share of the requests, relative to the other weights.
  double Weight = 1;
};

/// Rules for the requests to one host under one path prefix.
struct HostRoute {
  std::string Name;
  std::string Host;
  /// Path prefix; begins and ends with a slash.
  std::string Prefix;
  /// Empty if they can't be read: the requests are known to belong to this
  /// route, but not where they may run.
  std::vector<WeightedService> Targets;
  /// The request may run more than once.
  bool Idempotent = false;
  /// Requests need no key.
  bool OpenToAll = false;
  /// Priority; 0 is the most urgent. See `priorityClassFor`.
  std::uint32_t Priority = 0;
  /// Target response time; zero means none.
  base::Duration LatencyObjective{};
  /// Longest time until the final response, including all attempts.
  base::Duration Timeout{};
  /// Largest number of backend servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
};

/// The keys and limits of one workspace in all services.
struct WorkspacePolicy {
  base::WorkspaceName Name;
  std::vector<KeyDigest> KeyDigests;
  /// Overrides the priority of the route.
  std::optional<std::uint32_t> Priority;
  /// Requests per second over the whole fleet; 0 means no limit.
  double Rate = 0;
  /// Requests that may arrive at once over the whole fleet.
  double Burst = 0;
  /// The name or the limits can't be read, so requests with these keys must not
  /// run.
  bool Unusable = false;
};

struct ServicePolicy {
  base::ServiceName Name;
  /// Connections that one backend server accepts.
  std::uint32_t MaxConnections = 0;
};

/// Limits on the connections and requests of callers.
struct CallerPolicy {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// A connection without pending requests is closed after this time without
  /// activity.
  base::Duration IdleTimeout = std::chrono::seconds(15);
  /// Time from the first byte of a request to the end of its headers.
  base::Duration HeaderTimeout = std::chrono::seconds(10);
};

/// A part of a policy's text that can't be read, and what holds in its place.
struct UnreadableEntry {
  /// Where it is in the text.
  std::string Path;
  std::string Reason;
  std::string Effect;
};

/// The contents of a fleet policy as parsed.
struct FleetPolicyContent {
  PolicyVersion Version;
  std::vector<HostRoute> Routes;
  std::vector<WorkspacePolicy> Workspaces;
  std::vector<ServicePolicy> Services;
  CallerPolicy Callers;
  std::vector<UnreadableEntry> Unreadable;
  /// Keys are missing, since workspaces or keys can't be read. A key that isn't
  /// known may be valid.
  bool KeysMissing = false;
};

/// The routes, workspaces and limits of the whole fleet as of one version, with
/// indexes for lookups. Immutable.
class FleetPolicy {
public:
  explicit FleetPolicy(FleetPolicyContent Content);

  const FleetPolicyContent &content() const { return Content; }
  PolicyVersion version() const { return Content.Version; }

  /// Whether requests need a key, except on routes that are open to all. A
  /// policy without workspaces requires none.
  bool requiresKeys() const {
    return !Content.Workspaces.empty() || Content.KeysMissing;
  }

  /// The route of `Host` whose prefix is the longest match for `Path`, or null.
  /// The port and the case of `Host` are ignored.
  const HostRoute *route(std::string_view Host, std::string_view Path) const;

  /// The workspace that holds the key with this digest, or null.
  const WorkspacePolicy *workspaceByKey(const KeyDigest &Digest) const;

  /// The workspace of this name, or null.
  const WorkspacePolicy *workspace(const base::WorkspaceName &Name) const;

private:
  FleetPolicyContent Content;
  /// Indexes into `Content.Routes` by host and prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      ByHost;
  std::unordered_map<KeyDigest, std::size_t> ByKey;
  std::unordered_map<base::WorkspaceName, std::size_t> ByName;
};

using FleetPolicyPtr = std::shared_ptr<const FleetPolicy>;

/// The priority class for a numeric priority: 0 is critical, 1 normal, all
/// others background.
base::PriorityClass priorityClassFor(std::uint32_t Priority);

} // namespace config

#endif // JACKDAW_CONFIG_FLEETPOLICY_H
