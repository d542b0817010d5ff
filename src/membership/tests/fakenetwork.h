#ifndef JACKDAW_MEMBERSHIP_TESTS_FAKENETWORK_H
#define JACKDAW_MEMBERSHIP_TESTS_FAKENETWORK_H

#include "membership/gossipprotocol.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace membership::tests {

using namespace std::chrono_literals;

inline Member makeMember(unsigned Index, unsigned DataCentreCount = 3) {
  Member Result;
  const unsigned DataCentreIndex = Index % DataCentreCount;
  Result.Instance = base::InstanceId("instance-" + std::to_string(Index));
  Result.Incarnation = base::Incarnation(1000);
  Result.DataCentre =
      base::DataCentreId("dc" + std::to_string(DataCentreIndex));
  Result.Region =
      base::RegionId("region" + std::to_string(DataCentreIndex / 2));
  Result.Service = base::ServiceName("service" + std::to_string(Index % 4));
  Result.Peer = {"10.0." + std::to_string(Index / 250) + "." +
                     std::to_string(Index % 250 + 1),
                 7000};
  Result.Administration = {Result.Peer.Ip, 7001};
  Result.Slots = 60;
  return Result;
}

/// Daemons that exchange encoded datagrams over a simulated network with loss,
/// duplication, delay and cuts between data centres, on a manual clock.
class FakeNetwork {
public:
  struct Node {
    Member Record;
    std::unique_ptr<GossipProtocol> Protocol;
    bool Paused = false;
    std::deque<std::pair<std::string, base::Endpoint>> Socket;
  };

  FakeNetwork(std::uint64_t Seed, unsigned Count, unsigned DataCentreCount = 3)
      : Random(Seed) {
    for (unsigned Index = 0; Index < Count; ++Index) {
      Nodes.emplace_back();
      Nodes.back().Record = makeMember(Index, DataCentreCount);
      ByAddress[Nodes.back().Record.Peer] = Index;
      start(Index);
    }
  }

  void start(std::size_t Index) {
    Node &Target = Nodes[Index];
    Target.Record.Incarnation =
        base::Incarnation(Target.Record.Incarnation.value() + 1);
    Target.Socket.clear();
    Target.Paused = false;
    Target.Protocol = std::make_unique<GossipProtocol>(
        GossipSettings{
            Target.Record,
            {Nodes[0].Record.Peer, Nodes[1 % Nodes.size()].Record.Peer},
            Random()},
        Clock.now());
  }
  void kill(std::size_t Index) { Nodes[Index].Protocol.reset(); }
  bool isRunning(std::size_t Index) const {
    return Nodes[Index].Protocol && !Nodes[Index].Paused;
  }
  void announce(std::size_t Index, MemberState State) {
    send(Index, Nodes[Index].Protocol->changeOwnState(State));
  }

  void run(base::Duration Length, const std::function<void()> &Check = {}) {
    const base::BootTime End = Clock.now() + Length;
    while (Clock.now() < End) {
      Clock.advance(kStep);
      deliver();
      for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
        if (isRunning(Index))
          send(Index, Nodes[Index].Protocol->tick(Clock.now()));
      if (Check)
        Check();
    }
  }

  void send(std::size_t From, const std::vector<OutgoingDatagram> &All) {
    for (const OutgoingDatagram &Item : All) {
      const std::string Bytes = encode(Item.Message);
      REQUIRE(Bytes.size() <= kMaxEncodedBytes);
      REQUIRE(Bytes.size() == encodedSize(Item.Message));
      if (randomFraction() < Loss)
        continue;
      const unsigned Copies = randomFraction() < Duplication ? 2 : 1;
      for (unsigned Copy = 0; Copy < Copies; ++Copy)
        InFlight.emplace(Clock.now() + delay(), Packet{From, Item.To, Bytes});
    }
  }

  /// Whether the views of all running daemons are equal and hold exactly the
  /// running daemons, in their own states.
  bool converged() const {
    std::set<std::uint64_t> Digests;
    std::size_t Running = 0;
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      if (isRunning(Index) &&
          Nodes[Index].Protocol->self().State != MemberState::Stopped)
        ++Running;
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      if (!isRunning(Index))
        continue;
      const MemberTable &Table = Nodes[Index].Protocol->members();
      Digests.insert(Table.digest());
      if (Table.presentCount() != Running)
        return false;
    }
    return Digests.size() == 1;
  }

  /// State of `Subject` in the view of `Observer`; `Dead` if it is not in the
  /// table.
  MemberState stateInView(std::size_t Observer, std::size_t Subject) const {
    const MemberEntry *Entry = Nodes[Observer].Protocol->members().find(
        Nodes[Subject].Record.Instance);
    return Entry ? Entry->Record.State : MemberState::Dead;
  }
  bool isCut(std::size_t A, std::size_t B) const {
    return Cuts.contains(
               {Nodes[A].Record.DataCentre, Nodes[B].Record.DataCentre}) ||
           Cuts.contains(
               {Nodes[B].Record.DataCentre, Nodes[A].Record.DataCentre});
  }
  double randomFraction() {
    return std::uniform_real_distribution<>(0, 1)(Random);
  }
  std::size_t randomNode() {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Nodes.size() - 1)(Random);
  }

  static constexpr base::Duration kStep = 20ms;
  base::ManualClock Clock;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::set<std::pair<base::DataCentreId, base::DataCentreId>> Cuts;
  double Loss = 0;
  double Duplication = 0;
  base::Duration MaxDelay = 40ms;

private:
  struct Packet {
    std::size_t From;
    base::Endpoint To;
    std::string Bytes;
  };

  base::Duration delay() {
    return base::Duration(std::uniform_int_distribution<std::int64_t>(
        500'000, MaxDelay.count())(Random));
  }

  void deliver() {
    while (!InFlight.empty() && InFlight.begin()->first <= Clock.now()) {
      Packet Item = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      if (!ByAddress.contains(Item.To))
        continue;
      const std::size_t To = ByAddress.at(Item.To);
      if (Nodes[To].Protocol && !isCut(Item.From, To))
        Nodes[To].Socket.emplace_back(std::move(Item.Bytes),
                                      Nodes[Item.From].Record.Peer);
    }
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      Node &Target = Nodes[Index];
      while (isRunning(Index) && !Target.Socket.empty()) {
        const auto [Bytes, From] = std::move(Target.Socket.front());
        Target.Socket.pop_front();
        const auto Message = decode(Bytes);
        REQUIRE(Message);
        send(Index, Target.Protocol->receive(*Message, From, Clock.now()));
      }
    }
  }

  std::map<base::Endpoint, std::size_t> ByAddress;
  std::multimap<base::BootTime, Packet> InFlight;
};

} // namespace membership::tests

#endif // JACKDAW_MEMBERSHIP_TESTS_FAKENETWORK_H
