#include "process/fleet.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <random>

using namespace process;

namespace {

constexpr int kOrders = 12;

/// A UUIDv7 minted now.
std::string mintKey() {
  static std::mt19937_64 Random(std::random_device{}());
  const auto Millis = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  const unsigned long long Low = Random();
  std::array<char, 37> Text{};
  std::snprintf(Text.data(), Text.size(),
                "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                (Millis >> 16) & 0xffffffff, Millis & 0xffff, Low & 0xfff,
                (Low >> 12) & 0xfff, (Low >> 16) & 0xffffffffffff);
  return Text.data();
}

/// An order with its key, which a caller may repeat.
struct KeyedOrder {
  std::string Order;
  std::string Key = mintKey();

  Answer sendTo(const DaemonUnderTest &Entry) const {
    return send(Entry.callerUrl(), {"POST",
                                    "/bookings/orders",
                                    "",
                                    {{"Jackdaw-Key", kGoldKey},
                                     {"Idempotency-Key", Key},
                                     {"X-Order", Order}},
                                    Order});
  }
};

/// The records live in dc1, so the entry daemon in dc2 may die without them.
struct KeyedFleet {
  KeyedFleet()
      : Owner(All.addDaemon({.Instance = "owner"})),
        Entry(All.addDaemon({.Instance = "entry", .DataCentre = "dc2"})),
        OtherEntry(All.addDaemon({.Instance = "entry2", .DataCentre = "dc2"})),
        Serving(All.addDaemon({.Instance = "serving",
                               .DataCentre = "dc2",
                               .Service = "bookings"})) {
    All.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    Backend = &All.addBackend(Serving);
    REQUIRE(Fleet::serves(OtherEntry, "/bookings/orders", kGoldKey));
  }

  /// Sends new orders until one runs, since owners don't vouch for keys minted
  /// soon after their start. None of the others may claim to have run.
  KeyedOrder firstServed(const std::string &Prefix, Answer &First) const {
    KeyedOrder Last;
    int Count = 0;
    REQUIRE(waitUntil([&] {
      Last = {.Order = Prefix + std::to_string(++Count)};
      First = Last.sendTo(Entry);
      if (First.Outcome == "ran")
        return true;
      CHECK_FALSE(Backend->executions().contains(Last.Order));
      return false;
    }));
    return Last;
  }

  Fleet All;
  DaemonUnderTest &Owner;
  DaemonUnderTest &Entry;
  DaemonUnderTest &OtherEntry;
  DaemonUnderTest &Serving;
  BackendUnderTest *Backend = nullptr;
};

} // namespace

TEST_SUITE_BEGIN("idempotency");

// Guards against a repeat that runs again because it takes another way, also
// when the daemon of the first attempt has died.
TEST_CASE_FIXTURE(KeyedFleet, "a repeat through another daemon runs once and "
                              "returns the first answer") {
  Answer First;
  const KeyedOrder Order = firstServed("repeat", First);
  const Answer Repeat = Order.sendTo(OtherEntry);
  CHECK(Repeat.Outcome == "ran");
  CHECK(Repeat.Body == First.Body);
  CHECK(Repeat.Body == "bookings POST /orders " + Order.Order + "\n");

  const KeyedOrder Next = firstServed("killed", First);
  Entry.process().kill();
  const Answer After = Next.sendTo(OtherEntry);
  CHECK(After.Outcome == "ran");
  CHECK(After.Body == First.Body);
  for (const auto &Each : Backend->executions()) {
    CAPTURE(Each.first);
    CHECK(Each.second == 1);
  }
}

// Guards against a new owner that takes a repeat for a first attempt because
// the records have died with the old owner.
TEST_CASE_FIXTURE(KeyedFleet, "repeats never run again after the owner of "
                              "their records was killed and started again") {
  Answer First;
  std::vector<KeyedOrder> Orders{firstServed("first", First)};
  for (int Number = 0; Number < kOrders; ++Number) {
    Orders.push_back({.Order = "more" + std::to_string(Number)});
    CHECK(Orders.back().sendTo(Entry).Outcome == "ran");
  }
  Owner.process().kill();
  Owner.start();
  Answer Later;
  const KeyedOrder New = firstServed("new", Later);
  for (const KeyedOrder &Each : Orders) {
    CAPTURE(Each.Order);
    CHECK(Each.sendTo(OtherEntry).Outcome == "unknown");
    CHECK(Backend->executions()[Each.Order] == 1);
  }
  CHECK(New.sendTo(OtherEntry).Body == Later.Body);
}

TEST_SUITE_END();
