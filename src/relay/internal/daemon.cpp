#include "relay/daemon.h"

#include "platformlog/eratrackingstore.h"
#include "relay/callcorrelator.h"
#include "relay/callexecutor.h"
#include "relay/callsender.h"
#include "relay/entryhandler.h"
#include "relay/fleetratelimiter.h"
#include "relay/fleetsecretloader.h"
#include "relay/internal/durations.h"
#include "relay/internal/peerinbox.h"
#include "relay/loopbacktransport.h"
#include "relay/meteredtransport.h"
#include "relay/peerdiscovery.h"
#include "relay/policyfreshness.h"
#include "relay/upstreamselector.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <random>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Fine enough for fences, queue times and gossip; each tick costs a wake-up.
constexpr base::Duration kTickInterval = 20ms;
/// One daemon in each data centre, the log reader, long-polls the policy
/// stream; see `LogReaderRole`. Each wait is short, because the others take a
/// reader that reports no read for longer as failed. They read when they learn
/// of an update from it or by gossip.
constexpr platformlog::PollTiming kLogReaderPollTiming{400ms, 0s};
constexpr platformlog::PollTiming kDefaultPollTiming{0s, 30s};
/// Minimum time between two records of the backend server's shutdown, which it
/// may state as often as it likes.
constexpr base::Duration kShutdownWriteInterval = 1s;
/// Time between two reads for an era that only peers have seen.
constexpr base::Duration kEraReadInterval = 2s;
/// Time for each daemon of the fleet over which they read the policy again when
/// the store has come back from an older copy.
constexpr base::Duration kPolicyRestartSpreadPerDaemon = 400us;
/// Follows every offset of a stream.
constexpr base::LogOffset kEndOfStream{
    std::numeric_limits<std::uint64_t>::max()};
/// Delay before the transport is started again, for example because the port
/// was in use.
constexpr base::Duration kRestartDelay = 500ms;
/// `Retry-After` in seconds before this daemon serves: short, since a start
/// takes well under a second if the store is reachable.
constexpr const char *kNotStartedRetryAfter = "0.300";
constexpr std::size_t kMaxUnreadableLines = 20;

} // namespace

