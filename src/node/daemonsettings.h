#ifndef JACKDAW_NODE_DAEMONSETTINGS_H
#define JACKDAW_NODE_DAEMONSETTINGS_H

#include "base/settings.h"
#include "base/types.h"

#include <chrono>
#include <string>
#include <vector>

namespace node {

/// Validated settings of `jackdawd`.
struct DaemonSettings {
  base::InstanceId Instance;
  base::DataCentreId DataCentre;
  base::RegionId Region;
  base::ServiceName Service;
  base::Endpoint Caller;
  base::Endpoint Peer;
  base::Endpoint Administration;
  std::string LogUrl;
  std::vector<base::Endpoint> Seeds;
  std::string FleetSecret;
  std::string PreviousFleetSecret;
  /// How long a draining daemon still accepts connections.
  std::chrono::milliseconds DrainTime{0};
  std::chrono::minutes SnapshotInterval{0};
  unsigned MaxCallerConnections = 0;
  std::size_t MaxBodyBytes = 0;
  std::string TlsCertificateFile;
  std::string TlsKeyFile;
};

/// Names, types, ranges and defaults of the settings of `jackdawd`.
const std::vector<base::SettingSpec> &daemonSettingsTable();

/// Converts values that match the table to `DaemonSettings`. Adds problems that
/// the table can't express to `Errors`.
DaemonSettings makeDaemonSettings(const base::Settings &Values,
                                  std::vector<std::string> &Errors);

} // namespace node

#endif // JACKDAW_NODE_DAEMONSETTINGS_H
