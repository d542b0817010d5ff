#ifndef JACKDAW_RELAY_DAEMON_H
#define JACKDAW_RELAY_DAEMON_H

#include "base/memorybudget.h"
#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "http/asyncserver.h"
#include "platformlog/keyedstore.h"
#include "ratelimit/dividedlimits.h"
#include "relay/localserverstate.h"
#include "relay/structuredlog.h"
#include "relay/types.h"

#include <memory>
#include <optional>
#include <string>

namespace relay {

/// Parses the policies that operators write.
class PolicyParser {
public:
  virtual ~PolicyParser() = default;

  /// Fails with `Internal` if the text is not a valid policy.
  virtual base::Result<config::FleetPolicyContent>
  parse(const std::string &Text) const = 0;

  /// The version that a text states, also if `parse` fails; no value if it
  /// states none.
  virtual std::optional<config::PolicyVersion>
  readVersion(const std::string &Text) const = 0;
};

struct DaemonSettings {
  base::InstanceId Instance;
  base::DataCentreId DataCentre;
  base::RegionId Region;
  /// Service of the local backend server.
  base::ServiceName Service;
  /// URL of the local backend server, such as `http://10.0.0.7:8080`.
  std::string ServerUrl;
  /// Address for other daemons, TCP and UDP.
  base::Endpoint Peer;
  HeaderNames Headers;
  /// Stream and key in the store of the current policy.
  std::string PolicyStream;
  std::string PolicyKey;
  /// Retries of calls to one service that all daemons together may send within
  /// `retry::kBudgetWindow` regardless of first attempts, and additionally per
  /// hundred first attempts.
  std::uint64_t RetryFloor = 40;
  std::uint64_t RetryPercent = 10;
  /// How far the workspaces' rate limits may be exceeded.
  ratelimit::LimitTolerance Tolerance;
  /// The whole fleet starts for the first time, so no earlier process has used
  /// up any limit.
  bool FirstStart = true;
  /// Charged with the large bodies that other daemons send; must outlive the
  /// daemon. Null if memory isn't limited.
  base::MemoryBudget *Budget = nullptr;
};

/// What a daemon has in progress.
struct OpenWork {
  /// Requests of callers without a response yet.
  std::size_t Requests = 0;
  /// Calls that wait for a slot of the local backend server.
  std::size_t QueuedCalls = 0;
  /// Calls that the local backend server runs.
  std::size_t RunningCalls = 0;

  std::size_t total() const { return Requests + QueuedCalls + RunningCalls; }
};

/// The daemon beside a backend server: accepts callers' requests, exchanges
/// calls with the other daemons, and runs calls at its backend server. It
/// serves once it has the fleet secret and a policy.
class Daemon {
public:
  Daemon(DaemonSettings Settings, eventloop::EventLoop &Loop,
         base::MetricsRegistry &Metrics, StructuredLog &Log,
         platformlog::KeyedStore &Store, const PolicyParser &Parser);
  ~Daemon();

  /// Reads the fleet secret from the store, or creates it there, and then joins
  /// the fleet.
  void start();

  /// Handler of callers' requests. Refuses them as not run until the daemon
  /// serves.
  http::AsyncHandler &callerHandler();

  /// Sets the server on which the limits for callers that the policy contains
  /// are applied. Before a policy is known, the default limits apply.
  void setCallerServer(http::AsyncServer &Server);

  /// Applies a report of the local backend server, also before the daemon has
  /// joined the fleet.
  void onServerReport(const ServerReport &Received);

  /// Stops passing requests to the local backend server, which is about to shut
  /// down; ignored if `Id` is not its current incarnation.
  void onServerLeaving(const std::string &Id);

  /// Whether requests can be served and `drain` has not been called.
  bool ready() const;

  /// Announces to the fleet that this daemon is draining. Callers' requests are
  /// still served.
  void drain();

  /// Refuses requests that arrive after `From`, also those of the local backend
  /// server, as not run if their deadline is later than `LastDeadline`.
  void refuseLongRequests(base::BootTime From, base::BootTime LastDeadline);

  /// Responds to callers' open requests with an error, since the process is
  /// about to exit, and refuses further ones.
  void failOpenRequests();

  /// Number of daemons that this one may send calls to, including itself.
  std::size_t reachableDaemons() const;

  OpenWork openWork() const;

  /// Logs each call that is queued here or running at the local backend server,
  /// since the exit of the process interrupts it.
  void logInterruptedCalls() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace relay

#endif // JACKDAW_RELAY_DAEMON_H
