#include "process/faultmatrix.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace process;

namespace {

using namespace std::chrono_literals;

constexpr int kCallers = 12;
/// Number of requests that must run before, during and after a fault.
constexpr int kProgressRequests = 12;

/// Exit status of jackdaw-publish if a concurrent publication won.
constexpr int kPublishRejectedExit = 3;

/// State of the requests when the fault is injected.
enum class Stage {
  /// No request has been sent in this run yet.
  Before,
  Queued,
  Running,
  Responding,
  /// Earlier requests have completed, and none is open.
  Idle
};

constexpr std::pair<Stage, const char *> kStages[] = {
    {Stage::Before, "before the request"},
    {Stage::Queued, "while it is queued"},
    {Stage::Running, "while it runs"},
    {Stage::Responding, "while its response is held back"},
    {Stage::Idle, "while idle"}};

/// A fault, and what it may do to requests.
struct Fault {
  std::function<void(FaultMatrix &)> Apply;
  /// Reverts the fault; called after requests have run despite the fault.
  std::function<void(FaultMatrix &)> Revert;
  /// Stages at which the fault certainly loses the response to a request, so
  /// that its outcome is unknown. The fault lasts until such an outcome was
  /// returned.
  std::vector<Stage> UnknownOutcomeStages = {};
  /// Whether the fault may break connections of callers.
  bool CallersMayDisconnect = false;
};

void killEntry(FaultMatrix &Matrix) { Matrix.Entry.process().kill(); }
void restartEntry(FaultMatrix &Matrix) { Matrix.Entry.start(); }
void killServing(FaultMatrix &Matrix) { Matrix.Serving.process().kill(); }
void restartServing(FaultMatrix &Matrix) { Matrix.restartServing(); }
void killBackend(FaultMatrix &Matrix) { Matrix.Backend.process().kill(); }
void restartBackend(FaultMatrix &Matrix) {
  Matrix.Backend.start();
  Matrix.BackendProxy.setTarget(Matrix.Backend.port());
}

void pauseServing(FaultMatrix &Matrix) {
  Matrix.Serving.process().signal(SIGSTOP);
}
void resumeServing(FaultMatrix &Matrix) {
  // The pause must last until failure detection makes the daemon unusable; a
  // shorter one would test nothing.
  REQUIRE(waitUntil([&] { return !Matrix.Entry.hasUsableMember("serving"); }));
  Matrix.Serving.process().signal(SIGCONT);
}

void pauseBackend(FaultMatrix &Matrix) {
  Matrix.Backend.process().signal(SIGSTOP);
}
void resumeBackend(FaultMatrix &Matrix) {
  Matrix.Backend.process().signal(SIGCONT);
}

void stopServing(FaultMatrix &Matrix) {
  Matrix.Serving.process().signal(SIGTERM);
}
void finishServingStop(FaultMatrix &Matrix) {
  REQUIRE(Matrix.Serving.process().waitForExit() == 0);
  Matrix.restartServing();
}

void slowBackend(FaultMatrix &Matrix) { Matrix.Backend.setWorkTime(300ms); }
void fastBackend(FaultMatrix &Matrix) { Matrix.Backend.setWorkTime(5ms); }

void closeBackendConnections(FaultMatrix &Matrix) {
  Matrix.BackendProxy.closeConnections();
}
void stallBackendConnections(FaultMatrix &Matrix) {
  Matrix.BackendProxy.stallOpenConnections();
}
void doNothing(FaultMatrix &) {}

Fault makeLogFault(const std::string &On, const std::string &Off) {
  return {[On](FaultMatrix &Matrix) { Matrix.Fleet.setLogFault(On); },
          [Off](FaultMatrix &Matrix) { Matrix.Fleet.setLogFault(Off); }};
}

void withdrawKey(FaultMatrix &Matrix) {
  REQUIRE(Matrix.Fleet.publish(
              {{"bookings.toml",
                FaultMatrix::serviceFileWith({{"tin", kTinKey}})}}) == 0);
}
void restoreKey(FaultMatrix &Matrix) {
  REQUIRE(Matrix.Fleet.publish(
              {{"bookings.toml",
                FaultMatrix::serviceFileWith(
                    {{"gold", kGoldKey}, {"tin", kTinKey}})}}) == 0);
}

/// Publishes two changes of the same file concurrently. The order of the log
/// decides which is accepted, and both publishers must exit.
void publishConcurrently(FaultMatrix &Matrix) {
  const auto Publish = [&Matrix](const char *Key) {
    return Matrix.Fleet.publish(
        {{"bookings.toml",
          FaultMatrix::serviceFileWith({{"gold", kGoldKey}, {"tin", Key}})}});
  };
  int First = -1;
  std::thread Other([&] { First = Publish("one-new-key-of-tin"); });
  const int Second = Publish("another-new-key-of-tin");
  Other.join();
  CHECK((First == 0 || First == kPublishRejectedExit));
  CHECK((Second == 0 || Second == kPublishRejectedExit));
  CHECK((First == 0 || Second == 0));
}

/// Waits until requests have reached the stage.
void waitForStage(Stage Wanted, FaultMatrix &Matrix,
                  const LoadGenerator &Callers) {
  switch (Wanted) {
  case Stage::Before:
  case Stage::Idle:
    return;
  case Stage::Queued:
    REQUIRE(waitUntil([&] { return Matrix.Serving.status("queued") > 0; }));
    return;
  case Stage::Running:
    REQUIRE(waitUntil([&] { return Matrix.Serving.status("in_flight") > 0; }));
    return;
  case Stage::Responding:
    REQUIRE(Callers.waitForServed(1));
    Matrix.BackendProxy.holdResponses(true);
    REQUIRE(waitUntil([&] { return Matrix.BackendProxy.holdsResponse(); }));
    return;
  }
}

/// Injects the fault at a stage while callers send requests, reverts it, and
/// checks all responses.
void runFaultAtStage(FaultMatrix &Matrix, const Fault &Injected,
                     Stage AtStage) {
  const std::vector<std::string> Entries{Matrix.Entry.callerUrl(),
                                         Matrix.OtherEntry.callerUrl()};
  std::vector<Exchange> Exchanges;
  if (AtStage == Stage::Idle) {
    LoadGenerator Earlier(Entries, kCallers);
    REQUIRE(Earlier.waitForServed(kProgressRequests));
    Exchanges = Earlier.stop();
  }
  const bool Idle = AtStage == Stage::Before || AtStage == Stage::Idle;
  if (Idle)
    Injected.Apply(Matrix);
  LoadGenerator Callers(Entries, kCallers);
  int UnknownOutcomesBefore = 0;
  if (!Idle) {
    REQUIRE(Callers.waitForServed(kProgressRequests));
    waitForStage(AtStage, Matrix, Callers);
    UnknownOutcomesBefore = Callers.unknownOutcomes();
    Injected.Apply(Matrix);
    Matrix.BackendProxy.holdResponses(false);
  }
  CHECK(Callers.waitForServed(kProgressRequests));
  if (std::count(Injected.UnknownOutcomeStages.begin(),
                 Injected.UnknownOutcomeStages.end(), AtStage) > 0)
    CHECK(waitUntil(
        [&] { return Callers.unknownOutcomes() > UnknownOutcomesBefore; }));
  Injected.Revert(Matrix);
  CHECK(Callers.waitForServed(kProgressRequests));
  for (Exchange &Each : Callers.stop())
    Exchanges.push_back(std::move(Each));
  Matrix.check(std::move(Exchanges), Injected.CallersMayDisconnect);
}

/// Injects the fault at all stages in turn. Orders that are executed late are
/// found by the check at the end of the next stage.
void runFaultAtAllStages(const Fault &Injected) {
  // The tests of a suite share one fleet, because a new fleet grants no permits
  // for the first 15 s.
  static FaultMatrix Matrix;
  for (const auto &[AtStage, Text] : kStages) {
    const std::string Name = Text;
    CAPTURE(Name);
    runFaultAtStage(Matrix, Injected, AtStage);
    REQUIRE(waitUntil([&] {
      return Matrix.Entry.hasUsableMember("serving") &&
             Matrix.OtherEntry.hasUsableMember("serving");
    }));
  }
}

} // namespace