struct Daemon::Implementation final : http::AsyncHandler,
                                      PeerMessageHandler,
                                      platformlog::StreamListener {
  Implementation(DaemonSettings Settings, eventloop::EventLoop &Loop,
                 base::MetricsRegistry &Metrics, StructuredLog &Log,
                 platformlog::KeyedStore &Store, const PolicyParser &Parser)
      : Settings(std::move(Settings)), Loop(Loop), Metrics(Metrics), Log(Log),
        Store(Store, Metrics,
              [this](base::StoreEra From, base::StoreEra To) {
                onStoreEraRaised(From, To);
              }),
        Parser(Parser), Inbox(Loop, *this),
        SecretLoader(Loop, this->Store, Log, this->Settings.Instance,
                     this->Settings.FirstStart),
        PolicyFollower({this->Settings.PolicyStream, kDefaultPollTiming}, Loop,
                       this->Store, *this) {}

  ~Implementation() override {
    Loop.cancelTimer(TickTimer);
    Remote.reset();
  }

  void join(const FleetSecret &Loaded);
  void createComponents(const base::ProcessId &Self);
  void resumeStop();
  void tick();
  void applyPolicy(const config::FleetPolicyContent &Content);
  void applyCallerLimits(const config::CallerPolicy &Policy);
  void onStoreEraRaised(base::StoreEra From, base::StoreEra To);
  /// Reads the policy stream if another daemon has read further.
  void catchUpWithPeers();
  /// Updates what is known of newer policies, for logs and metrics.
  void updateFreshness();
  void logUnreadable(const config::FleetPolicyContent &Content);
  void rejectPolicy(const platformlog::KeyedRecord &Record,
                    const std::string &Problem);
  void restoreServerShutdown(const FleetSecret &Loaded);
  void keepServerShutdown();

  // http::AsyncHandler
  void onRequest(http::AsyncServer &Server, http::ExchangeId Id,
                 http::Request Received) override;
  void onCallerDisconnected(http::ExchangeId Id) override {
    if (Entry)
      Entry->onCallerDisconnected(Id);
  }
  void onServerRefusal(const http::ServerRefusal &Refusal) override;

  // PeerMessageHandler
  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               const transport::Frame &Received) override;
  void onClosed(transport::ConnectionId Connection) override {
    Metered->onClosed(Connection);
    Executor->onConnectionClosed(Connection);
    Calls->onConnectionClosed(Connection);
  }
  void onDatagram(const base::Endpoint &From,
                  const std::string &Body) override {
    if (isPermitMessage(Body))
      Limiter->onDatagram(From, Body);
    else
      Discovery->onDatagram(From, Body);
  }

  // platformlog::StreamListener
  void onRecord(const platformlog::KeyedRecord &Record) override;
  void onCaughtUp(base::LogOffset End) override {
    Discovery->onPolicyRead({Store.era(), End});
    Freshness.onReadToEnd({Store.era(), End});
  }
  void onHistoryReplaced() override {
    Freshness.onHistoryReplaced();
    Log.state("policy_read_again",
              {{"stream", Settings.PolicyStream},
               {"era", Store.era().value()},
               {"version",
                Entry->policy() ? Entry->policy()->version().value() : 0}});
  }
  void onReachabilityChanged(bool Reachable,
                             const std::string &Detail) override {
    Log.state(Reachable ? "store_reachable" : "store_lost",
              {{"stream", Settings.PolicyStream}, {"detail", Detail}});
  }

  const DaemonSettings Settings;
  eventloop::EventLoop &Loop;
  base::MetricsRegistry &Metrics;
  StructuredLog &Log;
  platformlog::EraTrackingStore Store;
  const PolicyParser &Parser;
  PeerInbox Inbox;
  FleetSecretLoader SecretLoader;
  platformlog::StreamFollower PolicyFollower;
  PolicyFreshness Freshness{Loop.clock()};
  /// As of the last tick.
  bool PolicyOutdated = false;
  http::AsyncServer *CallerServer = nullptr;
  std::unique_ptr<transport::PeerTransport> Remote;
  std::unique_ptr<MeteredTransport> Metered;
  std::unique_ptr<LoopbackTransport> Peers;
  std::unique_ptr<PeerDiscovery> Discovery;
  std::unique_ptr<UpstreamSelector> Upstreams;
  std::unique_ptr<CallSender> Calls;
  std::unique_ptr<CallCorrelator> Correlator;
  std::unique_ptr<CallExecutor> Executor;
  std::unique_ptr<FleetRateLimiter> Limiter;
  std::unique_ptr<EntryHandler> Entry;
  eventloop::TimerId TickTimer;
  base::Gauge &PolicyVersion = Metrics.gauge("policy_version");
  base::Gauge &PolicyRejectedVersion = Metrics.gauge("policy_rejected_version");
  base::Gauge &PolicyUnreadable = Metrics.gauge("policy_unreadable_entries");
  base::Gauge &PolicyAge = Metrics.gauge("policy_age_ms");
  base::Gauge &PolicyBehind = Metrics.gauge("policy_behind_ms");
  /// Reports of the backend server from before this daemon joined the fleet.
  LocalServerState InitialServerState{Loop.clock()};
  /// The shutdown of the backend server that is kept in the store.
  std::optional<ServerShutdown> KeptShutdown;
  base::BootTime ShutdownWriteAllowedAt;
  /// Earliest time of the next read for an era that only peers have seen.
  base::BootTime EraReadAllowedAt;
  // Steps of a stop, which may begin before this daemon joins the fleet.
  bool Draining = false;
  struct StopLimits {
    base::BootTime RefuseFrom;
    base::BootTime LastDeadline;
  };
  std::optional<StopLimits> Limits;
  bool FailedRequests = false;
};

void Daemon::Implementation::join(const FleetSecret &Loaded) {
  transport::TransportSettings Transport;
  Transport.Self = {Settings.Instance, Loaded.Incarnation};
  Transport.ListenAddress = Settings.Peer;
  Transport.Secret = Loaded.Secret;
  Transport.Budget = Settings.Budget;
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
    Loop.startTimer(kRestartDelay, [this, Loaded] { join(Loaded); });
    return;
  }
  restoreServerShutdown(Loaded);
  createComponents(Transport.Self);
  Inbox.open();
  Discovery->start(Loaded);
  resumeStop();
  PolicyFollower.start();
  tick();
  Log.state("joined", {{"epoch", Loaded.Incarnation.value()},
                       {"peer", Remote->address().str()}});
}

