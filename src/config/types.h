#ifndef JACKDAW_CONFIG_TYPES_H
#define JACKDAW_CONFIG_TYPES_H

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace config {

/// BLAKE2b-256 of a workspace key as 64 lower-case hexadecimal digits.
using KeyDigest = base::StrongName<struct KeyDigestTag>;

/// The digest under which service files list `Key`.
KeyDigest digestKey(std::string_view Key);

/// What a data centre does with a workspace's requests while it can't learn of
/// revoked keys.
enum class IsolatedBehaviour : std::uint8_t { Serve, Refuse };

/// One workspace of one service.
struct WorkspaceConfig {
  base::WorkspaceName Name;
  std::vector<KeyDigest> KeyDigests;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  /// Requests that may come at once over the whole fleet.
  double Burst = 0;
  IsolatedBehaviour Isolated = IsolatedBehaviour::Serve;
  /// Data centre of the idempotency records; empty means chosen by hash.
  base::DataCentreId RecordDataCentre;
};

/// Treatment of the requests under one path prefix.
struct RouteConfig {
  /// Starts with a slash; matches whole path segments.
  std::string Prefix;
  /// Methods that the route is for; empty means all.
  std::vector<std::string> Methods;
  base::PriorityClass Priority = base::PriorityClass::Normal;
  /// The request must run at most once.
  bool NonIdempotent = false;
  /// Requests need no key.
  bool OpenToAll = false;
  std::chrono::milliseconds Deadline{0};
  /// Longest wait for the response of one attempt.
  std::chrono::milliseconds ResponseTimeout{0};
};

/// What each backend server of a service can take.
struct BackendConfig {
  /// Requests that it runs at the same time.
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  /// Longest wait in the daemon's queue.
  std::chrono::milliseconds Queue{0};
  /// Time over which a cold backend server's share grows to the full one.
  std::chrono::seconds ColdStartRamp{0};
  std::uint64_t BodyLimitBytes = 0;
};

/// One service file.
struct ServiceConfig {
  base::ServiceName Name;
  BackendConfig Backend;
  std::vector<WorkspaceConfig> Workspaces;
  std::vector<RouteConfig> Routes;
};

struct DataCentreConfig {
  base::DataCentreId Name;
  base::RegionId Region;
};

/// The file `fleet.toml`.
struct FleetConfig {
  /// In file order, which is part of the placement of limit slices.
  std::vector<DataCentreConfig> DataCentres;
  std::uint32_t SlicesPerDataCentre = 1;
  /// Retries that a whole request may cause at all hops together.
  std::uint32_t RetryAllowance = 3;
  /// Bytes per second that the fleet may send one way between two regions.
  std::uint64_t RegionBytesPerSecond = 0;
};

} // namespace config

#endif // JACKDAW_CONFIG_TYPES_H
