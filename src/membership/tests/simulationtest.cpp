#include "membership/tests/fakenetwork.h"

#include <cstdlib>

using namespace membership;
using namespace membership::tests;

namespace {

// Upper bound on the time for which a running daemon may consider a running,
// connected member dead under 10 % loss.
constexpr base::Duration kMaxFalseDeathTime = 10s;

// Time until which every reachable daemon must stop choosing a member that is
// draining or has stopped.
constexpr base::Duration kMaxDepartureDelay = 3s;

// The same for daemons that were cut off from the member, counted from the end
// of the cut.
constexpr base::Duration kMaxDepartureDelayAfterCut = 15s;

/// Injects random faults into a fleet and checks invariants while they last.
class FaultSimulation {
public:
  explicit FaultSimulation(std::uint64_t Seed)
      : Net(Seed, 30), LastNotRunning(Net.Nodes.size()) {
    Net.Loss = 0.1;
    Net.Duplication = 0.05;
    Net.MaxDelay = 120ms;
  }

  void run() {
    Net.run(20s);
    for (int Round = 0; Round < 40; ++Round) {
      injectFault();
      Net.run(base::Duration(std::chrono::milliseconds(
                  std::size_t(200 + Net.randomFraction() * 6000))),
              [this] { checkInvariants(); });
    }
    heal();
    Net.run(60s, [this] { checkInvariants(); });
    CHECK(Net.converged());
  }

private:
  struct Departure {
    base::ProcessId Process;
    base::BootTime Since;
  };

  void injectFault() {
    const std::size_t Node = Net.randomNode();
    const double Kind = Net.randomFraction();
    if (Kind < 0.2)
      Net.Cuts = {
          {dataCentreOf(Net.randomNode()), dataCentreOf(Net.randomNode())}};
    else if (Kind < 0.35)
      Net.Cuts.clear();
    else if (Kind < 0.55)
      leaveOrRestart(Node);
    else if (Kind < 0.75)
      Net.isRunning(Node) ? Net.kill(Node) : restart(Node);
    else
      Net.Nodes[Node].Paused = Net.isRunning(Node);
    LastFault = Net.Clock.now();
  }

  void leaveOrRestart(std::size_t Node) {
    if (!Net.isRunning(Node)) {
      restart(Node);
      return;
    }
    const MemberState State = Net.Nodes[Node].Protocol->self().State;
    if (State == MemberState::Stopped) {
      restart(Node);
      return;
    }
    Net.announce(Node, State == MemberState::Alive ? MemberState::Draining
                                                   : MemberState::Stopped);
    Departures.push_back({Net.Nodes[Node].Record.process(), Net.Clock.now()});
  }

  void restart(std::size_t Node) {
    Net.start(Node);
    LastNotRunning[Node] = Net.Clock.now();
  }

  base::DataCentreId dataCentreOf(std::size_t Node) const {
    return Net.Nodes[Node].Record.DataCentre;
  }

  void heal() {
    Net.Cuts.clear();
    Net.Loss = 0;
    Net.Duplication = 0;
    for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node) {
      if (!Net.Nodes[Node].Protocol)
        restart(Node);
      Net.Nodes[Node].Paused = false;
    }
    LastFault = Net.Clock.now();
  }