void Daemon::Implementation::createComponents(const base::ProcessId &Self) {
  const base::Clock &Clock = Loop.clock();
  const routing::Topology Topology{Settings.DataCentre, Settings.Region};
  Metered = std::make_unique<MeteredTransport>(*Remote, Metrics, Topology);
  Peers = std::make_unique<LoopbackTransport>(*Metered, Loop, Self, *this);
  Upstreams = std::make_unique<UpstreamSelector>(Clock, Topology);
  Calls = std::make_unique<CallSender>(Clock, Self, *Peers);
  Correlator = std::make_unique<CallCorrelator>();
  Executor = std::make_unique<CallExecutor>(
      ExecutorSettings{Self, Settings.Headers, Settings.ServerUrl,
                       Settings.Budget},
      Loop, Metrics, Log, *Peers, *Correlator, InitialServerState);
  Limiter = std::make_unique<FleetRateLimiter>(
      Loop, Metrics, Log, *Peers, Self, Settings.Tolerance, Settings.FirstStart,
      [this](const base::ProcessId &Silent) {
        Discovery->reportSilent(Silent);
      });
  EntrySettings HandlerSettings;
  HandlerSettings.Headers = Settings.Headers;
  HandlerSettings.Service = Settings.Service;
  HandlerSettings.RetryPercent = Settings.RetryPercent;
  Entry = std::make_unique<EntryHandler>(std::move(HandlerSettings), Loop,
                                         Metrics, Log, *Calls, *Upstreams,
                                         *Limiter, *Correlator, Freshness);
  membership::GossipSettings Gossip;
  Gossip.Self.Instance = Settings.Instance;
  Gossip.Self.Incarnation = Self.Incarnation;
  Gossip.Self.DataCentre = Settings.DataCentre;
  Gossip.Self.Region = Settings.Region;
  Gossip.Self.Service = Settings.Service;
  Gossip.Self.Peer = Remote->address();
  Gossip.Self.Administration = Remote->address();
  Gossip.RandomSeed = std::random_device()();
  Discovery = std::make_unique<PeerDiscovery>(
      Gossip, Loop, Log, *Metered, Store,
      [this](const membership::MemberTable &Table,
             const std::vector<base::InstanceId> &Changed) {
        Metered->applyChanges(Table, Changed);
        Upstreams->applyChanges(Table, Changed);
        Limiter->applyChanges(Table, Changed);
      });
}

/// Takes the steps of a stop that began before this daemon had joined.
void Daemon::Implementation::resumeStop() {
  if (Draining) {
    Entry->startDraining();
    Executor->startDraining();
    Discovery->announceDraining();
  }
  if (Limits)
    Entry->refuseLongRequests(Limits->RefuseFrom, Limits->LastDeadline);
  if (FailedRequests)
    Entry->failOpenRequests();
}

void Daemon::Implementation::tick() {
  TickTimer = Loop.startTimer(kTickInterval, [this] { tick(); });
  Calls->tick();
  Executor->tick();
  Discovery->tick();
  catchUpWithPeers();
  updateFreshness();
  keepServerShutdown();
  if (Discovery->takeOverReading())
    PolicyFollower.readNow();
  PolicyFollower.setPollTiming(Discovery->isLogReader() ? kLogReaderPollTiming
                                                        : kDefaultPollTiming);
  const std::size_t Daemons = Discovery->daemonCount();
  PolicyFollower.setRestartSpread(kPolicyRestartSpreadPerDaemon *
                                  static_cast<int>(Daemons));
  Entry->setRetryFloor(Settings.RetryFloor / Daemons);
  Limiter->setDaemonCount(Daemons);
  Limiter->tick();
}

