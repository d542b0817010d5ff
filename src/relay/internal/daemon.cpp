#include "relay/daemon.h"

#include "relay/callcorrelator.h"
#include "relay/callexecutor.h"
#include "relay/callsender.h"
#include "relay/entryhandler.h"
#include "relay/fleetratelimiter.h"
#include "relay/fleetsecretloader.h"
#include "relay/internal/peerinbox.h"
#include "relay/loopbacktransport.h"
#include "relay/peerdiscovery.h"
#include "relay/upstreamselector.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Fine enough for fences, queue times and gossip; each tick costs a wake-up.
constexpr base::Duration kTickInterval = 20ms;
/// One daemon in each data centre waits for news of the policy stream, for a
/// short time in each read, so that a connection that went silent delays news
/// by little. The others hear of news by gossip and read then; their own reads
/// are for the case that gossip fails.
constexpr platformlog::FollowerPace kReaderPace{1200ms, 0s};
constexpr platformlog::FollowerPace kOthersPace{0s, 4s};
/// Pause before the start is tried again, as after a port that is in use.
constexpr base::Duration kRestartPause = 500ms;
/// Caller's way back before this daemon serves: soon, since a start takes well
/// under a second if the store is there.
constexpr const char *kNotStartedRetryAfter = "0.300";

} // namespace

struct Daemon::Parts final : http::AsyncHandler,
                             PeerConsumer,
                             platformlog::StreamListener {
  Parts(DaemonSettings Settings, eventloop::EventLoop &Loop,
        base::MetricsRegistry &Metrics, DecisionLog &Log,
        platformlog::KeyedStore &Store, const PolicyParser &Reader)
      : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
        Store(Store), Reader(Reader), Inbox(Loop, *this),
        Secret(Loop, Store, Log, this->Settings.Instance),
        PolicyFollower({this->Settings.PolicyStream, kReaderPace}, Loop, Store,
                       *this) {}

  ~Parts() override {
    Loop.cancelTimer(Ticker);
    Remote.reset();
  }

  void join(const FleetSecret &Found);
  void createServices(const base::ProcessId &Self);
  void tick();
  void adopt(const config::FleetPolicyContent &Content);

  // http::AsyncHandler
  void onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                 http::Request Received) override;
  void onAbandoned(http::ExchangeId Id) override {
    if (Requests)
      Requests->onAbandoned(Id);
  }

  // PeerConsumer
  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               const transport::Frame &Received) override;
  void onClosed(transport::ConnectionId Connection) override {
    Calls->onConnectionClosed(Connection);
  }
  void onDatagram(const base::PeerAddress &From,
                  const std::string &Body) override {
    Members->onDatagram(From, Body);
  }

  // platformlog::StreamListener
  void onRecord(const platformlog::KeyedRecord &Record) override;
  void onCaughtUp(base::LogOffset End) override {
    Members->setConfigurationOffset(End);
  }
  void onStoreState(bool Reachable, const std::string &Detail) override {
    Log.state(Reachable ? "store_reachable" : "store_lost",
              {{"stream", Settings.PolicyStream}, {"detail", Detail}});
  }

  const DaemonSettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  DecisionLog &Log;
  platformlog::KeyedStore &Store;
  const PolicyParser &Reader;
  PeerInbox Inbox;
  FleetSecretLoader Secret;
  platformlog::StreamFollower PolicyFollower;
  http::AsyncServer *CallerServer = nullptr;
  std::unique_ptr<transport::PeerTransport> Remote;
  std::unique_ptr<LoopbackTransport> Peers;
  std::unique_ptr<PeerDiscovery> Members;
  std::unique_ptr<UpstreamSelector> Choice;
  std::unique_ptr<CallSender> Calls;
  std::unique_ptr<CallCorrelator> Graph;
  std::unique_ptr<CallExecutor> Server;
  std::unique_ptr<FleetRateLimiter> Rates;
  std::unique_ptr<EntryHandler> Requests;
  eventloop::TimerId Ticker;
  /// What the backend server said before this daemon joined.
  LocalServerState EarlyReports;
  bool Draining = false;
};

