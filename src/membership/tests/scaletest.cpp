#include "membership/tests/fakenetwork.h"

#include <chrono>

using namespace membership;
using namespace membership::tests;

namespace {

constexpr unsigned kFleetSize = 2400;
constexpr unsigned kDataCentres = 10;

// Sealing (40), frame header (up to 16) and UDP/IPv4 headers (28) of one
// datagram.
constexpr double kWireOverheadBytes = 84;

constexpr double kBudgetBytesPerSecond = 5000;

Member fleetMember(unsigned Index) { return makeMember(Index, kDataCentres); }

std::unique_ptr<GossipProtocol> makeProtocolWithFleet(base::BootTime Now,
                                                      unsigned Self = 0) {
  auto Protocol = std::make_unique<GossipProtocol>(
      GossipSettings{fleetMember(Self), {}, Self + 1}, Now);
  Datagram Message;
  Message.Kind = DatagramKind::SyncReply;
  const Member Peer = fleetMember(Self == 1 ? 2 : 1);
  Message.Sender = claimOf(Peer);
  for (unsigned Index = 0; Index < kFleetSize; ++Index)
    if (Index != Self)
      Message.Records.push_back(fleetMember(Index));
  (void)Protocol->receive(Message, Peer.Peer, Now);
  return Protocol;
}

} // namespace

TEST_CASE("scale: costs of one table with 2,400 members") {
  base::ManualClock Clock;
  auto Protocol = makeProtocolWithFleet(Clock.now());
  REQUIRE(Protocol->members().presentCount() == kFleetSize);
  using Timer = std::chrono::steady_clock;
  const auto ToMicroseconds = [](Timer::duration Length) {
    return std::chrono::duration<double, std::micro>(Length).count();
  };
  Timer::duration Ticks{};
  Timer::duration Datagrams{};
  Timer::duration Slowest{};
  constexpr int Steps = 20000;
  for (int Step = 0; Step < Steps; ++Step) {
    Clock.advance(10ms);
    const auto Start = Timer::now();
    auto Sent = Protocol->tick(Clock.now());
    const auto Middle = Timer::now();
    const Member &Peer = fleetMember(1 + unsigned(Step) % (kFleetSize - 1));
    const auto Received = Timer::now();
    Datagram Ping;
    Ping.Sender = claimOf(Peer);
    Ping.ViewDigest = Protocol->members().digest();
    Sent = Protocol->receive(Ping, Peer.Peer, Clock.now());
    const std::string Bytes = encode(Sent.at(0).Message);
    REQUIRE(decode(Bytes));
    Datagrams += Timer::now() - Received;
    Ticks += Middle - Start;
    Slowest = std::max(Slowest, Middle - Start);
  }
  MESSAGE("per tick " << ToMicroseconds(Ticks) / Steps << " us, slowest "
                      << ToMicroseconds(Slowest)
                      << " us, per datagram (receive, encode, decode) "
                      << ToMicroseconds(Datagrams) / Steps << " us, table "
                      << Protocol->members().memoryBytes() / 1024 << " KiB");
  CHECK(ToMicroseconds(Ticks) / Steps < 100);
  CHECK(ToMicroseconds(Datagrams) / Steps < 300);
  CHECK(Protocol->members().memoryBytes() < 16 * 1024 * 1024);
}

namespace {

/// One daemon among 2,399 others, which reply to its pings and ping it.
class SimulatedFleet {
public:
  void run(unsigned Seconds) {
    exchange(Protocol->tick(Clock.now()));
    for (unsigned Second = 0; Second < Seconds; ++Second) {
      for (int Step = 0; Step < 50; ++Step) {
        Clock.advance(20ms);
        exchange(Protocol->tick(Clock.now()));
      }
      ping();
      if (Second % kSecondsPerChange == 0)
        sendChange();
      ViewsDiffer = Second % kSecondsPerChange < kSecondsUntilConverged;
    }
  }

  /// Runs with state changes of `PerSecond` members a second, as when a data
  /// centre is cut off.
  void runWithChanges(unsigned Seconds, unsigned PerSecond) {
    for (unsigned Second = 0; Second < Seconds; ++Second) {
      for (unsigned Count = 0; Count < PerSecond; ++Count)
        sendChange();
      run(1);
    }
  }

  const GossipCounters &counters() const { return Protocol->counters(); }

private:
  // 830 restarts a day are 2,490 changes: draining, stopped, new process.
  static constexpr unsigned kSecondsPerChange = 34;
  // Views differ for a few seconds after each change.
  static constexpr unsigned kSecondsUntilConverged = 5;

  Datagram from(unsigned Index, DatagramKind Kind) {
    Datagram Message;
    Message.Kind = Kind;
    Message.Sender =
        claimOf(Protocol->members().find(fleetMember(Index).Instance)->Record);
    Message.ViewDigest = Protocol->members().digest() + ViewsDiffer;
    return Message;
  }

  void exchange(const std::vector<OutgoingDatagram> &Sent) {
    for (const OutgoingDatagram &Item : Sent) {
      if (Item.Message.Kind != DatagramKind::Ping)
        continue;
      const unsigned Index = ByAddress.at(Item.To);
      Datagram Reply = from(Index, DatagramKind::Ack);
      Reply.Sequence = Item.Message.Sequence;
      exchange(Protocol->receive(Reply, Item.To, Clock.now()));
    }
  }

  void ping() {
    const unsigned Index = 1 + unsigned(Random() % (kFleetSize - 1));
    const base::Endpoint Peer = fleetMember(Index).Peer;
    exchange(
        Protocol->receive(from(Index, DatagramKind::Ping), Peer, Clock.now()));
    if (!ViewsDiffer)
      return;
    Datagram Request = from(Index, DatagramKind::SyncRequest);
    Request.Buckets = Protocol->members().bucketDigests();
    Request.Buckets->at(Index % kDigestBuckets) += 1;
    exchange(Protocol->receive(Request, Peer, Clock.now()));
  }

