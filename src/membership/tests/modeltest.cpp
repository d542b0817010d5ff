#include "membership/tests/fakenetwork.h"

#include <cstdlib>

using namespace membership;
using namespace membership::tests;

namespace {

// Longest time for which a running, connected member may be held dead by a
// running daemon under 10 % loss.
constexpr base::Duration kLongestFalseDeath = 10s;

// By then no reachable daemon may choose a member that drains or has stopped.
constexpr base::Duration kLeavingKnown = 3s;

// The same for daemons that were cut off from it meanwhile, after the cut has
// healed.
constexpr base::Duration kLeavingKnownAfterCut = 15s;

/// Random faults, and what must hold while they last.
class Model {
public:
  explicit Model(std::uint64_t Seed) : Net(Seed, 30), Rest(Net.Nodes.size()) {
    Net.Loss = 0.1;
    Net.Duplication = 0.05;
    Net.MaxDelay = 120ms;
  }

  void run() {
    Net.run(20s);
    for (int Round = 0; Round < 40; ++Round) {
      act();
      Net.run(base::Duration(std::chrono::milliseconds(
                  std::size_t(200 + Net.draw() * 6000))),
              [this] { check(); });
    }
    heal();
    Net.run(60s, [this] { check(); });
    CHECK(Net.converged());
  }

private:
  struct Leaving {
    base::ProcessId Process;
    base::BootTime Since;
  };

  void act() {
    const std::size_t Node = Net.pick();
    const double Kind = Net.draw();
    if (Kind < 0.2)
      Net.Cuts = {{centre(Net.pick()), centre(Net.pick())}};
    else if (Kind < 0.35)
      Net.Cuts.clear();
    else if (Kind < 0.55)
      leaveOrRestart(Node);
    else if (Kind < 0.75)
      Net.runs(Node) ? Net.kill(Node) : restart(Node);
    else
      Net.Nodes[Node].Frozen = Net.runs(Node);
    Disturbed = Net.Clock.now();
  }

  void leaveOrRestart(std::size_t Node) {
    if (!Net.runs(Node)) {
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
    Left.push_back({Net.Nodes[Node].Record.process(), Net.Clock.now()});
  }

  void restart(std::size_t Node) {
    Net.start(Node);
    Rest[Node] = Net.Clock.now();
  }

  base::DataCentreId centre(std::size_t Node) const {
    return Net.Nodes[Node].Record.DataCentre;
  }

  void heal() {
    Net.Cuts.clear();
    Net.Loss = 0;
    Net.Duplication = 0;
    for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node) {
      if (!Net.Nodes[Node].Protocol)
        restart(Node);
      Net.Nodes[Node].Frozen = false;
    }
    Disturbed = Net.Clock.now();
  }

  // While nothing is cut, a process that left is not usable anywhere, except in
  // daemons that were cut off, paused or started a moment ago.
  void check() {
    const base::BootTime Now = Net.Clock.now();
    if (!Net.Cuts.empty())
      LastCut = Disturbed = Now;
    for (std::size_t Node = 0; Node < Net.Nodes.size(); ++Node)
      if (!Net.runs(Node) ||
          Net.Nodes[Node].Protocol->members().presentCount() == 1)
        Rest[Node] = Now;
    if (Net.Cuts.empty())
      checkLeaving(Now);
    if (Now - Disturbed > kSettling)
      checkFalseDeaths();
  }

  void checkLeaving(base::BootTime Now) {
    for (const Leaving &Item : Left) {
      if (Now - Item.Since < kLeavingKnown)
        continue;
      if (LastCut + kLeavingKnown > Item.Since &&
          Now - LastCut < kLeavingKnownAfterCut)
        continue;
      for (std::size_t By = 0; By < Net.Nodes.size(); ++By)
        if (Now - Rest[By] >= kLeavingKnown && Net.runs(By))
          REQUIRE_FALSE(Net.Nodes[By].Protocol->isUsable(Item.Process));
    }
  }

