#ifndef JACKDAW_EXECUTION_TESTS_SIMULATION_H
#define JACKDAW_EXECUTION_TESTS_SIMULATION_H

#include "execution/attempttracker.h"
#include "execution/executiontable.h"
#include "execution/idempotencytable.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace execution::simulation {

/// Clock of one host: the simulation's clock with the wall clock off by `Skew`.
struct SkewedClock final : base::Clock {
  const base::Clock &Source;
  base::Duration Skew;

  SkewedClock(const base::Clock &Source, base::Duration Skew)
      : Source(Source), Skew(Skew) {}
  base::BootTime now() const override { return Source.now(); }
  base::WallTime wallNow() const override {
    return Source.wallNow() +
           std::chrono::duration_cast<std::chrono::microseconds>(Skew);
  }
};

/// A request of a caller, shared by all its attempts at all entry daemons.
struct Request {
  RequestKey Key;
  bool Idempotent = false;
  /// Number of times that a backend server executed the request.
  int Executions = 0;
};

/// One attempt at one entry daemon.
struct Attempt {
  Request *SourceRequest = nullptr;
  /// Set if the request is sent with an idempotency key, that is, unless it is
  /// idempotent.
  std::optional<AttemptId> KeyedAttempt;
  std::vector<base::CallId> Calls;
  base::Outcome Outcome = base::Outcome::NotRun;
};

/// A host whose process can be paused and replaced by a new incarnation.
struct Host {
  base::ProcessId Id;
  base::BootTime PausedUntil;
};

struct EntryDaemon : Host {
  std::unique_ptr<CallTracker> Calls;
  std::unique_ptr<AttemptTracker> Attempts;
  std::map<base::CallId, std::shared_ptr<Attempt>> ByCall;
  std::map<AttemptId, std::shared_ptr<Attempt>> ByAttempt;
};

struct ServingDaemon : Host {
  std::unique_ptr<ExecutionTable> Table;
};

struct ShardOwner : Host {
  std::unique_ptr<SkewedClock> Clock;
  std::unique_ptr<IdempotencyTable> Table;
};

/// Discrete-event simulation of entry daemons, serving daemons with fake
/// backend servers and a shard owner on an unreliable network. All decisions
/// are made by the tables and trackers under test.
class Simulation {
public:
  Simulation(std::uint64_t Seed, base::Duration Length);

  void run();

  /// Number of events of each kind, to check that a schedule exercises them.
  std::map<std::string, int> EventCounts;

private:
  using EventHandler = std::function<void()>;

  bool randomBool(unsigned Percent) { return Engine() % 100 < Percent; }
  base::Duration randomDuration(base::Duration Limit) {
    return base::Duration(Engine() % Limit.count());
  }

  void schedule(base::Duration Delay, EventHandler Handler);
  /// Runs the handler after the delay, once the host is not paused and in
  /// whichever incarnation it then has.
  void scheduleOnHost(Host &Target, base::Duration Delay, EventHandler Handler);
  /// Like `scheduleOnHost`, but drops the handler if the host has a new
  /// incarnation by then.
  void scheduleOnProcess(Host &Target, base::Duration Delay,
                         EventHandler Handler);
  /// Delivers a frame, which may be lost, duplicated or delayed.
  void transmit(Host &Receiver, ConnectionId Connection,
                const EventHandler &Handler);
  ConnectionId connect(EntryDaemon &Daemon);

  void addRequest();
  void startAttempt(EntryDaemon &Daemon, Request &SourceRequest);
  void makeCall(EntryDaemon &Daemon,
                const std::shared_ptr<Attempt> &CurrentAttempt);
  /// Performs the pending actions of the daemon's trackers.
  void performActions(EntryDaemon &Daemon);
  void perform(EntryDaemon &Daemon, const CallAction &Action);
  void perform(EntryDaemon &Daemon, const AttemptAction &Action);
  void sendFence(EntryDaemon &Daemon, const Fence &Message);
  void onCallCompleted(EntryDaemon &Daemon, const CallCompleted &Completed);
  void finishAttempt(EntryDaemon &Daemon, Attempt &Finished);
  /// Checks that the call has not run and records that it must never run.
  void recordNotRun(const base::CallId &Call);

  void onCall(ServingDaemon &Daemon, const CallContext &Call,
              ConnectionId Connection);
  void onDequeued(ServingDaemon &Daemon, const base::CallId &Call);
  void onFence(ServingDaemon &Daemon, const Fence &Message,
               ConnectionId Connection);
  void respond(ServingDaemon &Daemon, const base::CallId &Call,
               const ResponsePtr &ResponseToSend);
  void execute(const base::CallId &Call);
  void onBegin(EntryDaemon &Daemon, const IdempotencyBegin &Message);
  void onFinish(EntryDaemon &Daemon, const IdempotencyFinish &Message);

  void restart(EntryDaemon &Target);
  void restart(ServingDaemon &Target);
  void changeOwner();
  /// Injects a random fault and schedules the next one.
  void injectFault();
  void tickAll();

  base::ManualClock Clock;
  std::mt19937_64 Engine;
  const base::BootTime End;
  std::multimap<base::BootTime, EventHandler> Events;
  MemoryBudget Memory{12000};
  std::array<EntryDaemon, 3> EntryDaemons;
  std::array<ServingDaemon, 2> ServingDaemons;
  ShardOwner Shard;
  std::uint64_t LastConnection = 0;
  std::map<ConnectionId, EntryDaemon *> ConnectionOwners;
  std::set<ConnectionId> BrokenConnections;
  std::vector<std::unique_ptr<Request>> Requests;
  std::map<base::CallId, Request *> RequestByCall;
  std::map<base::CallId, int> Executions;
  std::set<base::CallId> ReportedNotRun;
};

} // namespace execution::simulation

#endif // JACKDAW_EXECUTION_TESTS_SIMULATION_H
