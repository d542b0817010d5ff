#ifndef JACKDAW_EXECUTION_TESTS_MODEL_H
#define JACKDAW_EXECUTION_TESTS_MODEL_H

#include "execution/attempttracker.h"
#include "execution/executiontable.h"
#include "execution/idempotencytable.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace execution::model {

/// The model's clock as one host sees it, with the wall clock off by `Skew`.
struct SkewedClock final : base::Clock {
  const base::Clock &Time;
  base::Duration Skew;

  SkewedClock(const base::Clock &Time, base::Duration Skew)
      : Time(Time), Skew(Skew) {}
  base::BootTime now() const override { return Time.now(); }
  base::WallTime wallNow() const override {
    return Time.wallNow() +
           std::chrono::duration_cast<std::chrono::microseconds>(Skew);
  }
};

/// A request of a caller, with all its attempts at all entry daemons.
struct Request {
  RequestKey Key;
  bool Idempotent = false;
  int Executions = 0;
};

/// One attempt at one entry daemon.
struct Attempt {
  Request *Of = nullptr;
  std::optional<AttemptId> Keyed;
  std::vector<base::RequestId> Calls;
  base::Outcome What = base::Outcome::NotRun;
};

/// A process that can be frozen and replaced by a new incarnation.
struct Host {
  base::ProcessId Id;
  base::BootTime FrozenUntil;
};

struct Entry : Host {
  std::unique_ptr<CallTracker> Calls;
  std::unique_ptr<AttemptTracker> Attempts;
  std::map<base::RequestId, std::shared_ptr<Attempt>> ByCall;
  std::map<AttemptId, std::shared_ptr<Attempt>> ByAttempt;
};

struct Server : Host {
  std::unique_ptr<ExecutionTable> Table;
};

struct Owner : Host {
  std::unique_ptr<SkewedClock> Time;
  std::unique_ptr<IdempotencyTable> Table;
};

/// Entry daemons, serving daemons with fake backend servers and a shard owner
/// on a bad network, with all decisions made by the tables under test.
class World {
public:
  World(std::uint64_t Seed, base::Duration Length);

  void run();

  /// How often each kind of thing happened, to see that a schedule is not
  /// trivially right.
  std::map<std::string, int> Seen;

private:
  using Step = std::function<void()>;

  bool chance(unsigned Percent) { return Engine() % 100 < Percent; }
  base::Duration upTo(base::Duration Limit) {
    return base::Duration(Engine() % Limit.count());
  }

  void at(base::Duration Delay, Step Next);
  /// Runs a step once the host is not frozen, in whatever incarnation.
  void onHost(Host &Where, base::Duration Delay, Step Next);
  /// Runs a step on the present incarnation of the host only.
  void onProcess(Host &Where, base::Duration Delay, Step Next);
  void transmit(Host &To, ConnectionId Over, const Step &Arrival);
  ConnectionId connect(Entry &From);

  void addRequest();
  void startAttempt(Entry &From, Request &Of);
  void makeCall(Entry &From, const std::shared_ptr<Attempt> &For);
  void drain(Entry &From);
  void perform(Entry &From, const CallAction &Action);
  void perform(Entry &From, const AttemptAction &Action);
  void sendFence(Entry &From, const Fence &Message);
  void onSettled(Entry &From, const CallCompleted &Settled);
  void conclude(Entry &From, Attempt &Done);
  void claimNotRun(const base::RequestId &Call);

  void onCall(Server &At, const CallContext &Call, ConnectionId Over);
  void onTurn(Server &At, const base::RequestId &Call);
  void onFence(Server &At, const Fence &Message, ConnectionId Over);
  void respond(Server &At, const base::RequestId &Call,
               const ResponsePtr &Answer);
  void execute(const base::RequestId &Call);
  void onBegin(Entry &From, const IdempotencyBegin &Message);
  void onFinish(Entry &From, const IdempotencyFinish &Message);

  void restart(Entry &Which);
  void restart(Server &Which);
  void changeOwner();
  void disturb();
  void tickAll();

  base::ManualClock Clock;
  std::mt19937_64 Engine;
  const base::BootTime End;
  std::multimap<base::BootTime, Step> Events;
  MemoryBudget Memory{12000};
  std::array<Entry, 3> Entries;
  std::array<Server, 2> Servers;
  Owner Shard;
  std::uint64_t LastConnection = 0;
  std::map<ConnectionId, Entry *> Openers;
  std::set<ConnectionId> Broken;
  std::vector<std::unique_ptr<Request>> Requests;
  std::map<base::RequestId, Request *> RequestOf;
  std::map<base::RequestId, int> Executions;
  std::set<base::RequestId> ClaimedNotRun;
};

} // namespace execution::model

#endif // JACKDAW_EXECUTION_TESTS_MODEL_H
