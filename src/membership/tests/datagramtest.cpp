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

// Guards against datagrams that exceed the size limit because `encodedSize`
// differs from the encoded length.
TEST_CASE("a datagram decodes to the original, and its encoded size is known "
          "beforehand") {
  const Datagram Message = makeFullDatagram();
  const std::string Bytes = encode(Message);
  CHECK(Bytes.size() == encodedSize(Message));
  const auto Decoded = decode(Bytes);
  REQUIRE(Decoded);
  CHECK(*Decoded == Message);
}

// Guards against reads past the end of a datagram.
TEST_CASE(
    "truncated and extended datagrams are refused, and corrupted ones are "
    "refused or decoded within their size") {
  const std::string Bytes = encode(makeFullDatagram());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(decode(std::string_view(Bytes).substr(0, Length)));
  CHECK_FALSE(decode(Bytes + "x"));
  CHECK_FALSE(decode(std::string(kMaxEncodedBytes + 1, '\1')));
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Corrupted = Bytes;
    Corrupted[Random() % Corrupted.size()] = char(Random());
    Corrupted[Random() % Corrupted.size()] = char(Random());
    if (const auto Decoded = decode(Corrupted))
      CHECK(encodedSize(*Decoded) <= Corrupted.size());
  }
}

TEST_CASE("a member serialised for the log deserialises to the original") {
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
