#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

/// An entry daemon and a serving daemon with its backend server.
struct SmallFleet {
  SmallFleet()
      : Entry(Fleet.addDaemon({.Instance = "entry"})),
        Serving(
            Fleet.addDaemon({.Instance = "serving", .Service = "bookings"})) {
    Fleet.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    Backend = &Fleet.addBackend(Serving);
    REQUIRE(
        FleetUnderTest::waitUntilServed(Entry, "/bookings/orders", kGoldKey));
  }

  FleetUnderTest Fleet;
  DaemonUnderTest &Entry;
  DaemonUnderTest &Serving;
  BackendUnderTest *Backend = nullptr;
};

/// The tests share one fleet, because a new fleet grants no permits for the
/// first 15 s.
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

// Guards against keys that reach the backend server in a spelling or a part of
// the request that the entry daemon does not check.
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
      // `X-Copy` checks that a key is removed from a header of any name.
      const http::Request Request{
          "POST", "/bookings/open", Query, {Spelling, {"X-Copy", Key}}, ""};
      REQUIRE(send(Shared.Entry.callerUrl(), Request).Outcome == "ran");
      const std::string Seen = fetchPage(Shared.Backend->url(), "/-/last");
      CHECK(Seen.find("query") == 0);
      CHECK(Seen.find("key-of-the-gold") == std::string::npos);
      CHECK(Seen.find("key%2Dof") == std::string::npos);
    }
  }
}

// Guards against handles that stay valid after their request, so that a backend
// server could act for a workspace without a request of it.
TEST_CASE("a handle is refused after its request and at "
          "another daemon") {
  const SmallFleet &Shared = sharedFleet();
  const http::Request OpenRequest{"POST", "/bookings/open", "", {}, ""};
  const auto InnerRequest = [](const std::string &Handle) {
    return http::Request{"POST",
                         "/bookings/open",
                         "",
                         {{"Jackdaw-Handle", Handle}, {"X-Order", "inner"}},
                         ""};
  };
  REQUIRE(send(Shared.Entry.callerUrl(), OpenRequest).Outcome == "ran");
  const std::string ExpiredHandle =
      handleIn(fetchPage(Shared.Backend->url(), "/-/last"));
  CHECK(send(Shared.Serving.callerUrl(), InnerRequest(ExpiredHandle)).Error ==
        "handle_unknown");

  Shared.Backend->setWorkTime(std::chrono::seconds(2));
  Response SlowResponse;
  std::thread Caller(
      [&] { SlowResponse = send(Shared.Entry.callerUrl(), OpenRequest); });
  std::string CurrentHandle;
  const bool Running = waitUntil([&] {
    const std::string Last = fetchPage(Shared.Backend->url(), "/-/last");
    CurrentHandle = Last.find("Jackdaw-Handle") == std::string::npos
                        ? ExpiredHandle
                        : handleIn(Last);
    return CurrentHandle != ExpiredHandle;
  });
  const Response AtOtherDaemon =
      send(Shared.Entry.callerUrl(), InnerRequest(CurrentHandle));
  Caller.join();
  Shared.Backend->setWorkTime(std::chrono::seconds(0));
  REQUIRE(Running);
  CAPTURE(SlowResponse.Error);
  CHECK(SlowResponse.Outcome == "ran");
  CHECK(AtOtherDaemon.Error == "handle_unknown");
  CHECK(AtOtherDaemon.Outcome == "not-run");
  CHECK(send(Shared.Serving.callerUrl(), InnerRequest(CurrentHandle)).Error ==
        "handle_unknown");
  CHECK_FALSE(Shared.Backend->executions().contains("inner"));
}

// Guards against daemons that check the key only when a connection is opened.
TEST_CASE("a withdrawn key is refused on an open connection") {
  const SmallFleet &Shared = sharedFleet();
  http::Client KeptConnection;
  REQUIRE(send(KeptConnection, Shared.Entry.callerUrl(),
               withKey("/bookings/orders", kGoldKey))
              .Outcome == "ran");
  REQUIRE(Shared.Fleet.publish(
              {{"bookings.toml", serviceFile({{"tin", kTinKey}})}}) == 0);
  CHECK(waitUntil(
      [&] {
        return send(KeptConnection, Shared.Entry.callerUrl(),
                    withKey("/bookings/orders", kGoldKey))
                   .Error == "key_unknown";
      },
      std::chrono::seconds(10)));
  CHECK(send(KeptConnection, Shared.Entry.callerUrl(),
             withKey("/bookings/orders", kTinKey))
            .Outcome == "ran");
}

TEST_SUITE_END();
