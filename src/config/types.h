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

/// Computes the digest of `Key` that service files list.
KeyDigest digestKey(std::string_view Key);

/// What a data centre does with the requests of a workspace while it can't
/// receive key revocations.
enum class IsolatedBehaviour : std::uint8_t { Serve, Refuse };

/// The keys and limits of one workspace in one service.
struct WorkspaceConfig {
  base::WorkspaceName Name;
  std::vector<KeyDigest> KeyDigests;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  /// Requests that may arrive at once over the whole fleet.
  double Burst = 0;
  IsolatedBehaviour Isolated = IsolatedBehaviour::Serve;
  /// Data centre that stores the idempotency records; chosen by hash if empty.
  base::DataCentreId RecordDataCentre;
};

/// Rules for the requests under one path prefix.
struct RouteConfig {
  /// Starts with a slash; matches whole path segments.
  std::string Prefix;
  /// Methods that the route applies to; all if empty.
  std::vector<std::string> Methods;
  base::PriorityClass Priority = base::PriorityClass::Normal;
  /// The request must run at most once.
  bool NonIdempotent = false;
  /// Requests need no key.
  bool OpenToAll = false;
  /// Time from entry within which the whole request must complete.
  std::chrono::milliseconds Deadline{0};
  /// Longest wait for the response of one attempt.
  std::chrono::milliseconds ResponseTimeout{0};
};

/// Capacity limits of each backend server of a service.
struct BackendConfig {
  /// Requests that it runs at the same time.
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  /// Longest wait in the daemon's queue.
  std::chrono::milliseconds MaxQueueTime{0};
  /// Time over which the share of a newly started backend server grows to its
  /// full share.
  std::chrono::seconds ColdStartRamp{0};
  /// Largest request body.
  std::uint64_t BodyLimitBytes = 0;
};

/// The contents of a service file.
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

/// The contents of `fleet.toml`.
struct FleetConfig {
  /// In file order, because the placement of limit slices depends on the order.
  std::vector<DataCentreConfig> DataCentres;
  /// Limit slices of each workspace per data centre.
  std::uint32_t SlicesPerDataCentre = 1;
  /// Retries allowed for a request at all hops together.
  std::uint32_t RetryAllowance = 3;
  /// Bytes per second that the fleet may send in one direction between two
  /// regions.
  std::uint64_t RegionBytesPerSecond = 0;
};

} // namespace config

#endif // JACKDAW_CONFIG_TYPES_H
