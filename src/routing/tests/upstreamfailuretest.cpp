#include "routing/tests/routerfixture.h"

using namespace routing;
using namespace routing::tests;

TEST_CASE("after a connection failure an upstream is ejected, then tested "
          "with single requests after growing backoffs") {
  Fixture F;
  F.put("good");
  const base::ProcessId Bad = F.put("bad");
  while (F.call(CallResult::Responded) != "bad") {
  }
  auto Chosen = F.choose(F.context());
  while (Chosen->Process != Bad)
    Chosen = F.choose(F.context());
  F.TestRouter.finish(*Chosen, {CallResult::ConnectionFailed, -1, 0},
                      F.Clock.now());
  CHECK(F.countCalls(100)["bad"] == 0);
  base::Duration Last{};
  for (int Round = 0; Round < 3; ++Round) {
    const base::Duration Wait =
        F.Table.find(Bad)->Outlier.backoffEnd() - F.Clock.now();
    CHECK(Wait > Last);
    Last = Wait;
    F.Clock.advance(Wait);
    const auto Trial = F.choose(F.context());
    REQUIRE(Trial);
    CHECK(Trial->Process == Bad);
    CHECK(Trial->Trial);
    CHECK(F.countCalls(100)["bad"] == 0);
    F.TestRouter.finish(*Trial, {CallResult::Failed, -1, 0}, F.Clock.now());
  }
  F.Clock.advance(1min);
  CHECK(F.call(CallResult::Responded) == "bad");
  CHECK(F.countCalls(100)["bad"] > 20);
}

TEST_CASE("an abandoned trial allows another one, so that the upstream does "
          "not stay ejected for ever") {
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

TEST_CASE("an upstream that refuses a call as draining gets no more calls, "
          "even before membership reports it as draining") {
  Fixture F;
  F.put("x");
  F.call(CallResult::Draining);
  CHECK(F.call() == "-");
  F.put("y");
  CHECK(F.countCalls(20)["y"] == 20);
}

TEST_CASE("refusals by the near locality move calls to the next one "
          "gradually, and back when they end") {
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
      const bool Near = Chosen->Locality == Locality::OwnDataCentre;
      const CallResult Result =
          Near && NearFull ? CallResult::Overloaded : CallResult::Responded;
      F.TestRouter.finish(*Chosen, {Result, 0, 0}, F.Clock.now());
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

TEST_CASE("if the next locality refuses calls as well, spillover stays small "
          "instead of moving all calls there") {
  Fixture F;
  for (const char *Name : {"n1", "n2"})
    F.put(Name);
  for (const char *Name : {"m1", "m2"})
    F.put(Name, "a2");
  int Far = 0;
  for (int Step = 0; Step < 10000; ++Step) {
    const auto Chosen = F.choose(F.context());
    Far += Chosen->Locality != Locality::OwnDataCentre;
    F.TestRouter.finish(*Chosen, {CallResult::Overloaded, 0, 0}, F.Clock.now());
    F.Clock.advance(1ms);
  }
  CHECK(Far < 1500);
}
