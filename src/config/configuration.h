#ifndef JACKDAW_CONFIG_CONFIGURATION_H
#define JACKDAW_CONFIG_CONFIGURATION_H

#include "config/types.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace config {

/// Decodes percent escapes and drops the query and the fragment. Returns no
/// value if a backend server might interpret the path differently: empty or dot
/// segments, encoded slashes, backslashes, control characters or malformed
/// escapes.
std::optional<std::string> canonicalPath(std::string_view Target);

/// The configuration of one service with indexes for lookups. Immutable.
class Service {
public:
  explicit Service(ServiceConfig Config);

  const ServiceConfig &config() const { return Config; }

  /// The workspace that holds the key with this digest, or null.
  const WorkspaceConfig *workspaceByKey(const KeyDigest &Digest) const;

  /// The workspace of this name, or null.
  const WorkspaceConfig *workspace(const base::WorkspaceName &Name) const;

  /// The route with the longest matching prefix among those for `Method`, or
  /// null. Among equal prefixes, a route that lists the method is preferred to
  /// one for all methods. `Target` is the path after the service name, with or
  /// without query; a path without a canonical form has no route.
  const RouteConfig *routeFor(std::string_view Method,
                              std::string_view Target) const;

private:
  ServiceConfig Config;
  std::unordered_map<KeyDigest, std::size_t> ByKey;
  std::unordered_map<base::WorkspaceName, std::size_t> ByName;
  /// Indexes into `Config.Routes` in order of preference.
  std::vector<std::size_t> RouteOrder;
};

/// All files of the fleet as of one version. Immutable; shared between
/// threads as `shared_ptr<const Configuration>`.
class Configuration {
public:
  using ServiceMap =
      std::unordered_map<base::ServiceName, std::shared_ptr<const Service>>;

  Configuration() = default;
  Configuration(base::LogOffset Version, ServiceMap Services,
                std::shared_ptr<const FleetConfig> Fleet);

  /// Offset of the last accepted change.
  base::LogOffset version() const { return Version; }

  /// The service, or null. The pointer is valid for the lifetime of this
  /// object.
  const Service *service(const base::ServiceName &Name) const;

  const ServiceMap &services() const { return Services; }

  /// The settings of `fleet.toml`, or a default-constructed `FleetConfig` if
  /// there is no such file.
  const FleetConfig &fleet() const { return *Fleet; }
  const std::shared_ptr<const FleetConfig> &sharedFleet() const {
    return Fleet;
  }

private:
  base::LogOffset Version;
  ServiceMap Services;
  std::shared_ptr<const FleetConfig> Fleet = std::make_shared<FleetConfig>();
};

} // namespace config

#endif // JACKDAW_CONFIG_CONFIGURATION_H
