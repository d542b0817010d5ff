#include "relay/logreaderrole.h"

#include <doctest/doctest.h>

#include <vector>

using namespace std::chrono_literals;
using relay::LogReaderRole;

namespace {

/// Longest time from a read to the next one by another daemon.
constexpr base::Duration kLongestTakeover = 1200ms;
constexpr base::Duration kTick = 20ms;

/// The daemons of a data centre, in their order. Each daemon that reads tells
/// all others.
struct Fixture {
  explicit Fixture(std::size_t Size) : CanRead(Size, true) {
    for (std::size_t Rank = 0; Rank < Size; ++Rank)
      Roles.emplace_back(Clock).setRank(Rank);
  }

  /// One tick: those whose turn it is read, unless they can't.
  void tick() {
    Clock.advance(kTick);
    for (std::size_t Rank = 0; Rank < Roles.size(); ++Rank) {
      const bool TookOver = Roles[Rank].takeOverIfDue();
      const bool Due = Roles[Rank].isReader() &&
                       Roles[Rank].timeSinceRead() >= kReadInterval;
      if ((TookOver || Due) && CanRead[Rank])
        read(Rank);
    }
  }

  void read(std::size_t Reader) {
    ++Reads;
    LastRead = Clock.now();
    Roles[Reader].onOwnRead();
    for (std::size_t Rank = 0; Rank < Roles.size(); ++Rank)
      if (Rank != Reader)
        Roles[Rank].onPeerRead(Reader < Rank);
  }

  /// Longest time without a read during `Length`.
  base::Duration longestGap(base::Duration Length) {
    base::Duration Longest{};
    for (const base::BootTime End = Clock.now() + Length; Clock.now() < End;) {
      tick();
      Longest = std::max(Longest, Clock.now() - LastRead);
    }
    return Longest;
  }

  static constexpr base::Duration kReadInterval = 450ms;

  base::ManualClock Clock;
  std::vector<LogReaderRole> Roles;
  std::vector<bool> CanRead;
  int Reads = 0;
  base::BootTime LastRead = Clock.now();
};

} // namespace

TEST_CASE("only the first daemon of a data centre reads while it can") {
  Fixture Test(13);
  Test.longestGap(10s);
  CHECK(Test.Reads <= 23);
  CHECK(Test.Reads >= 20);
  for (std::size_t Rank = 1; Rank < Test.Roles.size(); ++Rank)
    CHECK(!Test.Roles[Rank].isReader());
}

// Guards against a data centre that stays on an old policy because the daemon
// that reads for it can't reach the store.
TEST_CASE("another daemon reads when those before it can't") {
  std::size_t Failed = 1;
  SUBCASE("the first one") {}
  SUBCASE("three of four") { Failed = 3; }
  Fixture Test(4);
  Test.longestGap(3s);
  for (std::size_t Rank = 0; Rank < Failed; ++Rank)
    Test.CanRead[Rank] = false;
  CHECK(Test.longestGap(5s) <= kLongestTakeover);
  CHECK(Test.Roles[Failed].isReader());
  // The role returns, and the substitutes stop.
  Test.CanRead.assign(4, true);
  CHECK(Test.longestGap(2s) <= kLongestTakeover);
  CHECK(Test.Roles[0].isReader());
  for (std::size_t Rank = 1; Rank < 4; ++Rank)
    CHECK(!Test.Roles[Rank].isReader());
}

TEST_CASE("in a large data centre a reader is found as fast") {
  Fixture Test(240);
  Test.longestGap(3s);
  Test.CanRead.assign(240, false);
  Test.CanRead.back() = true;
  CHECK(Test.longestGap(5s) <= 1300ms);
}

// Guards against a daemon that waits for others after it was paused.
TEST_CASE("a daemon that was paused reads at once") {
  base::ManualClock Clock;
  LogReaderRole Role(Clock);
  Role.setRank(2);
  Role.onPeerRead(true);
  CHECK(!Role.takeOverIfDue());
  Clock.advance(4s);
  CHECK(Role.takeOverIfDue());
  CHECK(!Role.takeOverIfDue());
  CHECK(Role.isReader());
  Role.onPeerRead(false);
  CHECK(Role.isReader());
  Role.onPeerRead(true);
  CHECK(!Role.isReader());
}
