#ifndef JACKDAW_TESTS_PROCESS_FLEET_H
#define JACKDAW_TESTS_PROCESS_FLEET_H

#include "http/client.h"
#include "process/processundertest.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace process {

/// Answer to a caller, as far as the tests look at it.
struct Answer {
  http::ExchangeStatus Arrival = http::ExchangeStatus::NotSent;
  unsigned Status = 0;
  /// Values of the headers `Jackdaw-Outcome` and `Jackdaw-Error`.
  std::string Outcome;
  std::string Error;
  std::string Body;
  /// Why no whole response arrived.
  std::string Detail;

  bool whole() const { return Arrival == http::ExchangeStatus::Completed; }
};

/// Sends one request. Connections are kept only with `Client` passed in, since
/// libcurl repeats a request when a kept connection closes.
Answer send(const std::string &Url, const http::Request &Request);
Answer send(http::Client &Client, const std::string &Url,
            const http::Request &Request);

/// Body of a page, or an empty text if it can't be read.
std::string page(const std::string &Url, const std::string &Path,
                 const std::string &Query = "");

/// A directory of its own that is removed at the end.
class TemporaryDirectory {
public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory &) = delete;

  std::string write(const std::string &File, const std::string &Text) const;
  std::string str() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

/// Settings of a daemon under test.
struct DaemonPlace {
  std::string Instance;
  std::string DataCentre = "dc1";
  /// Empty for a daemon without a backend server.
  std::string Service = {};
  std::vector<std::string> Flags = {};
  /// Whether the daemons started before it are its seeds.
  bool SeedsOfFleet = false;
};

/// A daemon that can be started again at the same ports.
class DaemonUnderTest {
public:
  DaemonUnderTest(DaemonPlace Place, std::string LogUrl);

  /// Starts the program (again) and waits for its ports.
  void start();

  ProcessUnderTest &process() { return *Running; }
  std::string callerUrl() const { return urlOf(CallerPort); }
  std::string administrationUrl() const { return urlOf(AdministrationPort); }
  std::string peerAddress() const;

  /// Value of a line of `/status`; -1 if it can't be read.
  long long status(const std::string &Name) const;

  /// Whether `/members` shows that routing may use `Instance`.
  bool sees(const std::string &Instance) const;

  /// Tells the daemon where its backend server listens.
  void registerBackend(std::uint16_t Port) const;

  const DaemonPlace Place;

private:
  static std::string urlOf(std::uint16_t Port);

  const std::string LogUrl;
  std::unique_ptr<ProcessUnderTest> Running;
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t AdministrationPort = 0;
};

/// A stand-in backend server with a journal of its executions that outlives
/// the process.
class BackendUnderTest {
public:
  /// `DaemonPort` 0 registers nowhere.
  BackendUnderTest(std::string Service, std::uint16_t DaemonPort,
                   std::vector<std::string> Flags = {});

  /// Starts the program (again), at any port.
  void start();

  ProcessUnderTest &process() { return *Running; }
  std::string url() const;
  std::uint16_t port() const { return Running->port("port"); }

  /// Executions per `X-Order`, over all starts of the process.
  std::map<std::string, int> executions() const;

  void setWorkTime(std::chrono::microseconds Time) const;

private:
  const std::string Service;
  const std::uint16_t DaemonPort;
  const std::vector<std::string> Flags;
  const TemporaryDirectory Directory;
  std::unique_ptr<ProcessUnderTest> Running;
};

/// Files of a configuration by name.
using Files = std::map<std::string, std::string>;

/// Key of the workspace `gold` in `serviceFile`.
inline constexpr const char *kGoldKey = "key-of-the-gold-workspace";
/// Key of the workspace `tin`.
inline constexpr const char *kTinKey = "key-of-the-tin-workspace";

/// `fleet.toml` with the data centres dc1 and dc2.
std::string fleetFile();

/// A service with high limits and the routes `/orders` (not idempotent, with a
/// key), `/open` (not idempotent, open to all) and `/pages` (idempotent, open
/// to all). `Keys` are the workspaces with their keys.
std::string serviceFile(
    const std::map<std::string, std::string> &Keys = {{"gold", kGoldKey},
                                                      {"tin", kTinKey}},
    std::chrono::milliseconds ResponseTimeout = std::chrono::seconds(5));

/// The platform log with daemons and a publisher.
class Fleet {
public:
  Fleet();

  /// Starts a daemon; the reference stays valid.
  DaemonUnderTest &addDaemon(DaemonPlace Place);

  /// Starts a backend server at a daemon.
  BackendUnderTest &addBackend(DaemonUnderTest &Daemon,
                               std::vector<std::string> Flags = {});

  /// Publishes the files with `jackdaw-publish` and returns its exit status.
  int publish(const Files &Content) const;

  /// Publishes, and requires that every daemon adopts it.
  void configure(const Files &Content);

  /// Waits until a request to this path of `/SERVICE/...` runs.
  static bool serves(const DaemonUnderTest &Entry, const std::string &Path,
                     const std::string &Key = "");

  /// Sets faults of the log, as `outage=1`.
  void logFault(const std::string &Change) const;

  std::string logUrl() const;
  std::vector<std::unique_ptr<DaemonUnderTest>> &daemons() { return Daemons; }

private:
  ProcessUnderTest Log;
  std::vector<std::unique_ptr<DaemonUnderTest>> Daemons;
  std::vector<std::unique_ptr<BackendUnderTest>> Backends;
};

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_FLEET_H