/// Policies, keys and members that are known stay in use until the store states
/// something newer. Only positions are dropped.
void Daemon::Implementation::onStoreEraRaised(base::StoreEra From,
                                              base::StoreEra To) {
  Log.state("store_era_raised",
            {{"from", From.value()},
             {"to", To.value()},
             {"policy_position", PolicyFollower.position().value()}});
  PolicyFollower.restart();
  if (Discovery)
    Discovery->onStoreEraRaised();
}

void Daemon::Implementation::catchUpWithPeers() {
  const base::StreamPosition Highest = Discovery->highestPolicyPosition();
  if (Highest.Era == Store.era())
    return PolicyFollower.catchUpTo(Highest.Offset);
  const base::BootTime Now = Loop.clock().now();
  if (Highest.Era < Store.era() || Now < EraReadAllowedAt)
    return;
  // A read tells this daemon of the era that others have seen.
  EraReadAllowedAt = Now + kEraReadInterval;
  PolicyFollower.catchUpTo(kEndOfStream);
}

void Daemon::Implementation::updateFreshness() {
  Freshness.onPositions({Store.era(), PolicyFollower.position()},
                        Discovery->highestPolicyPosition());
  const auto Rejected = Freshness.rejectedVersion();
  PolicyRejectedVersion.set(
      Rejected ? static_cast<std::int64_t>(Rejected->value()) : 0);
  PolicyAge.set(milliseconds(Freshness.age()));
  PolicyBehind.set(milliseconds(Freshness.behindFor()));
  if (std::exchange(PolicyOutdated, Freshness.isOutdated()) == PolicyOutdated)
    return;
  Log.state(
      PolicyOutdated ? "policy_outdated" : "policy_current",
      {{"version", Entry->policy() ? Entry->policy()->version().value() : 0},
       {"rejected_version", Rejected ? Rejected->value() : 0},
       {"behind_ms", milliseconds(Freshness.behindFor())},
       {"offset", PolicyFollower.position().value()},
       {"known_offset", Discovery->highestPolicyPosition().Offset.value()}});
}

/// A server that has left must not be used again because of a report that
/// arrives late, after this process has started.
void Daemon::Implementation::restoreServerShutdown(const FleetSecret &Loaded) {
  const std::string Key = serverShutdownKey(Settings.Instance);
  for (const platformlog::KeyedRecord &Each : Loaded.Announcements.Records) {
    if (Each.Key != Key || !Each.Value)
      continue;
    KeptShutdown = base::decode<ServerShutdown>(*Each.Value);
    if (!KeptShutdown) {
      Log.state("server_shutdown_ignored", {{"key", Key}});
      continue;
    }
    Log.state("server_shutdown_restored",
              {{"server", KeptShutdown->Process.Id},
               {"born", KeptShutdown->Process.StartTimeMillis},
               {"with_earlier", KeptShutdown->WithEarlier}});
    InitialServerState.restore(*KeptShutdown);
  }
}

void Daemon::Implementation::keepServerShutdown() {
  const auto &Known = Executor->server().lastShutdown();
  const base::BootTime Now = Loop.clock().now();
  if (!Known || Known == KeptShutdown || Now < ShutdownWriteAllowedAt)
    return;
  ShutdownWriteAllowedAt = Now + kShutdownWriteInterval;
  KeptShutdown = Known;
  Discovery->keepServerShutdown(*Known);
}

void Daemon::Implementation::onRequest(http::AsyncServer &Server,
                                       http::ExchangeId Id,
                                       http::Request Received) {
  if (Entry)
    return Entry->onRequest(Server, Id, std::move(Received));
  Metrics.counter("requests_before_start_total").add();
  Server.respond(Id,
                 {base::errorResponseFor(base::ErrorKind::NoUpstream).Status,
                  {{"Retry-After", kNotStartedRetryAfter}},
                  ""});
}