  void sendChange() {
    const unsigned Index = 2 + ChangeCount / 3 % (kFleetSize - 2);
    Datagram Message = from(1, DatagramKind::Push);
    Member Record =
        Protocol->members().find(fleetMember(Index).Instance)->Record;
    if (ChangeCount % 3 == 2) {
      Record.Incarnation = base::Incarnation(Record.Incarnation.value() + 1);
      Record.State = MemberState::Alive;
    } else {
      Record.State =
          ChangeCount % 3 ? MemberState::Stopped : MemberState::Draining;
    }
    Record.StateVersion = ChangeCount % 3 == 2 ? 0 : Record.StateVersion + 1;
    Message.Records.push_back(Record);
    exchange(Protocol->receive(Message, fleetMember(1).Peer, Clock.now()));
    ++ChangeCount;
  }

  static std::map<base::Endpoint, unsigned> addresses() {
    std::map<base::Endpoint, unsigned> Result;
    for (unsigned Index = 0; Index < kFleetSize; ++Index)
      Result[fleetMember(Index).Peer] = Index;
    return Result;
  }

  base::ManualClock Clock;
  std::unique_ptr<GossipProtocol> Protocol = makeProtocolWithFleet(Clock.now());
  const std::map<base::Endpoint, unsigned> ByAddress = addresses();
  std::mt19937_64 Random{1};
  unsigned ChangeCount = 0;
  bool ViewsDiffer = false;
};

} // namespace

TEST_CASE("scale: with 2,400 members and 830 restarts a day a daemon stays far "
          "below 5 KB/s") {
  constexpr unsigned Seconds = 3600;
  SimulatedFleet Fleet;
  Fleet.run(Seconds);
  const GossipCounters &Totals = Fleet.counters();
  const double Sent = (double(Totals.BytesSent) +
                       kWireOverheadBytes * double(Totals.DatagramsSent)) /
                      Seconds;
  // Every datagram that one daemon sends is received by another one.
  const double BothDirections = 2 * Sent;
  MESSAGE("sent " << Sent << " B/s on the wire in "
                  << double(Totals.DatagramsSent) / Seconds
                  << " datagrams/s; both ways " << BothDirections << " B/s, "
                  << 100 * BothDirections / kBudgetBytesPerSecond
                  << " % of 5 KB/s; urgent " << Totals.UrgentPushes
                  << ", sync requests " << Totals.SyncRequests << ", replies "
                  << Totals.SyncReplies);
  CHECK(Totals.ProbesFailed == 0);
  CHECK(BothDirections < kBudgetBytesPerSecond / 2);
}

TEST_CASE(
    "scale: a daemon stays below 5 KB/s during 20 member changes a second") {
  constexpr unsigned Seconds = 600;
  SimulatedFleet Fleet;
  // Uses up the bursts that the budgets allow.
  Fleet.runWithChanges(120, 20);
  const GossipCounters Before = Fleet.counters();
  Fleet.runWithChanges(Seconds, 20);
  const GossipCounters &After = Fleet.counters();
  const auto Datagrams = double(After.DatagramsSent - Before.DatagramsSent);
  const auto Bytes = double(After.BytesSent - Before.BytesSent);
  const double BothDirections =
      2 * (Bytes + kWireOverheadBytes * Datagrams) / Seconds;
  MESSAGE("20 changes a second: both ways " << BothDirections << " B/s");
  CHECK(BothDirections < kBudgetBytesPerSecond);
}

TEST_CASE("scale: a daemon that joins 2,400 members knows nearly all of them "
          "within 30 s") {
  base::ManualClock Clock;
  constexpr unsigned Others = 8;
  std::vector<std::unique_ptr<GossipProtocol>> Peers;
  for (unsigned Index = 0; Index < Others; ++Index)
    Peers.push_back(makeProtocolWithFleet(Clock.now(), Index));
  const Member Self = fleetMember(kFleetSize);
  GossipProtocol Joiner({Self, {fleetMember(0).Peer}, 1}, Clock.now());
  std::vector<OutgoingDatagram> Pending;
  base::Duration Elapsed{};
  double Received = 0;
  const auto Peer = [](const base::Endpoint &Address) {
    return std::hash<std::string>()(Address.Ip) % Others;
  };
  while (Joiner.members().presentCount() < kFleetSize * 99 / 100 &&
         Elapsed < 30s) {
    Clock.advance(20ms);
    Elapsed += 20ms;
    std::vector<OutgoingDatagram> Sent = std::exchange(Pending, {});
    for (OutgoingDatagram &Item : Joiner.tick(Clock.now()))
      Sent.push_back(std::move(Item));
    for (const OutgoingDatagram &Item : Sent) {
      const unsigned To = unsigned(Peer(Item.To));
      for (const OutgoingDatagram &Reply :
           Peers[To]->receive(Item.Message, Self.Peer, Clock.now())) {
        if (Reply.To != Self.Peer)
          continue;
        Received += double(encodedSize(Reply.Message)) + kWireOverheadBytes;
        for (OutgoingDatagram &Next :
             Joiner.receive(Reply.Message, fleetMember(To).Peer, Clock.now()))
          Pending.push_back(std::move(Next));
      }
    }
  }
  MESSAGE("knows " << Joiner.members().presentCount() << " members after "
                   << Elapsed / 1ms << " ms, received " << Received / 1024
                   << " KiB");
  CHECK(Elapsed < 30s);
}