  void checkFalseDeaths() {
    for (std::size_t By = 0; By < Net.Nodes.size(); ++By)
      for (std::size_t Of = 0; Of < Net.Nodes.size(); ++Of) {
        if (!Net.runs(By) || !Net.runs(Of))
          continue;
        if (Net.Nodes[Of].Protocol->self().State != MemberState::Stopped)
          REQUIRE(isPresent(Net.viewOf(By, Of)));
      }
  }

  // A daemon that was paused or cut off is held dead by right; after this time
  // without faults but for loss nobody may hold it dead any more.
  static constexpr base::Duration kSettling = 40s;

  FakeNetwork Net;
  /// When each daemon last did not run or had not found any other.
  std::vector<base::BootTime> Rest;
  std::vector<Leaving> Left;
  base::BootTime Disturbed;
  base::BootTime LastCut;
};

} // namespace

TEST_CASE("views converge after random cuts, pauses, kills, restarts and "
          "planned stops, and leaving members are not chosen") {
  std::vector<std::uint64_t> Seeds = {1, 2, 3, 4, 5, 6};
  if (const char *Given = std::getenv("JACKDAW_TEST_SEED"))
    Seeds = {std::strtoull(Given, nullptr, 10)};
  for (const std::uint64_t Seed : Seeds) {
    CAPTURE(Seed);
    MESSAGE("seed " << Seed);
    Model(Seed).run();
  }
}

namespace {

/// Tells a random daemon that a random live member is dead, as a mistaken
/// daemon would.
void spreadFalseDeath(FakeNetwork &Net) {
  const std::size_t To = Net.pick();
  const std::size_t Of = (To + 1 + Net.pick() % 28) % Net.Nodes.size();
  const std::size_t By = (Of + 1) % Net.Nodes.size();
  Datagram Message;
  Message.Kind = DatagramKind::Push;
  Message.Sender = claimOf(Net.Nodes[By].Protocol->self());
  Message.Claims.push_back(claimOf(Net.Nodes[Of].Protocol->self()));
  Message.Claims.back().State = MemberState::Dead;
  Net.send(To, Net.Nodes[To].Protocol->receive(
                   Message, Net.Nodes[By].Record.Peer, Net.Clock.now()));
}

} // namespace

TEST_CASE("under 10 % loss no live member is held dead for longer than the "
          "stated time, even after a false claim") {
  const std::uint64_t Seed = 77;
  MESSAGE("seed " << Seed);
  FakeNetwork Net(Seed, 30);
  Net.run(20s);
  Net.Loss = 0.1;
  std::map<std::pair<std::size_t, std::size_t>, base::Duration> Dead;
  base::Duration Longest{};
  const auto Measure = [&] {
    for (std::size_t By = 0; By < Net.Nodes.size(); ++By)
      for (std::size_t Of = 0; Of < Net.Nodes.size(); ++Of) {
        base::Duration &Time = Dead[{By, Of}];
        const bool Present = isPresent(Net.viewOf(By, Of));
        Time = Present ? base::Duration{} : Time + FakeNetwork::kStep;
        Longest = std::max(Longest, Time);
      }
  };
  for (int Round = 0; Round < 30; ++Round) {
    Net.run(20s, Measure);
    spreadFalseDeath(Net);
  }
  Net.run(20s, Measure);
  std::uint64_t Suspicions = 0;
  std::uint64_t Deaths = 0;
  for (const FakeNetwork::Node &Node : Net.Nodes) {
    Suspicions += Node.Protocol->counters().Suspicions;
    Deaths += Node.Protocol->counters().Deaths;
  }
  MESSAGE("30 members, 620 s: " << Suspicions << " suspicions, " << Deaths
                                << " deaths, 30 false claims, longest "
                                << Longest / 1ms << " ms");
  CHECK(Suspicions > 0);
  CHECK(Longest > base::Duration{});
  CHECK(Longest < kLongestFalseDeath);
}