  // While no data centres are cut off from each other, a process that left is
  // not usable in any daemon except those that were cut off, paused or started
  // shortly before.
  void checkInvariants() {
    const base::BootTime Now = Net.Clock.now();
    if (!Net.Cuts.empty())
      LastCut = LastFault = Now;
    for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node)
      if (!Net.isRunning(Node) ||
          Net.Nodes[Node].Protocol->members().presentCount() == 1)
        LastNotRunning[Node] = Now;
    if (Net.Cuts.empty())
      checkDepartures(Now);
    if (Now - LastFault > kSettleTime)
      checkFalseDeaths();
  }

  void checkDepartures(base::BootTime Now) {
    for (const Departure &Item : Departures) {
      if (Now - Item.Since < kMaxDepartureDelay)
        continue;
      if (LastCut + kMaxDepartureDelay > Item.Since &&
          Now - LastCut < kMaxDepartureDelayAfterCut)
        continue;
      for (std::size_t Observer = 0; Observer < Net.Nodes.size(); ++Observer)
        if (Now - LastNotRunning[Observer] >= kMaxDepartureDelay &&
            Net.isRunning(Observer))
          REQUIRE_FALSE(Net.Nodes[Observer].Protocol->isUsable(Item.Process));
    }
  }

  void checkFalseDeaths() {
    for (std::size_t Observer = 0; Observer < Net.Nodes.size(); ++Observer)
      for (std::size_t Subject = 0; Subject < Net.Nodes.size(); ++Subject) {
        if (!Net.isRunning(Observer) || !Net.isRunning(Subject))
          continue;
        if (Net.Nodes[Subject].Protocol->self().State != MemberState::Stopped)
          REQUIRE(isPresent(Net.stateInView(Observer, Subject)));
      }
  }

  // Other daemons rightly declare a paused or cut-off daemon dead. After this
  // time with no faults other than loss, none may consider it dead.
  static constexpr base::Duration kSettleTime = 40s;

  FakeNetwork Net;
  /// When each daemon last did not run or knew no other daemon.
  std::vector<base::BootTime> LastNotRunning;
  std::vector<Departure> Departures;
  base::BootTime LastFault;
  base::BootTime LastCut;
};

} // namespace

TEST_CASE("views converge after random cuts, pauses, kills, restarts and "
          "planned stops, and leaving members are not usable") {
  std::vector<std::uint64_t> Seeds = {1, 2, 3, 4, 5, 6};
  if (const char *Given = std::getenv("JACKDAW_TEST_SEED"))
    Seeds = {std::strtoull(Given, nullptr, 10)};
  for (const std::uint64_t Seed : Seeds) {
    CAPTURE(Seed);
    MESSAGE("seed " << Seed);
    FaultSimulation(Seed).run();
  }
}

namespace {

/// Sends a random daemon a claim that a random live member is dead, as a faulty
/// daemon might.
void injectFalseDeath(FakeNetwork &Net) {
  const std::size_t To = Net.randomNode();
  const std::size_t Subject =
      (To + 1 + Net.randomNode() % 28) % Net.Nodes.size();
  const std::size_t From = (Subject + 1) % Net.Nodes.size();
  Datagram Message;
  Message.Kind = DatagramKind::Push;
  Message.Sender = claimOf(Net.Nodes[From].Protocol->self());
  Message.Claims.push_back(claimOf(Net.Nodes[Subject].Protocol->self()));
  Message.Claims.back().State = MemberState::Dead;
  Net.send(To, Net.Nodes[To].Protocol->receive(
                   Message, Net.Nodes[From].Record.Peer, Net.Clock.now()));
}

} // namespace

TEST_CASE("under 10 % loss no live member is considered dead for 10 s or "
          "longer, even after a false claim") {
  const std::uint64_t Seed = 77;
  MESSAGE("seed " << Seed);
  FakeNetwork Net(Seed, 30);
  Net.run(20s);
  Net.Loss = 0.1;
  std::map<std::pair<std::size_t, std::size_t>, base::Duration> DeadTimes;
  base::Duration LongestDeadTime{};
  const auto MeasureDeadTime = [&] {
    for (std::size_t Observer = 0; Observer < Net.Nodes.size(); ++Observer)
      for (std::size_t Subject = 0; Subject < Net.Nodes.size(); ++Subject) {
        base::Duration &DeadTime = DeadTimes[{Observer, Subject}];
        const bool Present = isPresent(Net.stateInView(Observer, Subject));
        DeadTime = Present ? base::Duration{} : DeadTime + FakeNetwork::kStep;
        LongestDeadTime = std::max(LongestDeadTime, DeadTime);
      }
  };
  for (int Round = 0; Round < 30; ++Round) {
    Net.run(20s, MeasureDeadTime);
    injectFalseDeath(Net);
  }
  Net.run(20s, MeasureDeadTime);
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  for (const FakeNetwork::Node &Node : Net.Nodes) {
    Suspicions += Node.Protocol->counters().Suspicions;
    Deaths += Node.Protocol->counters().Deaths;
  }
  MESSAGE("30 members, 620 s: " << Suspicions << " suspicions, " << Deaths
                                << " deaths, 30 false claims, longest "
                                << LongestDeadTime / 1ms << " ms");
  CHECK(Suspicions > 0);
  CHECK(LongestDeadTime > base::Duration{});
  CHECK(LongestDeadTime < kMaxFalseDeathTime);
}