void Daemon::Parts::join(const FleetSecret &Found) {
  transport::TransportSettings Transport;
  Transport.Self = {Settings.Instance, Found.Epoch};
  Transport.Listen = Settings.Peer;
  Transport.Secret = Found.Secret;
  std::string Problem;
  boost::leaf::try_handle_all(
      [&]() -> base::Result<void> {
        BOOST_LEAF_ASSIGN(Remote, transport::PeerTransport::start(
                                      Transport, Loop.clock(), Metrics, Inbox));
        return {};
      },
      [&](const base::Error &Failure) { Problem = Failure.Detail; },
      [&] { Problem = "unknown failure"; });
  if (!Remote) {
    Log.state("join_failed", {{"detail", Problem}});
    Loop.startTimer(kRestartPause, [this, Found] { join(Found); });
    return;
  }
  createServices(Transport.Self);
  Inbox.open();
  Members->start();
  PolicyFollower.start();
  tick();
  Log.state("joined", {{"epoch", Found.Epoch.value()},
                       {"peer", Remote->address().str()}});
}

void Daemon::Parts::createServices(const base::ProcessId &Self) {
  const base::Clock &Time = Loop.clock();
  Peers = std::make_unique<LoopbackTransport>(*Remote, Loop, Self, *this);
  Choice = std::make_unique<UpstreamSelector>(
      Time, routing::Topology{Settings.DataCentre, Settings.Region});
  Calls = std::make_unique<CallSender>(Time, Self, *Peers);
  Graph = std::make_unique<CallCorrelator>();
  Server = std::make_unique<CallExecutor>(
      ExecutorSettings{Self, Settings.Headers, Settings.ServerUrl}, Loop,
      Metrics, Log, *Peers, *Graph, EarlyReports);
  Rates = std::make_unique<FleetRateLimiter>(
      Loop, Metrics, Log, *Peers, Settings.Instance, Settings.Tolerance,
      Settings.FirstStart,
      [this](const base::ProcessId &Silent) { Members->reportSilent(Silent); });
  EntrySettings Front;
  Front.Headers = Settings.Headers;
  Front.Service = Settings.Service;
  Front.RetryPercent = Settings.RetryPercent;
  Requests = std::make_unique<EntryHandler>(
      std::move(Front), Loop, Metrics, Log, *Calls, *Choice, *Rates, *Graph);
  membership::GossipSettings Gossip;
  Gossip.Self.Instance = Settings.Instance;
  Gossip.Self.Epoch = Self.Epoch;
  Gossip.Self.DataCentre = Settings.DataCentre;
  Gossip.Self.Region = Settings.Region;
  Gossip.Self.Service = Settings.Service;
  Gossip.Self.Peer = Remote->address();
  Gossip.Self.Administration = Remote->address();
  Gossip.RandomSeed = std::random_device()();
  Members = std::make_unique<PeerDiscovery>(
      Gossip, Loop, Log, *Remote, Store,
      [this](const membership::MemberTable &Table,
             const std::vector<base::InstanceId> &Changed) {
        Choice->follow(Table, Changed);
        Rates->follow(Table);
      });
}

void Daemon::Parts::tick() {
  Ticker = Loop.startTimer(kTickInterval, [this] { tick(); });
  Calls->tick();
  Server->tick();
  Members->tick();
  PolicyFollower.expect(Members->highestConfigurationOffset());
  PolicyFollower.setPace(Members->isReader() ? kReaderPace : kOthersPace);
  const std::size_t Daemons = Members->announcedCount();
  Requests->setRetryFloor(Settings.RetryFloor / Daemons);
  Rates->setDaemons(Daemons);
}

void Daemon::Parts::onRequest(http::AsyncServer &From, http::ExchangeId Id,
                              http::Request Received) {
  if (Requests)
    return Requests->onRequest(From, Id, std::move(Received));
  Metrics.counter("requests_before_start_total").add();
  From.respond(Id, {base::answerFor(base::ErrorKind::NoUpstream).Status,
                    {{"Retry-After", kNotStartedRetryAfter}},
                    ""});
}

void Daemon::Parts::onFrame(transport::ConnectionId Connection,
                            const base::ProcessId &,
                            const transport::Frame &Received) {
  const auto Malformed = [this] {
    Metrics.counter("peer_messages_malformed_total").add();
  };
  switch (static_cast<FrameType>(Received.Type)) {
  case FrameType::Call:
    if (auto Message = base::decode<CallFrame>(Received.Body))
      return Server->onCall(Connection, std::move(*Message));
    return Malformed();
  case FrameType::CallAnswer:
    if (auto Message = base::decode<CallAnswerFrame>(Received.Body))
      return Calls->onAnswer(std::move(*Message));
    return Malformed();
  case FrameType::Fence:
    if (const auto Message = base::decode<execution::Fence>(Received.Body))
      return Server->onFence(Connection, *Message);
    return Malformed();
  case FrameType::FenceReply:
    if (const auto Message = base::decode<execution::FenceReply>(Received.Body))
      return Calls->onFenceReply(*Message);
    return Malformed();
  case FrameType::PermitRequest:
    if (const auto Message = base::decode<PermitRequest>(Received.Body))
      return Rates->onPermitRequest(Connection, *Message);
    return Malformed();
  case FrameType::PermitGrant:
    if (const auto Message = base::decode<PermitGrant>(Received.Body))
      return Rates->onPermitGrant(*Message);
    return Malformed();
  case FrameType::PermitReturn:
    if (const auto Message = base::decode<PermitReturn>(Received.Body))
      return Rates->onPermitReturn(*Message);
    return Malformed();
  }
  Metrics.counter("peer_messages_unknown_total").add();
}