// Every test guards against orders that are executed twice, executed orders
// reported as "not-run", responses to other orders, missing responses, and a
// fleet that does not recover from the fault.
TEST_SUITE_BEGIN("matrix 1");
TEST_CASE("matrix: kill -9 of the entry daemon") {
  runFaultAtAllStages({killEntry, restartEntry, {}, true});
}
TEST_CASE("matrix: kill -9 of the serving daemon") {
  runFaultAtAllStages({killServing, restartServing, {Stage::Responding}});
}
TEST_CASE("matrix: kill -9 of the backend server") {
  runFaultAtAllStages({killBackend, restartBackend});
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 2");
TEST_CASE("matrix: pause of the serving daemon") {
  runFaultAtAllStages({pauseServing, resumeServing});
}
TEST_CASE("matrix: pause of the backend server") {
  runFaultAtAllStages(
      {pauseBackend,
       resumeBackend,
       {Stage::Before, Stage::Queued, Stage::Running, Stage::Idle}});
}
TEST_CASE("matrix: planned stop of the serving daemon") {
  runFaultAtAllStages({stopServing, finishServingStop});
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 3");
TEST_CASE("matrix: log outage") {
  runFaultAtAllStages(makeLogFault("outage=1", "outage=0"));
}
TEST_CASE("matrix: open connections to the log silent") {
  runFaultAtAllStages(makeLogFault("silence_open=1", "silent=0"));
}
TEST_CASE("matrix: log slow") {
  runFaultAtAllStages(makeLogFault("delay_ms=1000", "delay_ms=0"));
}
TEST_CASE("matrix: responses of log appends lost") {
  runFaultAtAllStages(makeLogFault("lose_responses=1", "lose_responses=0"));
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 4");
TEST_CASE("matrix: key withdrawn") {
  runFaultAtAllStages({withdrawKey, restoreKey});
}
TEST_CASE("matrix: concurrent publications") {
  runFaultAtAllStages({publishConcurrently, doNothing});
}
TEST_CASE("matrix: backend server slow") {
  runFaultAtAllStages({slowBackend, fastBackend});
}
TEST_CASE("matrix: connections to the backend server closed") {
  runFaultAtAllStages(
      {closeBackendConnections, doNothing, {Stage::Responding}});
}
TEST_CASE("matrix: connections to the backend server silent") {
  runFaultAtAllStages(
      {stallBackendConnections, doNothing, {Stage::Responding}});
}
TEST_SUITE_END();
