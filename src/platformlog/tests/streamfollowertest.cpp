#include "platformlog/streamfollower.h"

#include <doctest/doctest.h>

#include <utility>

using namespace std::chrono_literals;

namespace {

/// Counts calls. A long poll that finds no records is never completed. While
/// `HoldReads` is set, the test completes the reads itself.
class CountingStore final : public platformlog::KeyedStore {
public:
  explicit CountingStore(eventloop::EventLoop &Loop) : Loop(Loop) {}

  void readNewestRecords(const std::string &, Callback Done) override {
    ++Calls;
    Loop.post([this, Done = std::move(Done)] { Done(recordsAfter({})); });
  }

  void read(const std::string &, base::LogOffset After, base::Duration Wait,
            Callback Done) override {
    ++Calls;
    if (HoldReads) {
      HeldReads.emplace_back(After, std::move(Done));
      return;
    }
    if (Wait > 0ms && recordsAfter(After).Page.Records.empty())
      return;
    Loop.post(
        [this, After, Done = std::move(Done)] { Done(recordsAfter(After)); });
  }

  void append(const std::string &, const platformlog::KeyedRecord &,
              std::optional<base::LogOffset>, Callback) override {}

  void addRecord(const std::string &Key) {
    Records.push_back({base::LogOffset(Records.size() + 1), Key, "value"});
  }

  platformlog::StoreResult recordsAfter(base::LogOffset Offset) const {
    platformlog::StoreResult Result;
    Result.Status = platformlog::StoreStatus::Done;
    for (const platformlog::KeyedRecord &Each : Records)
      if (Each.Offset > Offset)
        Result.Page.Records.push_back(Each);
    return Result;
  }

  int Calls = 0;
  bool HoldReads = false;
  std::vector<std::pair<base::LogOffset, Callback>> HeldReads;

private:
  eventloop::EventLoop &Loop;
  std::vector<platformlog::KeyedRecord> Records;
};

struct Fixture final : platformlog::StreamListener {
  void onRecord(const platformlog::KeyedRecord &Record) override {
    ReceivedKeys.push_back(Record.Key);
  }
  void onCaughtUp(base::LogOffset) override {}
  void onReachabilityChanged(bool, const std::string &) override {}

  void runFor(base::Duration Length) {
    Loop.startTimer(Length, [this] { Loop.stop(); });
    Loop.run();
  }

  base::SystemClock Clock;
  eventloop::EventLoop Loop{Clock};
  CountingStore Store{Loop};
  std::vector<std::string> ReceivedKeys;
};

} // namespace

// Load pattern: all daemons of a fleet announce themselves at once. Guards
// against a separate read by each daemon for each announcement.
TEST_CASE("a follower with a poll interval reads many records in one call") {
  Fixture Test;
  platformlog::StreamFollower Follower({"s", {0ms, 200ms}}, Test.Loop,
                                       Test.Store, Test);
  Follower.start();
  Test.runFor(20ms);
  for (int Count = 0; Count < 50; ++Count) {
    Test.Store.addRecord("member");
    Test.runFor(1ms);
  }
  Test.runFor(250ms);
  CHECK(Test.ReceivedKeys.size() == 50);
  CHECK(Test.Store.Calls <= 4);
}

// Guards against records that are read only after the poll interval
// although another daemon has reported them.
TEST_CASE("an offset reported by another daemon triggers a read at once") {
  Fixture Test;
  platformlog::StreamFollower Follower({"s", {0ms, 10s}}, Test.Loop, Test.Store,
                                       Test);
  Follower.start();
  Test.runFor(20ms);
  Test.Store.addRecord("policy");
  Follower.catchUpTo(base::LogOffset(1));
  Test.runFor(20ms);
  CHECK(Test.ReceivedKeys == std::vector<std::string>{"policy"});
  Test.Store.addRecord("policy");
  Follower.setPollTiming({1s, 0ms});
  Test.runFor(20ms);
  CHECK(Test.ReceivedKeys.size() == 2);
}

// Guards against discarding the response to a read after `catchUpTo` has
// started the next one. From a store that responds more slowly than the 200 ms
// between these reads, no records would be delivered while they continue.
TEST_CASE("the records of a superseded read are delivered once") {
  Fixture Test;
  platformlog::StreamFollower Follower({"s", {0ms, 10s}}, Test.Loop, Test.Store,
                                       Test);
  Follower.start();
  Test.runFor(20ms);
  Test.Store.HoldReads = true;
  Test.Store.addRecord("policy");
  Follower.catchUpTo(base::LogOffset(1));
  Test.runFor(250ms);
  Follower.catchUpTo(base::LogOffset(1));
  REQUIRE(Test.Store.HeldReads.size() == 2);
  for (const auto &[After, Done] : Test.Store.HeldReads)
    Done(Test.Store.recordsAfter(After));
  CHECK(Test.ReceivedKeys.size() == 1);
}
