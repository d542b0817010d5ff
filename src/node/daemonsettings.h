#ifndef JACKDAW_NODE_DAEMONSETTINGS_H
#define JACKDAW_NODE_DAEMONSETTINGS_H

#include "base/settings.h"
#include "base/types.h"

#include <chrono>
#include <string>
#include <vector>

namespace node {

/// The settings of `jackdawd`, checked.
struct DaemonSettings {
  base::InstanceId Instance;
  base::DataCentreId DataCentre;
  base::RegionId Region;
  base::ServiceName Service;
  base::PeerAddress Caller;
  base::PeerAddress Peer;
  base::PeerAddress Administration;
  std::string LogUrl;
  std::vector<base::PeerAddress> Seeds;
  std::string FleetSecret;
  std::string PreviousFleetSecret;
  std::chrono::milliseconds DrainTime{0};
  std::chrono::minutes SnapshotInterval{0};
  unsigned MaxCallerConnections = 0;
  std::size_t MaxBodyBytes = 0;
  std::string TlsCertificateFile;
  std::string TlsKeyFile;
};

/// Table of the settings of `jackdawd`.
const std::vector<base::SettingSpec> &daemonSettingsTable();

/// Takes checked values into the typed form. Adds to `Errors` what the table
/// can't check.
DaemonSettings makeDaemonSettings(const base::Settings &Values,
                                  std::vector<std::string> &Errors);

} // namespace node

#endif // JACKDAW_NODE_DAEMONSETTINGS_H