void Daemon::Parts::onRecord(const platformlog::KeyedRecord &Record) {
  if (Record.Key != Settings.PolicyKey || !Record.Value)
    return;
  std::string Problem;
  boost::leaf::try_handle_all(
      [&]() -> base::Result<void> {
        BOOST_LEAF_AUTO(Content, Reader.parse(*Record.Value));
        adopt(Content);
        return {};
      },
      [&](const base::Error &Failure) { Problem = Failure.Detail; },
      [&] { Problem = "unknown failure"; });
  if (!Problem.empty())
    Log.state("policy_rejected",
              {{"offset", Record.Offset.value()}, {"detail", Problem}});
}

/// Puts a policy in force unless a newer one is.
void Daemon::Parts::adopt(const config::FleetPolicyContent &Content) {
  const config::FleetPolicyPtr &Current = Requests->policy();
  if (Current && Content.Version <= Current->version())
    return;
  const auto New = std::make_shared<const config::FleetPolicy>(Content);
  Requests->adopt(New);
  Rates->adopt(New);
  http::CallerLimits Limits;
  Limits.MaxHeaderBytes = Content.Callers.MaxHeaderBytes;
  Limits.MaxBodyBytes = Content.Callers.MaxBodyBytes;
  Limits.IdleTimeout = Content.Callers.IdleTimeout;
  if (CallerServer != nullptr)
    CallerServer->setLimits(Limits);
  auto Limited = nlohmann::ordered_json::object();
  for (const config::WorkspacePolicy &Each : Content.Workspaces)
    if (Each.Rate > 0)
      Limited[Each.Name.str()] = {Each.Rate, Each.Burst};
  Log.state("policy_adopted", {{"version", Content.Version.value()},
                               {"routes", Content.Routes.size()},
                               {"workspaces", Content.Workspaces.size()},
                               {"limits", Limited}});
}

Daemon::Daemon(DaemonSettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, DecisionLog &Log,
               platformlog::KeyedStore &Store, const PolicyParser &Reader)
    : Impl(std::make_unique<Parts>(std::move(Settings), Loop, Metrics, Log,
                                   Store, Reader)) {}

Daemon::~Daemon() = default;

void Daemon::start() {
  Impl->Secret.find(
      [Raw = Impl.get()](const FleetSecret &Found) { Raw->join(Found); });
}

http::AsyncHandler &Daemon::callerHandler() { return *Impl; }

void Daemon::setCallerServer(http::AsyncServer &Server) {
  Impl->CallerServer = &Server;
}

void Daemon::onServerReport(const ServerReport &Received) {
  if (Impl->Server)
    Impl->Server->report(Received);
  else
    Impl->EarlyReports.report(Received);
}

void Daemon::onServerLeaving(const std::string &Id) {
  if (Impl->Server)
    Impl->Server->leave(Id);
  else
    Impl->EarlyReports.leave(Id);
}

bool Daemon::ready() const {
  return !Impl->Draining && Impl->Requests && Impl->Requests->policy();
}

void Daemon::drain() {
  Impl->Draining = true;
  if (!Impl->Requests)
    return;
  Impl->Requests->startDraining();
  Impl->Server->startDraining();
  Impl->Members->leave();
}

void Daemon::failOpenRequests() {
  if (Impl->Requests)
    Impl->Requests->endAll();
}

std::size_t Daemon::reachableDaemons() const {
  if (!Impl->Members)
    return 0;
  const auto &Entries = Impl->Members->gossip().members().entries();
  return static_cast<std::size_t>(std::count_if(
      Entries.begin(), Entries.end(), [](const membership::MemberEntry &Each) {
        return Each.Record.State == membership::MemberState::Alive &&
               !Each.Silent;
      }));
}

std::size_t Daemon::openWork() const {
  if (!Impl->Requests)
    return 0;
  return Impl->Requests->openRequests() + Impl->Server->openCalls();
}

} // namespace relay
