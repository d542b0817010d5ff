#include "routing/tests/routerfixture.h"

#include <chrono>

using namespace routing;
using namespace routing::tests;

TEST_CASE("the nearest locality is used, and a farther one only if the "
          "deadline leaves time for the round trip") {
  Fixture F;
  F.put("far", "b1");
  CHECK_FALSE(F.choose(F.context(50ms)));
  CHECK(F.Failure == base::ErrorKind::NoUpstream);
  CHECK(F.choose(F.context(80ms)));
  F.put("region", "a2");
  CHECK(F.countCalls(50)["region"] == 50);
  CHECK_FALSE(F.choose(F.context(4ms)));
  F.put("own", "a1");
  CHECK(F.countCalls(50)["own"] == 50);
  CHECK(F.choose(F.context(1ms)));
  CHECK_FALSE(F.choose(F.context(0ms)));
  CHECK(F.Failure == base::ErrorKind::DeadlineExceeded);
}

TEST_CASE("draining, stopped and dead upstreams are never chosen, suspect and "
          "silent ones only if there is no other") {
  Fixture F;
  F.put("draining", "a1", MemberState::Draining);
  F.put("stopped", "a1", MemberState::Stopped);
  F.put("dead", "a1", MemberState::Dead);
  CHECK(F.call() == "-");
  F.put("suspect", "a1", MemberState::Suspect);
  CHECK(F.call() == "suspect");
  F.put("silent", "a1", MemberState::Alive, 1h, true);
  F.put("far", "b1");
  CHECK(F.countCalls(200)["far"] == 200);
}

TEST_CASE("a retry does not go to an upstream that was already attempted") {
  Fixture F;
  SelectionContext Context = F.context();
  Context.Excluded = {F.put("x"), F.put("y")};
  CHECK_FALSE(F.choose(Context));
  F.put("z");
  for (int Index = 0; Index < 50; ++Index)
    CHECK(F.choose(Context)->Process.Instance.str() == "z");
}

TEST_CASE("own calls in flight and the load in the last response steer calls "
          "away from busy upstreams, and old reports expire") {
  Fixture F;
  const base::ProcessId Busy = F.put("busy");
  for (int Index = 0; Index < 10; ++Index)
    CHECK(F.choose(F.context()));
  F.put("idle");
  CHECK(F.countCalls(100)["idle"] > 80);
  Fixture G;
  G.put("loaded");
  G.call(CallResult::Responded, 50);
  G.put("idle");
  CHECK(G.countCalls(100)["loaded"] == 0);
  G.Clock.advance(6s);
  CHECK(G.countCalls(100)["loaded"] > 20);
}

TEST_CASE("an upstream that wrongly reports to be idle gets no more calls "
          "than it completes, since own calls in flight count") {
  Fixture F;
  F.put("accurate");
  F.put("misreporting");
  int Stuck = 0;
  for (int Index = 0; Index < 200; ++Index) {
    const auto Chosen = F.choose(F.context());
    REQUIRE(Chosen);
    if (Chosen->Process.Instance.str() == "misreporting")
      ++Stuck;
    else
      F.TestRouter.finish(*Chosen, {CallResult::Responded, 3, 0},
                          F.Clock.now());
  }
  CHECK(Stuck <= 5);
}

TEST_CASE("a cold upstream gets a growing share, so that it is not overloaded "
          "at its start") {
  Fixture F;
  F.Table.configure(F.Service, {20s, 2ms});
  for (const char *Name : {"w1", "w2", "w3"})
    F.put(Name);
  F.put("cold", "a1", MemberState::Alive, 0s);
  const int AtStart = F.countCalls(4000)["cold"];
  F.Clock.advance(10s);
  const int HalfWay = F.countCalls(4000)["cold"];
  F.Clock.advance(11s);
  const int Warm = F.countCalls(4000)["cold"];
  CHECK(AtStart < 150);
  CHECK(AtStart > 0);
  CHECK(HalfWay > 300);
  CHECK(HalfWay < 800);
  CHECK(Warm > 850);
}

TEST_CASE("a new process of an instance starts with no history, and late "
          "results of calls to the old one do not count for it") {
  Fixture F;
  F.put("x");
  const auto Old = F.choose(F.context());
  REQUIRE(Old);
  F.StartTimes["x"] += 1000;
  const base::ProcessId New = F.put("x");
  CHECK(F.Table.find(Old->Process) == nullptr);
  CHECK(F.choose(F.context()));
  F.TestRouter.finish(*Old, {CallResult::ConnectionFailed, -1, 0},
                      F.Clock.now());
  CHECK(F.Table.find(New)->InFlight == 1);
  CHECK_FALSE(F.Table.find(New)->Outlier.ejected());
}

TEST_CASE("the table applies changes of membership: new states, and the "
          "removal of members") {
  Fixture F;
  membership::MemberTable Members;
  membership::Member Record;
  Record.Instance = base::InstanceId("x");
  Record.DataCentre = base::DataCentreId("a1");
  Record.Region = F.Own;
  Record.Service = F.Service;
  const auto Apply = [&] {
    F.Table.applyChanges(Members, Members.takeChanges(), F.Clock.now(),
                         F.Clock.wallNow());
  };
  Members.merge(Record, F.Clock.now());
  Apply();
  CHECK(F.call() == "x");
  Record.State = MemberState::Stopped;
  Record.StateVersion = 1;
  Members.merge(membership::claimOf(Record), F.Clock.now());
  Apply();
  CHECK(F.call() == "-");
  F.Clock.advance(membership::kMemberRetention);
  Members.removeExpired(F.Clock.now());
  Apply();
  CHECK(F.Table.size() == 0);
}

TEST_CASE("removal of upstreams keeps the others at valid positions") {
  Fixture F;
  for (int Index = 0; Index < 20; ++Index)
    F.put("u" + std::to_string(Index), Index % 2 ? "a1" : "a2");
  for (int Index = 1; Index < 20; Index += 4)
    F.Table.remove(base::InstanceId("u" + std::to_string(Index)));
  const auto Counts = F.countCalls(2000);
  CHECK(Counts.size() == 5);
  CHECK(F.Table.size() == 15);
  CHECK_FALSE(Counts.contains("u1"));
}

TEST_CASE("scale: a choice among 2,400 upstreams takes a few microseconds") {
  Fixture F;
  for (int Index = 0; Index < 2400; ++Index)
    F.put("u" + std::to_string(Index), "a" + std::to_string(Index % 4 + 1));
  constexpr int Count = 200000;
  const auto Start = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Count; ++Index)
    F.call();
  const std::chrono::duration<double, std::micro> Time =
      std::chrono::steady_clock::now() - Start;
  MESSAGE("choose and finish: " << Time.count() / Count << " us");
  CHECK(Time.count() / Count < 20);
}
