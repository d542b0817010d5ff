#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

/// An entry daemon and a serving daemon with its backend server.
struct SmallFleet {
  SmallFleet()
      : Entry(All.addDaemon({.Instance = "entry"})),
        Serving(All.addDaemon({.Instance = "serving", .Service = "bookings"})) {
    All.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    Backend = &All.addBackend(Serving);
    REQUIRE(Fleet::serves(Entry, "/bookings/orders", kGoldKey));
  }

  Fleet All;
  DaemonUnderTest &Entry;
  DaemonUnderTest &Serving;
  BackendUnderTest *Backend = nullptr;
};

/// The tests share a fleet, since a new one grants no permits for a while.
SmallFleet &sharedFleet() {
  static SmallFleet Shared;
  return Shared;
}

http::Request withKey(const char *Path, const char *Key) {
  return {"POST", Path, "", {{"Jackdaw-Key", Key}}, ""};
}

std::string handleIn(const std::string &LastRequest) {
  const std::string Name = "Jackdaw-Handle: ";
  const std::size_t Start = LastRequest.find(Name);
  REQUIRE(Start != std::string::npos);
  return LastRequest.substr(Start + Name.size(), 32);
}

} // namespace

TEST_SUITE_BEGIN("identity");

// Guards against keys that reach the backend server in a spelling or place
// that the entry daemon does not look at.
TEST_CASE("no backend server sees a caller's key") {
  const SmallFleet &Shared = sharedFleet();
  const std::string Key = kGoldKey;
  const std::vector<http::Header> Spellings{
      {"Jackdaw-Key", Key},
      {"JACKDAW-KEY", Key},
      {"jackdaw_key", Key},
      {"Authorization", "Bearer " + Key},
      {"AUTHORIZATION", "bearer  " + Key}};
  for (const http::Header &Spelling : Spellings) {
    for (const std::string Query :
         {"", "jackdaw_key=key-of-the-gold-workspace&x=1",
          "x=1&Jackdaw%5Fkey=key%2Dof-the-gold-workspace",
          "other=key-of-the-gold-workspace"}) {
      CAPTURE(Spelling.Name);
      CAPTURE(Query);
      // The copy shows that a key in a header of another name is found too.
      const http::Request Request{
          "POST", "/bookings/open", Query, {Spelling, {"X-Copy", Key}}, ""};
      REQUIRE(send(Shared.Entry.callerUrl(), Request).Outcome == "ran");
      const std::string Seen = page(Shared.Backend->url(), "/-/last");
      CHECK(Seen.find("query") == 0);
      CHECK(Seen.find("key-of-the-gold") == std::string::npos);
      CHECK(Seen.find("key%2Dof") == std::string::npos);
    }
  }
}

// Guards against handles that outlive their request, and thus let a backend
// server act for a workspace that no longer asks for anything.
TEST_CASE("a handle is refused after its request and at "
          "another daemon") {
  const SmallFleet &Shared = sharedFleet();
  const http::Request Ask{"POST", "/bookings/open", "", {}, ""};
  const auto Inner = [](const std::string &Handle) {
    return http::Request{"POST",
                         "/bookings/open",
                         "",
                         {{"Jackdaw-Handle", Handle}, {"X-Order", "inner"}},
                         ""};
  };
  REQUIRE(send(Shared.Entry.callerUrl(), Ask).Outcome == "ran");
  const std::string Ended = handleIn(page(Shared.Backend->url(), "/-/last"));
  CHECK(send(Shared.Serving.callerUrl(), Inner(Ended)).Error ==
        "handle_unknown");

  Shared.Backend->setWorkTime(std::chrono::seconds(2));
  Answer Slow;
  std::thread Caller([&] { Slow = send(Shared.Entry.callerUrl(), Ask); });
  std::string Open;
  const bool Running = waitUntil([&] {
    const std::string Last = page(Shared.Backend->url(), "/-/last");
    Open = Last.find("Jackdaw-Handle") == std::string::npos ? Ended
                                                            : handleIn(Last);
    return Open != Ended;
  });
  const Answer Foreign = send(Shared.Entry.callerUrl(), Inner(Open));
  Caller.join();
  Shared.Backend->setWorkTime(std::chrono::seconds(0));
  REQUIRE(Running);
  CAPTURE(Slow.Error);
  CHECK(Slow.Outcome == "ran");
  CHECK(Foreign.Error == "handle_unknown");
  CHECK(Foreign.Outcome == "not-run");
  CHECK(send(Shared.Serving.callerUrl(), Inner(Open)).Error ==
        "handle_unknown");
  CHECK_FALSE(Shared.Backend->executions().contains("inner"));
}

// Guards against daemons that check the key only when a connection opens.
TEST_CASE("a withdrawn key stops on an open connection") {
  const SmallFleet &Shared = sharedFleet();
  http::Client Kept;
  REQUIRE(send(Kept, Shared.Entry.callerUrl(),
               withKey("/bookings/orders", kGoldKey))
              .Outcome == "ran");
  REQUIRE(Shared.All.publish(
              {{"bookings.toml", serviceFile({{"tin", kTinKey}})}}) == 0);
  CHECK(waitUntil(
      [&] {
        return send(Kept, Shared.Entry.callerUrl(),
                    withKey("/bookings/orders", kGoldKey))
                   .Error == "key_unknown";
      },
      std::chrono::seconds(10)));
  CHECK(
      send(Kept, Shared.Entry.callerUrl(), withKey("/bookings/orders", kTinKey))
          .Outcome == "ran");
}

TEST_SUITE_END();
