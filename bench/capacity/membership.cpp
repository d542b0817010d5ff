#include "measure.h"

#include "base/clock.h"
#include "base/codec.h"
#include "membership/gossipprotocol.h"

#include <cereal/types/string.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <vector>

namespace capacity {

namespace {

using namespace std::chrono_literals;
using namespace membership;

constexpr std::size_t kMemberCounts[] = {10, 100, 1000, 2400};
constexpr std::size_t kDataCentres = 10;
constexpr base::Duration kTick = 10ms;
constexpr std::size_t kRecordsPerPush = 5;
constexpr std::size_t kIdleSeconds = 120;
constexpr std::size_t kChangeSeconds = 60;
/// Bytes added to each datagram: nonce and tag of the encryption, and the
/// frame, UDP and IPv4 headers.
constexpr double kWireOverhead = 24 + 16 + 8 + 8 + 20;

Member makeMember(std::size_t Index) {
  Member Result;
  Result.Instance = base::InstanceId("instance-" + std::to_string(Index));
  Result.Incarnation = base::Incarnation(1'700'000'000'000'000);
  Result.DataCentre =
      base::DataCentreId("centre-" + std::to_string(Index % kDataCentres));
  Result.Region = base::RegionId("region-" + std::to_string(Index % 3));
  Result.Service = base::ServiceName("service-" + std::to_string(Index % 130));
  Result.Peer = {"10.1." + std::to_string(Index / 250) + "." +
                     std::to_string(Index % 250 + 1),
                 7100};
  Result.Administration = {Result.Peer.Ip, 7200};
  Result.Slots = 60;
  return Result;
}

/// One daemon whose peers all reply immediately and know the same members. It
/// receives one probe per second from all peers together, which is the average
/// of a daemon in a fleet.
class SteadyStateDaemon {
public:
  explicit SteadyStateDaemon(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.push_back(makeMember(Index));
    Protocol = std::make_unique<GossipProtocol>(GossipSettings{Fleet[0], {}, 1},
                                                Clock.now());
  }

  /// Adds all members to the table, as a join does.
  void addAllMembers() {
    std::vector<Datagram> Pushes;
    for (std::size_t Index = 1; Index < Fleet.size(); ++Index) {
      if ((Index - 1) % kRecordsPerPush == 0)
        Pushes.push_back(makeDatagram(1, DatagramKind::SyncReply));
      Pushes.back().Records.push_back(Fleet[Index]);
    }
    for (const Datagram &Each : Pushes)
      static_cast<void>(receive(Each, 1));
  }

  /// Simulates `Seconds`; `Changes` members restart in each second.
  void run(std::size_t Seconds, std::size_t Changes) {
    for (std::size_t Second = 0; Second < Seconds; ++Second) {
      for (std::size_t Change = 0; Change < Changes; ++Change)
        restartOne();
      for (base::Duration Elapsed{}; Elapsed < 1s; Elapsed += kTick)
        step();
      receiveOne(
          makeDatagram(1 + Second % (Fleet.size() - 1), DatagramKind::Ping));
    }
  }

  const GossipCounters &counters() const { return Protocol->counters(); }
  const GossipProtocol &protocol() const { return *Protocol; }

  double TickMicros = 0;
  double ReceiveMicros = 0;
  std::size_t Ticks = 0;
  std::size_t Received = 0;

private:
  Datagram makeDatagram(std::size_t Index, DatagramKind Kind) const {
    Datagram Message;
    Message.Kind = Kind;
    Message.Sequence = 1;
    Message.Sender = claimOf(Fleet[Index]);
    Message.ViewDigest = Protocol->members().digest();
    return Message;
  }

  std::vector<OutgoingDatagram> receive(const Datagram &Message,
                                        std::size_t Index) {
    return Protocol->receive(Message, Fleet[Index].Peer, Clock.now());
  }

  /// Measures decoding and handling of a datagram and encoding of the replies,
  /// as a daemon does them.
  void receiveOne(const Datagram &Message) {
    const std::string Bytes = encode(Message);
    const std::size_t Index = indexOf(Message.Sender.Process.Instance);
    const double Start = processorMicros();
    const auto Decoded = decode(Bytes);
    for (const OutgoingDatagram &Each : receive(*Decoded, Index))
      static_cast<void>(encode(Each.Message));
    ReceiveMicros += processorMicros() - Start;
    ++Received;
  }

  std::size_t indexOf(const base::InstanceId &Instance) const {
    return std::stoul(Instance.str().substr(sizeof("instance-") - 1));
  }

  std::size_t indexOf(const base::Endpoint &Peer) const {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      if (Fleet[Index].Peer == Peer)
        return Index;
    return 0;
  }

  void step() {
    Clock.advance(kTick);
    const double Start = processorMicros();
    const auto Sent = Protocol->tick(Clock.now());
    for (const OutgoingDatagram &Each : Sent)
      static_cast<void>(encode(Each.Message));
    TickMicros += processorMicros() - Start;
    ++Ticks;
    for (const OutgoingDatagram &Each : Sent) {
      if (Each.Message.Kind != DatagramKind::Ping)
        continue;
      Datagram Reply = makeDatagram(indexOf(Each.To), DatagramKind::Ack);
      Reply.Sequence = Each.Message.Sequence;
      receiveOne(Reply);
    }
  }

  void restartOne() {
    const std::size_t Index = 1 + NextRestart++ % (Fleet.size() - 1);
    Member &Record = Fleet[Index];
    Record.Incarnation = base::Incarnation(Record.Incarnation.value() + 1);
    Datagram Push = makeDatagram(1, DatagramKind::Push);
    Push.Records.push_back(Record);
    receiveOne(Push);
  }

  base::ManualClock Clock;
  std::vector<Member> Fleet;
  std::unique_ptr<GossipProtocol> Protocol;
  std::size_t NextRestart = 0;
};

void measureAnnouncements(const std::string &Size, std::size_t Count) {
  SteadyStateDaemon Daemon(Count);
  Daemon.addAllMembers();
  std::vector<Member> Announced;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Announced.push_back(makeMember(Index));
  auto &Protocol = const_cast<GossipProtocol &>(Daemon.protocol());
  printRow("membership", Size, "us per record (mergeAnnouncement of all)",
           microsEach(50, [&](std::size_t) {
             for (const Member &Each : Announced)
               Protocol.mergeAnnouncement(Each);
           }));
}

void measureSize(std::size_t Count) {
  const std::string Size = "members=" + std::to_string(Count);
  SteadyStateDaemon Daemon(Count);
  const std::size_t Before = heapBytes();
  Daemon.addAllMembers();
  printRow("membership", Size, "bytes per member (table, probe order)",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
  Daemon.run(60, 0);
  Daemon.TickMicros = Daemon.ReceiveMicros = 0;
  Daemon.Ticks = Daemon.Received = 0;
  const GossipCounters Start = Daemon.counters();
  Daemon.run(kIdleSeconds, 0);
  const GossipCounters Idle = Daemon.counters();
  const double Sent =
      static_cast<double>(Idle.DatagramsSent - Start.DatagramsSent);
  const double IdleBytes =
      static_cast<double>(Idle.BytesSent - Start.BytesSent) / kIdleSeconds;
  printRow("membership", Size, "us per tick, idle",
           Daemon.TickMicros / static_cast<double>(Daemon.Ticks));
  printRow("membership", Size, "us per datagram received, idle",
           Daemon.ReceiveMicros / static_cast<double>(Daemon.Received));
  printRow("membership", Size, "datagrams sent per second, idle",
           Sent / kIdleSeconds);
  printRow("membership", Size, "encoded bytes per datagram, idle",
           IdleBytes * kIdleSeconds / Sent);
  printRow("membership", Size, "wire bytes per second, idle",
           IdleBytes + Sent / kIdleSeconds * kWireOverhead);
  Daemon.run(kChangeSeconds, 1);
  const GossipCounters Busy = Daemon.counters();
  printRow("membership", Size, "additional bytes/s at 1 restart per second",
           static_cast<double>(Busy.BytesSent - Idle.BytesSent) /
                   kChangeSeconds -
               IdleBytes);
  measureAnnouncements(Size, Count);
}

} // namespace

void measureMembership() {
  printRow("membership", "member", "encoded bytes of a member record",
           static_cast<double>(base::encode(makeMember(2399)).size()));
  for (const std::size_t Count : kMemberCounts)
    measureSize(Count);
}

} // namespace capacity
