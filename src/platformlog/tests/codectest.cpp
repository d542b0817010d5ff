#include "config/tests/examples.h"
#include "platformlog/fleetrecord.h"
#include "platformlog/fleetsnapshot.h"
#include "platformlog/tests/allocations.h"

#include <cereal/types/map.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace platformlog;

namespace {

struct Sample {
  bool Flag = true;
  std::vector<std::string> Texts{"one", "two"};
  std::map<std::string, std::uint64_t> Numbers{{"a", 1}, {"b", 2}};
  std::vector<std::uint64_t> Integers{1, 2, 3};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Flag, Texts, Numbers, Integers);
  }
};

/// Returns `Bytes` with the eight-byte length at position `At` replaced.
std::string withLength(std::string Bytes, std::size_t At,
                       std::uint64_t Length) {
  for (int Index = 0; Index < 8; ++Index)
    Bytes[At + Index] = static_cast<char>(Length >> (8 * Index));
  return Bytes;
}

FleetSnapshot exampleSnapshot() {
  FleetSnapshot Snapshot;
  config::ConfigChange Change;
  Change.File = "orders.toml";
  Change.Content = config::examples::serviceText();
  Snapshot.Config.apply(base::LogOffset(4), Change);
  Snapshot.LastOffset = base::LogOffset(4);
  Snapshot.Ownership = "opaque";
  return Snapshot;
}

} // namespace

TEST_CASE("encoded values are decoded unchanged, and cereal's own archive "
          "reads the same format") {
  const std::string Bytes = encode(Sample());
  const auto Copy = decode<Sample>(Bytes);
  REQUIRE(Copy);
  CHECK(Copy->Texts == Sample().Texts);
  CHECK(Copy->Numbers == Sample().Numbers);
  CHECK(Copy->Integers == Sample().Integers);
  std::istringstream Stream(Bytes);
  cereal::PortableBinaryInputArchive Archive(Stream);
  Sample Other;
  Other.Texts.clear();
  Archive(Other);
  CHECK(Other.Texts == Copy->Texts);
}

TEST_CASE("a snapshot is encoded in a record and decoded unchanged") {
  const auto Record =
      decodeRecord(encodeRecord(RecordKind::Snapshot, exampleSnapshot()));
  REQUIRE(Record);
  CHECK(Record->Kind == RecordKind::Snapshot);
  const auto Snapshot = decode<FleetSnapshot>(Record->Payload);
  REQUIRE(Snapshot);
  CHECK(Snapshot->Config.version() == base::LogOffset(4));
  CHECK(Snapshot->Ownership == "opaque");
}

TEST_CASE("truncated, extended and unknown records are rejected") {
  const std::string Bytes = encodeRecord(RecordKind::Announcement, Sample());
  REQUIRE(decodeRecord(Bytes));
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(decodeRecord(Bytes.substr(0, Length)));
  CHECK_FALSE(decodeRecord(Bytes + "x"));
  std::string Unknown = Bytes;
  // Byte 0 is cereal's endianness flag, byte 1 the kind of the record.
  Unknown[1] = 77;
  CHECK_FALSE(decodeRecord(Unknown));
}

TEST_CASE("a length field larger than the input allocates no memory for it") {
  const std::string Bytes = encode(std::vector<std::string>{"one"});
  constexpr std::uint64_t Huge = std::uint64_t{1} << 40;
  // The element count follows cereal's endianness flag in byte 0, and the
  // length of the first element follows the count.
  for (const std::size_t At : {1, 9}) {
    const std::size_t Before = allocatedBytes();
    CHECK_FALSE(decode<std::vector<std::string>>(withLength(Bytes, At, Huge)));
    CHECK(allocatedBytes() - Before < 4096);
  }
  // The element count of 100000 is plausible for an input with as many bytes
  // after the count. The length of the first element is not: its eight bytes
  // are 0xff.
  std::string OversizedElements =
      withLength(std::string(100009, '\xff'), 1, 100000);
  OversizedElements[0] = 1;
  const std::size_t Before = allocatedBytes();
  CHECK_FALSE(decode<std::vector<std::string>>(OversizedElements));
  CHECK(allocatedBytes() - Before < 4096);
}

TEST_CASE("decoders don't crash on randomly modified input and, except for "
          "snapshots, allocate at most a small multiple of its size") {
  std::mt19937 Random(20260101);
  const std::string Samples[] = {
      encode(Sample()), encode(exampleSnapshot()),
      encodeRecord(RecordKind::ConfigChange, config::ConfigChange())};
  for (int Round = 0; Round < 30000; ++Round) {
    std::string Bytes = Samples[Round % 3];
    for (unsigned Change = Random() % 4 + 1; Change > 0; --Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Random() % 4 == 0)
      Bytes.resize(Random() % Bytes.size());
    const std::size_t Before = allocatedBytes();
    (void)decode<Sample>(Bytes);
    (void)decode<config::ConfigChange>(Bytes);
    (void)decodeRecord(Bytes);
    CHECK(allocatedBytes() - Before < 16384 + 32 * Bytes.size());
    // Decoding a snapshot also parses the configuration files in it, so its
    // allocations are not covered by the check above.
    (void)decode<FleetSnapshot>(Bytes);
  }
}
