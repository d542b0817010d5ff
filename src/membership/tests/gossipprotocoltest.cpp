#include "membership/tests/fakenetwork.h"

#include <algorithm>

using namespace membership;
using namespace membership::tests;

TEST_CASE("daemons that know only seeds find each other") {
  FakeNetwork Net(1, 24);
  Net.run(15s);
  CHECK(Net.converged());
}

TEST_CASE("a daemon without seeds joins through members announced in the log, "
          "and announced members that no longer exist stay unusable") {
  FakeNetwork Net(2, 12);
  Net.run(15s);
  Net.kill(11);
  Net.Nodes[10].Record.Incarnation = base::Incarnation(2000);
  Net.Nodes[10].Protocol = std::make_unique<GossipProtocol>(
      GossipSettings{Net.Nodes[10].Record, {}, 5}, Net.Clock.now());
  GossipProtocol &Joiner = *Net.Nodes[10].Protocol;
  Joiner.mergeAnnouncement(Net.Nodes[11].Record);
  Joiner.mergeAnnouncement(Net.Nodes[4].Record);
  CHECK_FALSE(Joiner.isUsable(Net.Nodes[11].Record.process()));
  Net.run(30s);
  CHECK(Net.converged());
  CHECK(Joiner.isUsable(Net.Nodes[4].Record.process()));
  CHECK_FALSE(Joiner.isUsable(Net.Nodes[11].Record.process()));
}

TEST_CASE(
    "draining and stopped states reach every daemon within two seconds at "
    "10 % loss, in a fleet too large for one member to reach alone") {
  FakeNetwork Net(3, 200);
  Net.run(30s);
  REQUIRE(Net.converged());
  Net.Loss = 0.1;
  std::size_t Node = 5;
  for (const MemberState State :
       {MemberState::Draining, MemberState::Stopped}) {
    Net.announce(Node, State);
    Net.run(1900ms);
    for (std::size_t Observer = 0; Observer < Net.Nodes.size(); ++Observer)
      CHECK(Net.stateInView(Observer, Node) == State);
  }
  const base::ProcessId Process = Net.Nodes[Node].Record.process();
  CHECK_FALSE(Net.Nodes[0].Protocol->isUsable(Process));
}

TEST_CASE("a killed member is unusable, then dead, everywhere") {
  FakeNetwork Net(4, 24);
  Net.run(15s);
  const base::ProcessId Process = Net.Nodes[7].Record.process();
  Net.kill(7);
  Net.Nodes[3].Protocol->reportSilent(Process);
  CHECK_FALSE(Net.Nodes[3].Protocol->isUsable(Process));
  Net.run(5s);
  for (std::size_t Observer = 0; Observer < Net.Nodes.size(); ++Observer)
    if (Net.isRunning(Observer))
      CHECK_FALSE(Net.Nodes[Observer].Protocol->isUsable(Process));
  Net.run(15s);
  CHECK(Net.converged());
  CHECK(Net.stateInView(3, 7) == MemberState::Dead);
  Net.run(kMemberRetention + 20s);
  CHECK(Net.Nodes[3].Protocol->members().find(Process.Instance) == nullptr);
  Net.start(7);
  Net.run(10s);
  CHECK(Net.converged());
}

TEST_CASE("a process that resumes after a pause declares nobody dead and is "
          "alive again soon") {
  FakeNetwork Net(5, 24);
  Net.run(15s);
  GossipProtocol &Paused = *Net.Nodes[9].Protocol;
  // A suspicion that is pending when the pause begins; the suspected member has
  // no chance to refute it during the pause.
  Datagram Message;
  Message.Kind = DatagramKind::Push;
  Message.Sender = claimOf(Net.Nodes[1].Record);
  Message.Claims.push_back(claimOf(Net.Nodes[2].Record));
  Message.Claims.back().State = MemberState::Suspect;
  (void)Paused.receive(Message, Net.Nodes[1].Record.Peer, Net.Clock.now());
  Net.Nodes[9].Paused = true;
  Net.run(60s);
  CHECK(Net.stateInView(0, 9) == MemberState::Dead);
  Net.Nodes[9].Paused = false;
  Net.run(1ms);
  CHECK(Paused.localHealth() > 0);
  Net.run(15s);
  CHECK(Paused.counters().Pauses >= 1);
  CHECK(Paused.counters().Deaths == 0);
  CHECK(Paused.counters().Suspicions == 0);
  CHECK(Net.converged());
  CHECK(Net.stateInView(0, 9) == MemberState::Alive);
}

TEST_CASE("both sides of a partition find each other again without seeds, also "
          "after each has removed the other's members") {
  for (const base::Duration Length : {60s, 660s}) {
    FakeNetwork Net(6, 18);
    Net.run(15s);
    Net.kill(0);
    Net.kill(1);
    Net.Cuts = {{base::DataCentreId("dc0"), base::DataCentreId("dc2")},
                {base::DataCentreId("dc1"), base::DataCentreId("dc2")}};
    Net.run(Length);
    CHECK(Net.Nodes[3].Protocol->members().presentCount() == 10);
    CHECK(Net.Nodes[2].Protocol->members().presentCount() == 6);
    Net.Cuts.clear();
    Net.run(60s);
    CHECK(Net.converged());
  }
}

TEST_CASE("an applied log offset reaches every daemon within one and a half "
          "seconds, faster than probes alone spread it") {
  FakeNetwork Net(7, 200);
  Net.run(30s);
  const base::LogOffset NewOffset(42);
  Net.send(0, Net.Nodes[0].Protocol->setAppliedOffset(NewOffset));
  // Each daemon fetches the records at once, as the caller of the protocol
  // does.
  Net.run(1500ms, [&] {
    for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node)
      if (const auto Source = Net.Nodes[Node].Protocol->newestLogSource())
        Net.send(Node,
                 Net.Nodes[Node].Protocol->setAppliedOffset(Source->Offset));
  });
  for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node)
    CHECK(Net.Nodes[Node].Protocol->self().AppliedOffset == NewOffset);
}

TEST_CASE("an old process learns that a newer one of its instance exists") {
  FakeNetwork Net(8, 6);
  Net.run(10s);
  Member Newer = Net.Nodes[3].Record;
  Newer.Incarnation = base::Incarnation(5000);
  Newer.Peer.Port = 7100;
  Datagram Message;
  Message.Kind = DatagramKind::Push;
  Message.Sender = claimOf(Newer);
  Message.Records.push_back(Newer);
  Net.send(
      0, Net.Nodes[0].Protocol->receive(Message, Newer.Peer, Net.Clock.now()));
  CHECK_FALSE(Net.Nodes[3].Protocol->isSuperseded());
  Net.run(5s);
  CHECK(Net.Nodes[3].Protocol->isSuperseded());
  GossipProtocol &Announced = *Net.Nodes[4].Protocol;
  Newer = Net.Nodes[4].Record;
  Announced.mergeAnnouncement(Newer);
  CHECK_FALSE(Announced.isSuperseded());
  Newer.Incarnation = base::Incarnation(5000);
  Announced.mergeAnnouncement(Newer);
  CHECK(Announced.isSuperseded());
}
