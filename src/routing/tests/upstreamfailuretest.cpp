#include "routing/tests/routerfixture.h"

using namespace routing;
using namespace routing::tests;

TEST_CASE("after a connection failure an upstream is passed over, then tested "
          "with a single request, with growing backoff") {
  Fixture F;
  F.put("good");
  const base::ProcessId Bad = F.put("bad");
  while (F.call(CallResult::Responded) != "bad") {
  }
  auto Chosen = F.choose(F.context());
  while (Chosen->Process != Bad)
    Chosen = F.choose(F.context());
  F.Calls.finish(*Chosen, {CallResult::ConnectionFailed, -1, 0}, F.Clock.now());
  CHECK(F.spread(100)["bad"] == 0);
  base::Duration Last{};
  for (int Round = 0; Round < 3; ++Round) {
    const base::Duration Wait =
        F.Table.find(Bad)->Outlier.until() - F.Clock.now();
    CHECK(Wait > Last);
    Last = Wait;
    F.Clock.advance(Wait);
    const auto Trial = F.choose(F.context());
    REQUIRE(Trial);
    CHECK(Trial->Process == Bad);
    CHECK(Trial->Trial);
    CHECK(F.spread(100)["bad"] == 0);
    F.Calls.finish(*Trial, {CallResult::Failed, -1, 0}, F.Clock.now());
  }
  F.Clock.advance(1min);
  CHECK(F.call(CallResult::Responded) == "bad");
  CHECK(F.spread(100)["bad"] > 20);
}

TEST_CASE("an abandoned trial allows another one, or the upstream would stay "
          "ejected for good") {
  Fixture F;
  F.put("x");
  F.put("good");
  while (F.call(CallResult::ConnectionFailed) != "x") {
  }
  F.Clock.advance(2s);
  std::map<std::string, int> Counts;
  for (int Index = 0; Index < 10; ++Index)
    ++Counts[F.call(CallResult::Abandoned)];
  CHECK(Counts["x"] + Counts["good"] == 10);
  CHECK(Counts["x"] >= 5);
}

TEST_CASE("errors alone eject at most a third of the upstreams, and not even "
          "connection failures of all of them make a service unreachable") {
  Fixture F;
  for (int Index = 0; Index < 9; ++Index)
    F.put("u" + std::to_string(Index));
  for (int Index = 0; Index < 500; ++Index)
    F.call(CallResult::Failed);
  CHECK(F.Table.service(F.Service)->Ejected == 3);
  for (int Index = 0; Index < 500; ++Index)
    CHECK(F.call(CallResult::ConnectionFailed) != "-");
  CHECK(F.Table.service(F.Service)->Ejected == 9);
  F.Clock.advance(1h);
  for (int Index = 0; Index < 9; ++Index)
    F.call();
  CHECK(F.Table.service(F.Service)->Ejected == 0);
}

TEST_CASE("an upstream that refuses as draining gets nothing more before "
          "membership says so") {
  Fixture F;
  F.put("x");
  F.call(CallResult::Draining);
  CHECK(F.call() == "-");
  F.put("y");
  CHECK(F.spread(20)["y"] == 20);
}

TEST_CASE("refusals by the near locality move calls to the next one step by "
          "step, and back when they end") {
  Fixture F;
  for (const char *Name : {"n1", "n2", "n3"})
    F.put(Name);
  for (const char *Name : {"m1", "m2", "m3"})
    F.put(Name, "a2");
  bool NearFull = true;
  const auto FarShare = [&](base::Duration Length) {
    int Far = 0;
    int All = 0;
    for (base::Duration Done{}; Done < Length; Done += 1ms, ++All) {
      const auto Chosen = F.choose(F.context());
      const bool Near = Chosen->Place == Locality::OwnCentre;
      const CallResult Result =
          Near && NearFull ? CallResult::Overloaded : CallResult::Responded;
      F.Calls.finish(*Chosen, {Result, 0, 0}, F.Clock.now());
      Far += !Near;
      F.Clock.advance(1ms);
    }
    return double(Far) / All;
  };
  CHECK(FarShare(200ms) < 0.01);
  CHECK(FarShare(200ms) < 0.1);
  CHECK(FarShare(400ms) < 0.2);
  FarShare(5s);
  const double Full = FarShare(1s);
  CHECK(Full > 0.8);
  CHECK(Full < 0.97);
  NearFull = false;
  FarShare(5s);
  CHECK(FarShare(1s) < 0.02);
}

TEST_CASE("if the next locality refuses as well, spilling stays small instead "
          "of pushing all calls there") {
  Fixture F;
  for (const char *Name : {"n1", "n2"})
    F.put(Name);
  for (const char *Name : {"m1", "m2"})
    F.put(Name, "a2");
  int Far = 0;
  for (int Step = 0; Step < 10000; ++Step) {
    const auto Chosen = F.choose(F.context());
    Far += Chosen->Place != Locality::OwnCentre;
    F.Calls.finish(*Chosen, {CallResult::Overloaded, 0, 0}, F.Clock.now());
    F.Clock.advance(1ms);
  }
  CHECK(Far < 1500);
}
