#ifndef JACKDAW_RELAY_DAEMON_H
#define JACKDAW_RELAY_DAEMON_H

#include "config/fleetpolicy.h"
#include "eventloop/eventloop.h"
#include "http/asyncserver.h"
#include "platformlog/keyedstore.h"
#include "ratelimit/dividedlimits.h"
#include "relay/decisionlog.h"
#include "relay/localserverstate.h"
#include "relay/types.h"

#include <memory>
#include <string>

namespace relay {

/// Reads policies from the values that operators write.
class PolicyParser {
public:
  virtual ~PolicyParser() = default;

  /// Fails with `Internal` if the text is no valid policy.
  virtual base::Result<config::FleetPolicyContent>
  parse(const std::string &Text) const = 0;
};

struct DaemonSettings {
  base::InstanceId Instance;
  base::DataCentreId DataCentre;
  base::RegionId Region;
  /// Service of the backend server beside this daemon.
  base::ServiceName Service;
  /// Such as `http://10.0.0.7:8080`.
  std::string ServerUrl;
  /// Where other daemons reach this one, TCP and UDP.
  base::PeerAddress Peer;
  HeaderNames Headers;
  /// Stream and key that hold the newest policy.
  std::string PolicyStream;
  std::string PolicyKey;
  /// Retries at one service that all daemons together may cause in 10 s
  /// without first attempts, and per hundred first attempts.
  std::uint64_t RetryFloor = 40;
  std::uint64_t RetryPercent = 10;
  /// How far workspaces' limits may be exceeded.
  ratelimit::LimitTolerance Tolerance;
  /// The whole fleet starts for the first time, so no earlier process has used
  /// up any limit.
  bool FirstStart = true;
};

/// The daemon beside a backend server: takes requests of callers, exchanges
/// calls with the other daemons, and runs calls at its backend server. It
/// serves from when it has the fleet secret and a policy.
class Daemon {
public:
  Daemon(DaemonSettings Settings, eventloop::EventLoop &Loop,
         base::MetricsRegistry &Metrics, DecisionLog &Log,
         platformlog::KeyedStore &Store, const PolicyParser &Reader);
  ~Daemon();

  /// Reads the fleet secret from the store, or creates it there, and joins the
  /// fleet.
  void start();

  /// Takes callers' requests; answers "not run" until the daemon serves.
  http::AsyncHandler &callerHandler();

  /// Limits on callers that follow the policy are set on this server.
  void setCallerServer(http::AsyncServer &Server);

  /// A report of the backend server; it binds from now on, also before the
  /// daemon has joined the fleet.
  void onServerReport(const ServerReport &Received);

  /// The backend server of this id says that it is going.
  void onServerLeaving(const std::string &Id);

  /// Whether requests can be served and no stop has been asked for.
  bool ready() const;

  /// Leaves the fleet; requests of callers are served until `stopped`.
  void drain();

  /// Answers the requests of callers that are still open; the process is about
  /// to end.
  void failOpenRequests();

  /// Daemons that this one may send calls to, itself included.
  std::size_t reachableDaemons() const;

  /// Requests and calls that are open.
  std::size_t openWork() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace relay

#endif // JACKDAW_RELAY_DAEMON_H