void Daemon::Implementation::onFrame(transport::ConnectionId Connection,
                                     const base::ProcessId &Peer,
                                     const transport::Frame &Received) {
  Metered->onFrameFrom(Connection, Peer);
  const auto CountMalformed = [this] {
    Metrics.counter("peer_messages_malformed_total").add();
  };
  switch (static_cast<FrameType>(Received.Type)) {
  case FrameType::Call:
    if (auto Message = decodeCall(Received))
      return Executor->onCall(Connection, std::move(*Message));
    return CountMalformed();
  case FrameType::CallResponse:
    if (auto Message = decodeCallResponse(Received))
      return Calls->onCallResponse(std::move(*Message));
    return CountMalformed();
  case FrameType::Fence:
    if (const auto Message = base::decode<execution::Fence>(Received.Body))
      return Executor->onFence(Connection, *Message);
    return CountMalformed();
  case FrameType::FenceReply:
    if (const auto Message = base::decode<execution::FenceReply>(Received.Body))
      return Calls->onFenceReply(*Message);
    return CountMalformed();
  case FrameType::ServerNotice:
    if (const auto Message = base::decode<ServerNotice>(Received.Body))
      return Upstreams->onServerNotice(Peer, *Message);
    return CountMalformed();
  case FrameType::ServerReminder:
    if (const auto Message = base::decode<ServerReminder>(Received.Body))
      return Executor->onServerReminder(Connection, *Message);
    return CountMalformed();
  }
  Metrics.counter("peer_messages_unknown_total").add();
}

void Daemon::Implementation::onRecord(const platformlog::KeyedRecord &Record) {
  if (Record.Key != Settings.PolicyKey || !Record.Value)
    return;
  std::string Problem;
  boost::leaf::try_handle_all(
      [&]() -> base::Result<void> {
        BOOST_LEAF_AUTO(Content, Parser.parse(*Record.Value));
        applyPolicy(Content);
        return {};
      },
      [&](const base::Error &Failure) { Problem = Failure.Detail; },
      [&] { Problem = "unknown failure"; });
  if (!Problem.empty())
    rejectPolicy(Record, Problem);
}

void Daemon::Implementation::rejectPolicy(
    const platformlog::KeyedRecord &Record, const std::string &Problem) {
  const auto Version = Parser.readVersion(*Record.Value);
  Freshness.onRejected(Version);
  Metrics.counter("policies_rejected_total").add();
  const config::FleetPolicyPtr &Current = Entry->policy();
  Log.state("policy_rejected",
            {{"offset", Record.Offset.value()},
             {"version", Version ? Version->value() : 0},
             {"current_version", Current ? Current->version().value() : 0},
             {"bytes", Record.Value->size()},
             {"detail", Problem}});
}

/// The parts of a policy that can't be read, of which only the first are logged
/// one by one.
void Daemon::Implementation::logUnreadable(
    const config::FleetPolicyContent &Content) {
  for (std::size_t Index = 0;
       Index < std::min(Content.Unreadable.size(), kMaxUnreadableLines);
       ++Index) {
    const config::UnreadableEntry &Each = Content.Unreadable[Index];
    Log.state("policy_entry_ignored", {{"version", Content.Version.value()},
                                       {"path", Each.Path},
                                       {"why", Each.Reason},
                                       {"effect", Each.Effect}});
  }
}

/// Applies a policy unless the current one is as new or newer.
void Daemon::Implementation::applyPolicy(
    const config::FleetPolicyContent &Content) {
  const config::FleetPolicyPtr &Current = Entry->policy();
  if (Current && Content.Version == Current->version())
    Freshness.onCurrentStated();
  if (Current && Content.Version <= Current->version())
    return;
  const auto NewPolicy = std::make_shared<const config::FleetPolicy>(Content);
  Entry->setPolicy(NewPolicy);
  Freshness.onAdopted(Content.Version);
  PolicyVersion.set(static_cast<std::int64_t>(Content.Version.value()));
  PolicyUnreadable.set(static_cast<std::int64_t>(Content.Unreadable.size()));
  Limiter->setPolicy(NewPolicy);
  applyCallerLimits(Content.Callers);
  auto Limited = nlohmann::ordered_json::object();
  for (const config::WorkspacePolicy &Each : Content.Workspaces)
    if (Each.Rate > 0)
      Limited[Each.Name.str()] = {Each.Rate, Each.Burst};
  logUnreadable(Content);
  Log.state("policy_adopted", {{"version", Content.Version.value()},
                               {"routes", Content.Routes.size()},
                               {"workspaces", Content.Workspaces.size()},
                               {"unreadable", Content.Unreadable.size()},
                               {"limits", Limited}});
}

