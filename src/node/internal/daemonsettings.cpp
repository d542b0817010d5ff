#include "node/daemonsettings.h"

#include "base/address.h"

#include <sstream>

namespace node {

namespace {

using base::SettingSpec;
using base::SettingType;

constexpr std::int64_t kMaxPort = 65535;
/// Names must fit into gossip datagrams; see `membership::kMaxNameBytes`.
constexpr std::size_t kMaxNameBytes = 63;

SettingSpec text(const char *Name, const char *Default, bool Required,
                 const char *Help) {
  return {Name, SettingType::Text, "", Default, 0, 0, Required, false, Help};
}

SettingSpec number(const char *Name, const char *Unit, const char *Default,
                   std::int64_t Lowest, std::int64_t Highest,
                   const char *Help) {
  return {
      Name, SettingType::Number, Unit, Default, Lowest, Highest, false, false,
      Help};
}

SettingSpec secret(const char *Name, bool Required, const char *Help) {
  return {Name, SettingType::Text, "", "", 0, 0, Required, true, Help};
}

std::vector<base::Endpoint> parseSeeds(const std::string &Text,
                                       std::vector<std::string> &Errors) {
  std::vector<base::Endpoint> Seeds;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');) {
    if (const auto Address = base::parseEndpoint(Part))
      Seeds.push_back(*Address);
    else
      Errors.push_back("--seeds: '" + Part +
                       "' is not an IPv4 address and port, as in "
                       "10.0.0.7:7100");
  }
  return Seeds;
}

void checkName(const base::Settings &Values, const char *Name,
               std::vector<std::string> &Errors) {
  if (Values.text(Name).size() > kMaxNameBytes)
    Errors.push_back("--" + std::string(Name) + ": longer than " +
                     std::to_string(kMaxNameBytes) + " bytes");
}

base::Endpoint addressOf(const base::Settings &Values,
                         const std::string &Prefix,
                         std::vector<std::string> &Errors) {
  const std::string &Ip = Values.text(Prefix + "-ip");
  if (!base::isIpv4Address(Ip))
    Errors.push_back("--" + Prefix + "-ip: '" + Ip +
                     "' is not an IPv4 address");
  return {Ip, static_cast<std::uint16_t>(Values.number(Prefix + "-port"))};
}

} // namespace

const std::vector<SettingSpec> &daemonSettingsTable() {
  static const std::vector<SettingSpec> Table{
      text("instance", "", true, "unique name of this instance"),
      text("data-centre", "", true, "data centre of this instance"),
      text("region", "", true, "region of this instance"),
      text("service", "", false,
           "service of the local backend server; empty if there is none"),
      text("caller-ip", "127.0.0.1", false, "address for callers"),
      number("caller-port", "", "0", 0, kMaxPort,
             "port for callers, 0 for any"),
      text("peer-ip", "127.0.0.1", false, "address for other daemons"),
      number("peer-port", "", "0", 0, kMaxPort,
             "TCP and UDP port for other daemons, 0 for any"),
      text("administration-ip", "127.0.0.1", false,
           "address of the administration API"),
      number("administration-port", "", "0", 0, kMaxPort,
             "port of the administration API, 0 for any"),
      text("log-url", "", true,
           "URL of the platform log, as in http://10.0.0.1:8080"),
      text("seeds", "", false,
           "comma-separated peers to join through when the log is down"),
      secret("fleet-secret", true, "secret that all daemons share"),
      secret("fleet-secret-previous", false,
             "secret before the last rotation, still accepted"),
      number("drain-ms", "ms", "5000", 0, 600000,
             "time for open connections to move away on a planned stop"),
      number("snapshot-minutes", "min", "60", 1, 10080,
             "longest time between snapshots in the log; keep it well below "
             "the log's retention"),
      number("max-caller-connections", "", "1000", 1, 100000,
             "open connections from callers"),
      number("max-body-bytes", "B", "1048576", 1, 16777216,
             "largest request body; service files may set less"),
      text("tls-certificate", "", false,
           "PEM file; turns on TLS towards callers"),
      text("tls-key", "", false, "PEM file with the certificate's key"),
  };
  return Table;
}

DaemonSettings makeDaemonSettings(const base::Settings &Values,
                                  std::vector<std::string> &Errors) {
  DaemonSettings Result;
  for (const char *Name : {"instance", "data-centre", "region", "service"})
    checkName(Values, Name, Errors);
  Result.Instance = base::InstanceId(Values.text("instance"));
  Result.DataCentre = base::DataCentreId(Values.text("data-centre"));
  Result.Region = base::RegionId(Values.text("region"));
  Result.Service = base::ServiceName(Values.text("service"));
  Result.Caller = addressOf(Values, "caller", Errors);
  Result.Peer = addressOf(Values, "peer", Errors);
  Result.Administration = addressOf(Values, "administration", Errors);
  Result.LogUrl = Values.text("log-url");
  if (!Result.LogUrl.starts_with("http://") &&
      !Result.LogUrl.starts_with("https://"))
    Errors.push_back("--log-url: '" + Result.LogUrl +
                     "' is not an http or https URL");
  Result.Seeds = parseSeeds(Values.text("seeds"), Errors);
  Result.FleetSecret = Values.text("fleet-secret");
  Result.PreviousFleetSecret = Values.text("fleet-secret-previous");
  Result.DrainTime = std::chrono::milliseconds(Values.number("drain-ms"));
  Result.SnapshotInterval =
      std::chrono::minutes(Values.number("snapshot-minutes"));
  Result.MaxCallerConnections =
      static_cast<unsigned>(Values.number("max-caller-connections"));
  Result.MaxBodyBytes =
      static_cast<std::size_t>(Values.number("max-body-bytes"));
  Result.TlsCertificateFile = Values.text("tls-certificate");
  Result.TlsKeyFile = Values.text("tls-key");
  if (Result.TlsCertificateFile.empty() != Result.TlsKeyFile.empty())
    Errors.push_back("--tls-certificate and --tls-key must be set together");
  return Result;
}

} // namespace node
