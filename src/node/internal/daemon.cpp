#include "node/daemon.h"

#include "node/administrationservice.h"
#include "node/callclient.h"
#include "node/controlplane.h"
#include "node/entryservice.h"
#include "node/fleetstate.h"
#include "node/idempotencyservice.h"
#include "node/logfollower.h"
#include "node/peerdispatcher.h"
#include "node/servingservice.h"
#include "platformlog/httplogclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace node {

namespace {

using namespace std::chrono_literals;

constexpr auto kTickInterval = 10ms;
constexpr base::Duration kSlowTickInterval = 1s;
/// A planned stop stops waiting for open requests this long after its start.
constexpr base::Duration kOpenRequestsTimeout = 60s;
/// How long gossip repeats the state "stopped" to peers before the process
/// ends.
constexpr std::chrono::milliseconds kStoppedAnnouncementTime = 3s;
constexpr unsigned kMaxAdministrationConnections = 64;

base::Incarnation makeIncarnation(const base::Clock &Clock) {
  return base::Incarnation(
      static_cast<std::uint64_t>(Clock.wallNow().time_since_epoch().count()));
}

base::Result<std::string> readFile(const std::string &Path) {
  if (Path.empty())
    return std::string();
  std::ifstream Stream(Path);
  if (!Stream)
    return base::fail(base::ErrorKind::Internal, "can't read " + Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

membership::GossipSettings gossipSettings(const DaemonSettings &Settings,
                                          const base::ProcessId &Self,
                                          const base::Endpoint &Peer) {
  membership::GossipSettings Gossip;
  Gossip.Self.Instance = Self.Instance;
  Gossip.Self.Incarnation = Self.Incarnation;
  Gossip.Self.DataCentre = Settings.DataCentre;
  Gossip.Self.Region = Settings.Region;
  Gossip.Self.Service = Settings.Service;
  Gossip.Self.Peer = Peer;
  Gossip.Self.Administration = Settings.Administration;
  Gossip.Seeds = Settings.Seeds;
  Gossip.RandomSeed = std::random_device()();
  return Gossip;
}

platformlog::HttpLogSettings logSettings(const DaemonSettings &Settings) {
  platformlog::HttpLogSettings Log;
  Log.Url = Settings.LogUrl;
  return Log;
}

} // namespace

struct Daemon::Parts {
  Parts(const DaemonSettings &Settings, const base::Clock &Clock)
      : Settings(Settings),
        Shared(Clock, {Settings.Instance, makeIncarnation(Clock)},
               Settings.DataCentre, Settings.Region),
        Fleet(Shared), LogClient(logSettings(Settings)), Dispatcher(Shared) {}

  ~Parts() {
    Stopping = true;
    if (Ticker.joinable())
      Ticker.join();
    CallerServer.reset();
    AdministrationServer.reset();
    Follower.reset();
    Peers.reset();
  }

  base::Result<void> startPeers();
  void createServices();
  base::Result<void> startServers();
  void tickLoop();
  std::string registerBackend(const std::string &Body);
  void applyConfiguration();
  void updateBackend();

  const DaemonSettings Settings;
  Runtime Shared;
  FleetState Fleet;
  platformlog::HttpLogClient LogClient;
  PeerDispatcher Dispatcher;
  std::unique_ptr<transport::PeerTransport> Peers;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<UpstreamSelector> Selector;
  std::unique_ptr<CallClient> Calls;
  std::unique_ptr<ServingService> Serving;
  std::unique_ptr<RateLimitService> RateLimits;
  std::unique_ptr<IdempotencyService> Idempotency;
  std::unique_ptr<EntryService> Entry;
  std::unique_ptr<AdministrationService> Administration;
  std::unique_ptr<PeerServices> Services;
  std::unique_ptr<LogFollower> Follower;
  std::unique_ptr<http::Server> CallerServer;
  std::unique_ptr<http::Server> AdministrationServer;
  std::mutex BackendMutex;
  std::uint16_t BackendPort = 0;
  std::shared_ptr<const config::Configuration> BackendConfig;
  std::shared_ptr<const config::Configuration> AppliedConfig;
  base::BootTime NextSlowTick;
  std::atomic<bool> Stopping = false;
  std::thread Ticker;
};

base::Result<void> Daemon::Parts::startPeers() {
  transport::TransportSettings Transport;
  Transport.Self = Shared.Self;
  Transport.ListenAddress = Settings.Peer;
  Transport.Secret = Settings.FleetSecret;
  Transport.PreviousSecret = Settings.PreviousFleetSecret;
  BOOST_LEAF_ASSIGN(
      Peers, transport::PeerTransport::start(Transport, Shared.Clock,
                                             Shared.Metrics, Dispatcher));
  return {};
}

void Daemon::Parts::createServices() {
  Control = std::make_unique<ControlPlane>(
      Shared, Fleet, gossipSettings(Settings, Shared.Self, Peers->address()));
  Selector = std::make_unique<UpstreamSelector>(Shared);
  Calls = std::make_unique<CallClient>(Shared, *Selector);
  Serving = std::make_unique<ServingService>(Shared);
  RateLimits = std::make_unique<RateLimitService>(Shared, *Control);
  Idempotency = std::make_unique<IdempotencyService>(Shared, Fleet, *Control);
  Services = std::make_unique<PeerServices>(
      PeerServices{*Calls, *Serving, *Control, *Idempotency, *RateLimits});

  Control->setTransport(*Peers);
  Calls->setTransport(*Peers);
  Serving->setTransport(*Peers);
  Idempotency->setTransport(*Peers);
  RateLimits->setTransport(*Peers);
  Control->setMemberListener(
      [this](const membership::MemberTable &Members,
             const std::vector<base::InstanceId> &Changed) {
        Selector->applyChanges(Members, Changed);
      });
  Follower = std::make_unique<LogFollower>(
      Shared, LogClient, LogClient, Fleet, Settings.SnapshotInterval,
      [this](base::BootTime SentAt, base::LogOffset End) {
        Control->onLogEndReached(SentAt, End);
      });
  Control->setLog(*Follower);
  Entry = std::make_unique<EntryService>(
      Shared, Fleet, *Calls, *Serving, *RateLimits, *Idempotency, *Follower,
      [this](const std::string &Body) { return registerBackend(Body); });
  Administration = std::make_unique<AdministrationService>(
      Shared, Fleet, *Control, *Serving, *Calls, *Entry);
  Dispatcher.connect(*Services);
  Control->announceStart();
}

base::Result<void> Daemon::Parts::startServers() {
  http::ServerSettings CallerSettings;
  CallerSettings.Ip = Settings.Caller.Ip;
  CallerSettings.Port = Settings.Caller.Port;
  CallerSettings.MaxBodyBytes = Settings.MaxBodyBytes;
  CallerSettings.MaxConnections = Settings.MaxCallerConnections;
  BOOST_LEAF_ASSIGN(CallerSettings.TlsCertificate,
                    readFile(Settings.TlsCertificateFile));
  BOOST_LEAF_ASSIGN(CallerSettings.TlsKey, readFile(Settings.TlsKeyFile));
  BOOST_LEAF_ASSIGN(CallerServer, http::Server::start(CallerSettings, *Entry));

  http::ServerSettings AdministrationSettings;
  AdministrationSettings.Ip = Settings.Administration.Ip;
  AdministrationSettings.Port = Settings.Administration.Port;
  AdministrationSettings.MaxConnections = kMaxAdministrationConnections;
  BOOST_LEAF_ASSIGN(
      AdministrationServer,
      http::Server::start(AdministrationSettings, *Administration));
  return {};
}

void Daemon::Parts::tickLoop() {
  while (!Stopping) {
    Control->tick();
    Calls->tick();
    Serving->tick();
    Idempotency->tick();
    Entry->tick();
    RateLimits->tick();
    applyConfiguration();
    std::this_thread::sleep_for(kTickInterval);
  }
}

std::string Daemon::Parts::registerBackend(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("service") ||
      !Json["service"].is_string() || !Json.contains("port") ||
      !Json["port"].is_number_unsigned())
    return "expected an object with the text \"service\" and the number "
           "\"port\"";
  const auto Port = Json["port"].get<std::uint64_t>();
  if (Port == 0 || Port > 65535)
    return "\"port\" is not between 1 and 65535";
  if (Json["service"].get<std::string>() != Settings.Service.str())
    return "this daemon serves the service '" + Settings.Service.str() + "'";
  std::lock_guard Lock(BackendMutex);
  BackendPort = static_cast<std::uint16_t>(Port);
  BackendConfig.reset();
  return "";
}

/// Applies a changed configuration to all services, and refreshes the upstream
/// settings and metrics once a second.
void Daemon::Parts::applyConfiguration() {
  const auto Config = Fleet.configuration();
  const base::BootTime Now = Shared.Clock.now();
  const bool Changed = Config != AppliedConfig;
  if (Changed) {
    AppliedConfig = Config;
    RateLimits->configure(*Config);
    Idempotency->configure(*Config);
  }
  updateBackend();
  if (!Changed && Now < NextSlowTick)
    return;
  NextSlowTick = Now + kSlowTickInterval;
  // The byte budgets between regions depend on the current number of members,
  // so they are updated even if the configuration is unchanged.
  Selector->configure(*Config);
  Selector->exportCounters();
}

/// Passes the backend server and its configured limits to the serving service
/// once the backend server has registered, and after each change of the
/// configuration.
void Daemon::Parts::updateBackend() {
  std::lock_guard Lock(BackendMutex);
  auto Config = Fleet.configuration();
  if (BackendPort == 0 || Config == BackendConfig)
    return;
  const config::Service *Service = Config->service(Settings.Service);
  if (Service == nullptr)
    return;
  BackendConfig = std::move(Config);
  Serving->setBackend(
      {Settings.Service, BackendPort, Service->config().Backend});
  Shared.recordEvent("backend_ready", Settings.Service.str() + " port " +
                                          std::to_string(BackendPort));
}

Daemon::Daemon(std::unique_ptr<Parts> Impl) : Impl(std::move(Impl)) {}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>>
Daemon::start(const DaemonSettings &Settings) {
  static const base::SystemClock Clock;
  auto Impl = std::make_unique<Parts>(Settings, Clock);
  BOOST_LEAF_CHECK(Impl->startPeers());
  Impl->createServices();
  BOOST_LEAF_CHECK(Impl->startServers());
  Impl->Ticker = std::thread([Target = Impl.get()] { Target->tickLoop(); });
  Impl->Shared.recordEvent(
      "started",
      "incarnation " + std::to_string(Impl->Shared.Self.Incarnation.value()));
  return std::unique_ptr<Daemon>(new Daemon(std::move(Impl)));
}

DaemonPorts Daemon::ports() const {
  return {Impl->CallerServer->port(), Impl->Peers->address().Port,
          Impl->AdministrationServer->port()};
}

void Daemon::drain() {
  Parts &State = *Impl;
  State.Shared.recordEvent("draining", "planned stop");
  State.Control->announceLeaving(membership::MemberState::Draining);
  State.Entry->startDraining();
  const base::BootTime Started = State.Shared.Clock.now();
  // The server counts a request until its response is sent, which is after the
  // handler has returned.
  const auto CountOpen = [&State] {
    return State.CallerServer->openRequests() + State.Serving->openCalls();
  };
  // Callers and peers learn of the drain while this daemon still serves them.
  while (State.Shared.Clock.now() - Started < State.Settings.DrainTime)
    std::this_thread::sleep_for(kTickInterval);
  State.CallerServer->stopAccepting();
  State.Serving->startDraining();
  while (CountOpen() > 0 &&
         State.Shared.Clock.now() - Started < kOpenRequestsTimeout)
    std::this_thread::sleep_for(kTickInterval);
  State.Control->announceLeaving(membership::MemberState::Stopped);
  State.Shared.recordEvent("stopped",
                           std::to_string(CountOpen()) + " requests left open");
  // Gives gossip time to spread the last state.
  std::this_thread::sleep_for(std::min<std::chrono::milliseconds>(
      kStoppedAnnouncementTime, State.Settings.DrainTime));
}

bool Daemon::isSuperseded() const { return Impl->Control->isSuperseded(); }

} // namespace node
