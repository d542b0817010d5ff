#include "node/daemon.h"

#include "node/administrationservice.h"
#include "node/callclient.h"
#include "node/controlplane.h"
#include "node/entryservice.h"
#include "node/fleetstate.h"
#include "node/idempotencyclient.h"
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
/// Longest time that a planned stop waits for open requests.
constexpr base::Duration kDrainLimit = 60s;
/// Time for which the state "stopped" is repeated to peers.
constexpr std::chrono::milliseconds kFarewellTime = 3s;
constexpr unsigned kMaxAdministrationConnections = 64;

base::Incarnation makeIncarnation(const base::Clock &Time) {
  return base::Incarnation(
      static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count()));
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
                                          const base::PeerAddress &Peer) {
  membership::GossipSettings Gossip;
  Gossip.Self.Instance = Self.Instance;
  Gossip.Self.Epoch = Self.Epoch;
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
  Parts(const DaemonSettings &Settings, const base::Clock &Time)
      : Settings(Settings),
        Shared(Time, {Settings.Instance, makeIncarnation(Time)},
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
  void adoptConfiguration();
  void refreshBackendLimits();

  const DaemonSettings Settings;
  Runtime Shared;
  FleetState Fleet;
  platformlog::HttpLogClient LogClient;
  PeerDispatcher Dispatcher;
  std::unique_ptr<transport::PeerTransport> Peers;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<Upstreams> Choice;
  std::unique_ptr<CallClient> Calls;
  std::unique_ptr<ServingService> Serving;
  std::unique_ptr<RateControl> Rates;
  std::unique_ptr<IdempotencyClient> Idempotency;
  std::unique_ptr<EntryService> Entry;
  std::unique_ptr<AdministrationService> Administration;
  std::unique_ptr<PeerServices> Services;
  std::unique_ptr<LogFollower> Follower;
  std::unique_ptr<http::Server> CallerServer;
  std::unique_ptr<http::Server> AdministrationServer;
  std::mutex BackendMutex;
  std::uint16_t BackendPort = 0;
  std::shared_ptr<const config::Configuration> BackendConfig;
  std::shared_ptr<const config::Configuration> AdoptedConfig;
  base::BootTime NextSlowTick;
  std::atomic<bool> Stopping = false;
  std::thread Ticker;
};

base::Result<void> Daemon::Parts::startPeers() {
  transport::TransportSettings Transport;
  Transport.Self = Shared.Self;
  Transport.Listen = Settings.Peer;
  Transport.Secret = Settings.FleetSecret;
  Transport.PreviousSecret = Settings.PreviousFleetSecret;
  BOOST_LEAF_ASSIGN(
      Peers, transport::PeerTransport::start(Transport, Shared.Time,
                                             Shared.Metrics, Dispatcher));
  return {};
}

void Daemon::Parts::createServices() {
  Control = std::make_unique<ControlPlane>(
      Shared, Fleet, gossipSettings(Settings, Shared.Self, Peers->address()));
  Choice = std::make_unique<Upstreams>(Shared);
  Calls = std::make_unique<CallClient>(Shared, *Choice);
  Serving = std::make_unique<ServingService>(Shared);
  Rates = std::make_unique<RateControl>(Shared, *Control);
  Idempotency = std::make_unique<IdempotencyClient>(Shared, Fleet, *Control);
  Services = std::make_unique<PeerServices>(
      PeerServices{*Calls, *Serving, *Control, *Idempotency, *Rates});

  Control->setTransport(*Peers);
  Calls->setTransport(*Peers);
  Serving->setTransport(*Peers);
  Idempotency->setTransport(*Peers);
  Rates->setTransport(*Peers);
  Control->setMemberListener(
      [this](const membership::MemberTable &Members,
             const std::vector<base::InstanceId> &Changed) {
        Choice->follow(Members, Changed);
      });
  Follower = std::make_unique<LogFollower>(
      Shared, LogClient, LogClient, Fleet, Settings.SnapshotInterval,
      [this](base::BootTime SentAt, base::LogOffset End) {
        Control->onLogEndReached(SentAt, End);
      });
  Control->setLog(*Follower);
  Entry = std::make_unique<EntryService>(
      Shared, Fleet, *Calls, *Serving, *Rates, *Idempotency, *Follower,
      [this](const std::string &Body) { return registerBackend(Body); });
  Administration = std::make_unique<AdministrationService>(
      Shared, Fleet, *Control, *Serving, *Calls, *Entry);
  Dispatcher.connect(*Services);
  Control->announceStart();
}

base::Result<void> Daemon::Parts::startServers() {
  http::ServerSettings Caller;
  Caller.Ip = Settings.Caller.Ip;
  Caller.Port = Settings.Caller.Port;
  Caller.MaxBodyBytes = Settings.MaxBodyBytes;
  Caller.MaxConnections = Settings.MaxCallerConnections;
  BOOST_LEAF_ASSIGN(Caller.TlsCertificate,
                    readFile(Settings.TlsCertificateFile));
  BOOST_LEAF_ASSIGN(Caller.TlsKey, readFile(Settings.TlsKeyFile));
  BOOST_LEAF_ASSIGN(CallerServer, http::Server::start(Caller, *Entry));

  http::ServerSettings Reading;
  Reading.Ip = Settings.Administration.Ip;
  Reading.Port = Settings.Administration.Port;
  Reading.MaxConnections = kMaxAdministrationConnections;
  BOOST_LEAF_ASSIGN(AdministrationServer,
                    http::Server::start(Reading, *Administration));
  return {};
}

void Daemon::Parts::tickLoop() {
  while (!Stopping) {
    Control->tick();
    Calls->tick();
    Serving->tick();
    Idempotency->tick();
    Entry->tick();
    Rates->tick();
    adoptConfiguration();
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

/// Hands a changed configuration to all services, and runs what is due once a
/// second.
void Daemon::Parts::adoptConfiguration() {
  const auto Config = Fleet.configuration();
  const base::BootTime Now = Shared.Time.now();
  const bool Changed = Config != AdoptedConfig;
  if (Changed) {
    AdoptedConfig = Config;
    Rates->configure(*Config);
    Idempotency->configure(*Config);
  }
  refreshBackendLimits();
  if (!Changed && Now < NextSlowTick)
    return;
  NextSlowTick = Now + kSlowTickInterval;
  // The byte budget between regions is shared by the members there are.
  Choice->configure(*Config);
  Choice->exportCounters();
}

/// Hands the limits in force to the serving side once the backend server has
/// registered, and again whenever the configuration changes.
void Daemon::Parts::refreshBackendLimits() {
  std::lock_guard Lock(BackendMutex);
  auto Config = Fleet.configuration();
  if (BackendPort == 0 || Config == BackendConfig)
    return;
  const config::Service *Known = Config->service(Settings.Service);
  if (Known == nullptr)
    return;
  BackendConfig = std::move(Config);
  Serving->setBackend({Settings.Service, BackendPort, Known->config().Backend});
  Shared.noteChange("backend_ready", Settings.Service.str() + " port " +
                                         std::to_string(BackendPort));
}

Daemon::Daemon(std::unique_ptr<Parts> Impl) : Impl(std::move(Impl)) {}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>>
Daemon::start(const DaemonSettings &Settings) {
  static const base::SystemClock Time;
  auto Impl = std::make_unique<Parts>(Settings, Time);
  BOOST_LEAF_CHECK(Impl->startPeers());
  Impl->createServices();
  BOOST_LEAF_CHECK(Impl->startServers());
  Impl->Ticker = std::thread([Raw = Impl.get()] { Raw->tickLoop(); });
  Impl->Shared.noteChange("started",
                          "incarnation " +
                              std::to_string(Impl->Shared.Self.Epoch.value()));
  return std::unique_ptr<Daemon>(new Daemon(std::move(Impl)));
}

DaemonPorts Daemon::ports() const {
  return {Impl->CallerServer->port(), Impl->Peers->address().Port,
          Impl->AdministrationServer->port()};
}

void Daemon::drain() {
  Parts &All = *Impl;
  All.Shared.noteChange("draining", "planned stop");
  All.Control->announceLeaving(membership::MemberState::Draining);
  All.Entry->startDraining();
  const base::BootTime Started = All.Shared.Time.now();
  const auto Open = [&All] {
    return All.Entry->openRequests() + All.Serving->openCalls();
  };
  // Callers and peers learn of the drain while they can still be served.
  while (All.Shared.Time.now() - Started < All.Settings.DrainTime)
    std::this_thread::sleep_for(kTickInterval);
  All.CallerServer->stopAccepting();
  All.Serving->startDraining();
  while (Open() > 0 && All.Shared.Time.now() - Started < kDrainLimit)
    std::this_thread::sleep_for(kTickInterval);
  All.Control->announceLeaving(membership::MemberState::Stopped);
  All.Shared.noteChange("stopped",
                        std::to_string(Open()) + " requests left open");
  // Gossip repeats the last state for a while.
  std::this_thread::sleep_for(std::min<std::chrono::milliseconds>(
      kFarewellTime, All.Settings.DrainTime));
}

bool Daemon::superseded() const { return Impl->Control->superseded(); }

} // namespace node
