#include "membership/tests/fakenetwork.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <random>
#include <sstream>

using namespace membership;
using membership::tests::makeMember;

namespace {

Datagram makeFullDatagram() {
  Datagram Message;
  Message.Kind = DatagramKind::PingRequest;
  Message.Sequence = 7;
  Message.Sender = claimOf(makeMember(1));
  Message.AppliedOffset = base::LogOffset(99);
  Message.ViewDigest = 0x0123456789abcdef;
  Message.WantRecord = true;
  Message.TargetProcess = makeMember(2).process();
  Message.TargetPeer = makeMember(2).Peer;
  Message.Buckets.emplace();
  Message.Buckets->back() = 5;
  Message.WantDeparted = true;
  Message.Claims.push_back(claimOf(makeMember(3)));
  Message.Records.push_back(makeMember(4));
  return Message;
}

} // namespace

TEST_CASE("a datagram survives encoding, and its size is known beforehand, so "
          "the bound on datagrams holds") {
  const Datagram Message = makeFullDatagram();
  const std::string Bytes = encode(Message);
  CHECK(Bytes.size() == encodedSize(Message));
  const auto Decoded = decode(Bytes);
  REQUIRE(Decoded);
  CHECK(*Decoded == Message);
}

TEST_CASE("truncated, extended and corrupted datagrams are refused or decoded, "
          "never read past their end") {
  const std::string Bytes = encode(makeFullDatagram());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(decode(std::string_view(Bytes).substr(0, Length)));
  CHECK_FALSE(decode(Bytes + "x"));
  CHECK_FALSE(decode(std::string(kMaxEncodedBytes + 1, '\1')));
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Damaged = Bytes;
    Damaged[Random() % Damaged.size()] = char(Random());
    Damaged[Random() % Damaged.size()] = char(Random());
    if (const auto Decoded = decode(Damaged))
      CHECK(encodedSize(*Decoded) <= Damaged.size());
  }
}

TEST_CASE("a member survives serialisation into the log") {
  Member Record = makeMember(3);
  Record.State = MemberState::Draining;
  Record.StateVersion = 4;
  Record.AppliedOffset = base::LogOffset(17);
  std::stringstream Stream;
  cereal::PortableBinaryOutputArchive Out(Stream);
  Out(Record);
  Member Read;
  cereal::PortableBinaryInputArchive In(Stream);
  In(Read);
  CHECK(Read == Record);
}
