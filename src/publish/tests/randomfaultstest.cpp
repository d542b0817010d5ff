#include "publish/tests/support.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace publish;
using namespace publish::testing;
using namespace std::chrono_literals;
using standins::LogStandIn;

namespace {

constexpr int kPublishers = 3;
constexpr int kReaders = 3;
constexpr int kRounds = 12;
/// Records that the log retains.
constexpr std::size_t kRetention = 40;
/// Records after which a snapshot is appended; below `kRetention`, so that a
/// reader that has fallen behind the retention can continue from a snapshot.
constexpr std::uint64_t kRecordsPerSnapshot = 10;

std::uint64_t chooseSeed() {
  const char *Given = std::getenv("JACKDAW_TEST_SEED");
  return Given ? std::strtoull(Given, nullptr, 10) : std::random_device()();
}

/// Results reported by the publishers and outcomes determined by the readers.
/// The first outcome that a reader determines for a publish id is the reference
/// for the others.
class OutcomeTable {
public:
  void addResult(const ChangeResult &Result) {
    const std::lock_guard Lock(Mutex);
    Results.push_back(Result);
  }

  void compare(const config::ConfigState &State) {
    const std::lock_guard Lock(Mutex);
    for (const ChangeResult &Result : Results) {
      const auto Observed = State.outcomeFor(Result.Change.Id);
      if (!Observed)
        continue;
      const auto Reference =
          ReaderOutcomes.emplace(Result.Change.Id, *Observed).first;
      Disagreements += Reference->second == *Observed ? 0 : 1;
    }
  }

  /// Checks the results of the publishers against the outcomes of the readers.
  void checkResults() const {
    CHECK(Disagreements == 0);
    int Accepted = 0;
    for (const ChangeResult &Result : Results) {
      const auto Reference = ReaderOutcomes.find(Result.Change.Id);
      const bool Found = Reference != ReaderOutcomes.end();
      if (Result.Outcome == PublishOutcome::NotAppended)
        CHECK_FALSE(Found);
      if (Result.LogOutcome) {
        REQUIRE(Found);
        CHECK(Reference->second == *Result.LogOutcome);
      }
      Accepted += Result.Outcome == PublishOutcome::Accepted ? 1 : 0;
    }
    CHECK(Accepted > 0);
  }

private:
  std::mutex Mutex;
  std::vector<ChangeResult> Results;
  std::map<config::PublishId, config::ChangeOutcome> ReaderOutcomes;
  int Disagreements = 0;
};

/// State shared by all threads.
struct SharedState {
  LogStandIn Log{0, kRetention};
  OutcomeTable Outcomes;
  std::atomic<bool> Publishing{true};
  std::atomic<int> Reversions{0};
};

void runPublisher(SharedState &Shared, int Number, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  Operator Self(Shared.Log, "operator" + std::to_string(Number), 500ms);
  for (int Round = 0; Round < kRounds; ++Round) {
    if (!readState(Self.OwnPublisher))
      continue;
    FileMap Files;
    for (const char *File : {"a.toml", "b.toml", "c.toml"}) {
      if (Random() % 2 == 0)
        Files[File] = serviceText("k", static_cast<int>(Random() % 1000) + 1);
    }
    for (const ChangeResult &Result : Self.publish(Files))
      Shared.Outcomes.addResult(Result);
  }
}

void runReader(SharedState &Shared) {
  platformlog::HttpLogClient Client(clientSettings(Shared.Log.url()));
  StateReader Reader(Client);
  base::LogOffset Version;
  std::map<std::string, base::LogOffset> Files;
  bool AtEnd = false;
  while (Shared.Publishing || !AtEnd) {
    const bool Finishing = !Shared.Publishing;
    const auto Progress = Reader.readPage(20ms);
    AtEnd = Finishing && Progress && *Progress == ReadProgress::AtEnd;
    const auto &State = Reader.state();
    Shared.Reversions += State.version() < Version ? 1 : 0;
    Version = State.version();
    for (auto &[File, Last] : Files)
      Shared.Reversions += State.fileVersion(File) < Last ? 1 : 0;
    for (const auto &[File, Now] : State.files())
      Files[File] = Now.Version;
    Shared.Outcomes.compare(State);
  }
}

void runSnapshots(SharedState &Shared) {
  config::ConfigState State;
  std::uint64_t Last = 0;
  while (Shared.Publishing) {
    catchUp(Shared.Log, State);
    if (State.applied().value() >= Last + kRecordsPerSnapshot) {
      appendSnapshot(Shared.Log, State);
      Last = State.applied().value();
    }
    std::this_thread::sleep_for(2ms);
  }
  catchUp(Shared.Log, State);
  appendSnapshot(Shared.Log, State);
}

void runFaults(SharedState &Shared, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  while (Shared.Publishing) {
    standins::LogFaults Faults;
    Faults.Unavailable = Random() % 6 == 0;
    Faults.LoseAppendResponses = Random() % 3 == 0;
    Faults.MalformedResponses = Random() % 8 == 0;
    Faults.Delay = std::chrono::milliseconds(Random() % 4 == 0 ? 10 : 0);
    Shared.Log.setFaults(Faults);
    if (Random() % 8 == 0)
      Shared.Log.silenceOpenConnections();
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 40));
  }
  Shared.Log.setFaults({});
}

} // namespace

TEST_CASE("under random faults no reader reverts to an older version, and all "
          "readers and publishers agree on all outcomes") {
  const std::uint64_t Seed = chooseSeed();
  MESSAGE("JACKDAW_TEST_SEED=" << Seed);
  SharedState Shared;
  std::vector<std::thread> Publishers;
  Publishers.reserve(kPublishers);
  std::vector<std::thread> Others;
  Others.reserve(kReaders + 2);
  for (int Index = 0; Index < kReaders; ++Index)
    Others.emplace_back([&] { runReader(Shared); });
  Others.emplace_back([&] { runSnapshots(Shared); });
  Others.emplace_back([&] { runFaults(Shared, Seed); });
  for (int Index = 1; Index <= kPublishers; ++Index)
    Publishers.emplace_back([&Shared, Index, Seed] {
      runPublisher(Shared, Index, Seed + static_cast<std::uint64_t>(Index));
    });
  for (std::thread &Publisher : Publishers)
    Publisher.join();
  Shared.Publishing = false;
  for (std::thread &Other : Others)
    Other.join();
  CHECK(Shared.Reversions == 0);
  Shared.Outcomes.checkResults();
  MESSAGE("records in the log: " << Shared.Log.end());
}
