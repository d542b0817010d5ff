#include "membership/tests/fakenetwork.h"

#include <chrono>

using namespace membership;
using namespace membership::tests;

namespace {

constexpr unsigned kFleet = 2400;
constexpr unsigned kCentres = 10;

// Sealing (40), frame header (up to 16) and UDP/IPv4 headers (28) of one
// datagram.
constexpr double kWireOverheadBytes = 84;

constexpr double kBudgetBytesPerSecond = 5000;

Member fleetMember(unsigned Index) { return makeMember(Index, kCentres); }

std::unique_ptr<GossipProtocol> makeLoaded(base::BootTime Now) {
  auto Protocol = std::make_unique<GossipProtocol>(
      GossipSettings{fleetMember(0), {}, 1}, Now);
  Datagram Message;
  Message.Kind = DatagramKind::Push;
  Message.Sender = claimOf(fleetMember(1));
  for (unsigned Index = 1; Index < kFleet; ++Index)
    Message.Records.push_back(fleetMember(Index));
  (void)Protocol->receive(Message, fleetMember(1).Peer, Now);
  return Protocol;
}

} // namespace

TEST_CASE("scale: costs of one table with 2,400 members") {
  base::ManualClock Clock;
  auto Protocol = makeLoaded(Clock.now());
  REQUIRE(Protocol->members().presentCount() == kFleet);
  using Timer = std::chrono::steady_clock;
  const auto ToMicroseconds = [](Timer::duration Time) {
    return std::chrono::duration<double, std::micro>(Time).count();
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
    const Member &Peer = fleetMember(1 + unsigned(Step) % (kFleet - 1));
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