void Daemon::Implementation::applyCallerLimits(
    const config::CallerPolicy &Policy) {
  if (CallerServer == nullptr)
    return;
  http::CallerLimits Limits;
  Limits.MaxHeaderBytes = Policy.MaxHeaderBytes;
  Limits.MaxBodyBytes = Policy.MaxBodyBytes;
  Limits.IdleTimeout = Policy.IdleTimeout;
  Limits.HeaderTimeout = Policy.HeaderTimeout;
  Limits.TimeLeftHeader = Settings.Headers.TimeLeft;
  CallerServer->setLimits(Limits);
}

void Daemon::Implementation::onServerRefusal(
    const http::ServerRefusal &Refusal) {
  const std::string Reason(http::refusalReasonName(Refusal.Reason));
  Metrics.counter("caller_refusals_total{reason=\"" + Reason + "\"}").add();
  nlohmann::ordered_json Fields = {
      {"reason", Reason},
      {"status", Refusal.Status},
      {"head_bytes", Refusal.HeadBytes},
      {"body_bytes", Refusal.BodyBytes},
      {"held_bytes", Refusal.HeldBytes},
      {"age_ms", milliseconds(Refusal.Age)},
      {"without_progress_ms", milliseconds(Refusal.WithoutProgress)}};
  if (Settings.Budget != nullptr) {
    Fields["budget_used_bytes"] = Settings.Budget->usedBytes();
    Fields["budget_max_bytes"] = Settings.Budget->maxBytes();
  }
  Log.request("caller_refused", Fields);
}

Daemon::Daemon(DaemonSettings Settings, eventloop::EventLoop &Loop,
               base::MetricsRegistry &Metrics, StructuredLog &Log,
               platformlog::KeyedStore &Store, const PolicyParser &Parser)
    : Impl(std::make_unique<Implementation>(std::move(Settings), Loop, Metrics,
                                            Log, Store, Parser)) {}

Daemon::~Daemon() = default;

void Daemon::start() {
  Impl->SecretLoader.load(
      [Raw = Impl.get()](const FleetSecret &Loaded) { Raw->join(Loaded); });
}

http::AsyncHandler &Daemon::callerHandler() { return *Impl; }

void Daemon::setCallerServer(http::AsyncServer &Server) {
  Impl->CallerServer = &Server;
  Impl->applyCallerLimits({});
}

void Daemon::onServerReport(const ServerReport &Received) {
  if (Impl->Executor)
    Impl->Executor->onServerReport(Received);
  else
    Impl->InitialServerState.apply(Received);
}

void Daemon::onServerLeaving(const std::string &Id) {
  if (Impl->Executor)
    Impl->Executor->onServerLeaving(Id);
  else
    Impl->InitialServerState.markLeaving(Id);
}

bool Daemon::ready() const {
  return !Impl->Draining && Impl->Entry && Impl->Entry->policy();
}

void Daemon::drain() {
  Impl->Draining = true;
  if (Impl->Entry)
    Impl->resumeStop();
}

void Daemon::refuseLongRequests(base::BootTime From,
                                base::BootTime LastDeadline) {
  Impl->Limits = {From, LastDeadline};
  if (Impl->Entry)
    Impl->Entry->refuseLongRequests(From, LastDeadline);
}

void Daemon::failOpenRequests() {
  Impl->FailedRequests = true;
  if (Impl->Entry)
    Impl->Entry->failOpenRequests();
}

std::size_t Daemon::reachableDaemons() const {
  if (!Impl->Discovery)
    return 0;
  const auto &Entries = Impl->Discovery->gossip().members().entries();
  return static_cast<std::size_t>(std::count_if(
      Entries.begin(), Entries.end(), [](const membership::MemberEntry &Each) {
        return Each.Record.State == membership::MemberState::Alive &&
               !Each.Silent;
      }));
}

OpenWork Daemon::openWork() const {
  if (!Impl->Entry)
    return {};
  return {Impl->Entry->openRequests(), Impl->Executor->queuedCalls(),
          Impl->Executor->runningCalls()};
}

void Daemon::logInterruptedCalls() const {
  if (Impl->Executor)
    Impl->Executor->logInterruptedCalls();
}

} // namespace relay
