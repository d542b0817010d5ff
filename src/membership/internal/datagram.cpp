#include "membership/datagram.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>

namespace membership {

namespace {

// Kind, sequence, applied offset, view digest, flags, and the two list lengths.
constexpr std::size_t kFixedHeaderBytes = 1 + 4 + 8 + 8 + 1 + 1 + 1;

// The portable archive starts with one byte for the byte order.
constexpr std::size_t kArchiveHeaderBytes = 1;

constexpr std::size_t kMaxListLength = 255;

enum Flag : std::uint8_t {
  WantRecord = 1,
  HasTarget = 2,
  HasBuckets = 4,
  WantDeparted = 8,
};
constexpr std::uint8_t kAllFlags =
    WantRecord | HasTarget | HasBuckets | WantDeparted;

std::size_t textSize(const std::string &Text) {
  return 1 + std::min(Text.size(), kMaxNameBytes);
}

std::size_t targetSize(const Datagram &Message) {
  if (Message.TargetProcess.Instance.empty())
    return 0;
  return textSize(Message.TargetProcess.Instance.str()) + 8 +
         textSize(Message.TargetPeer.Ip) + 2;
}

// The administration API usually listens on the same IP address as the peer
// port, in which case the field is encoded as an empty string.
std::string administrationIp(const Member &Record) {
  return Record.Administration.Ip == Record.Peer.Ip ? std::string()
                                                    : Record.Administration.Ip;
}

class Writer {
public:
  template <typename... Values> void writeNumbers(const Values &...All) {
    Archive(All...);
  }
  void writeText(const std::string &Text) {
    const auto Length = std::uint8_t(std::min(Text.size(), kMaxNameBytes));
    Archive(Length);
    Archive.saveBinary<1>(Text.data(), Length);
  }
  void writeClaim(const StateClaim &Claim) {
    writeText(Claim.Process.Instance.str());
    writeNumbers(Claim.Process.Incarnation.value(), Claim.StateVersion,
                 std::uint8_t(Claim.State));
  }
  void writeRecord(const Member &Record) {
    writeClaim(claimOf(Record));
    writeText(Record.DataCentre.str());
    writeText(Record.Region.str());
    writeText(Record.Service.str());
    writeText(Record.Peer.Ip);
    writeText(administrationIp(Record));
    writeNumbers(Record.Peer.Port, Record.Administration.Port,
                 Record.AppliedOffset.value(), Record.Slots);
  }
  std::string take() { return std::move(Stream).str(); }

private:
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive{Stream};
};

// Throws cereal::Exception if the bytes end early or a value is invalid.
class Reader {
public:
  explicit Reader(std::string_view Bytes) : Stream(std::string(Bytes)) {}

  template <typename Number> Number readNumber() {
    Number Value{};
    Archive(Value);
    return Value;
  }
  template <typename Enum> Enum readEnum(std::uint8_t Count) {
    const auto Value = readNumber<std::uint8_t>();
    if (Value >= Count)
      throw cereal::Exception("enumerator out of range");
    return static_cast<Enum>(Value);
  }
  std::string readText() {
    const auto Length = readNumber<std::uint8_t>();
    if (Length > kMaxNameBytes)
      throw cereal::Exception("string longer than kMaxNameBytes");
    std::string Result(Length, '\0');
    Archive.loadBinary<1>(Result.data(), Length);
    return Result;
  }
  StateClaim readClaim() {
    StateClaim Result;
    Result.Process.Instance = base::InstanceId(readText());
    Result.Process.Incarnation = base::Incarnation(readNumber<std::uint64_t>());
    Result.StateVersion = readNumber<std::uint32_t>();
    Result.State = readEnum<MemberState>(kMemberStateCount);
    return Result;
  }
  Member readRecord() {
    const StateClaim Claim = readClaim();
    Member Result;
    Result.Instance = Claim.Process.Instance;
    Result.Incarnation = Claim.Process.Incarnation;
    Result.StateVersion = Claim.StateVersion;
    Result.State = Claim.State;
    Result.DataCentre = base::DataCentreId(readText());
    Result.Region = base::RegionId(readText());
    Result.Service = base::ServiceName(readText());
    Result.Peer.Ip = readText();
    Result.Administration.Ip = readText();
    if (Result.Administration.Ip.empty())
      Result.Administration.Ip = Result.Peer.Ip;
    Result.Peer.Port = readNumber<std::uint16_t>();
    Result.Administration.Port = readNumber<std::uint16_t>();
    Result.AppliedOffset = base::LogOffset(readNumber<std::uint64_t>());
    Result.Slots = readNumber<std::uint32_t>();
    return Result;
  }
  bool atEnd() {
    return Stream.peek() == std::istringstream::traits_type::eof();
  }

private:
  std::istringstream Stream;
  cereal::PortableBinaryInputArchive Archive{Stream};
};

std::uint8_t flagsOf(const Datagram &Message) {
  std::uint8_t Flags = 0;
  if (Message.WantRecord)
    Flags |= WantRecord;
  if (!Message.TargetProcess.Instance.empty())
    Flags |= HasTarget;
  if (Message.Buckets)
    Flags |= HasBuckets;
  if (Message.WantDeparted)
    Flags |= WantDeparted;
  return Flags;
}

void readOptionalParts(Reader &In, std::uint8_t Flags, Datagram &Message) {
  Message.WantRecord = Flags & WantRecord;
  Message.WantDeparted = Flags & WantDeparted;
  if (Flags & HasTarget) {
    Message.TargetProcess.Instance = base::InstanceId(In.readText());
    Message.TargetProcess.Incarnation =
        base::Incarnation(In.readNumber<std::uint64_t>());
    Message.TargetPeer.Ip = In.readText();
    Message.TargetPeer.Port = In.readNumber<std::uint16_t>();
    if (Message.TargetProcess.Instance.empty())
      throw cereal::Exception("target process without an instance name");
  }
  if (Flags & HasBuckets) {
    Message.Buckets.emplace();
    for (std::uint32_t &Bucket : *Message.Buckets)
      Bucket = In.readNumber<std::uint32_t>();
  }
}

Datagram readDatagram(Reader &In) {
  Datagram Message;
  Message.Kind = In.readEnum<DatagramKind>(kDatagramKindCount);
  Message.Sequence = In.readNumber<std::uint32_t>();
  Message.Sender = In.readClaim();
  Message.AppliedOffset = base::LogOffset(In.readNumber<std::uint64_t>());
  Message.ViewDigest = In.readNumber<std::uint64_t>();
  const auto Flags = In.readNumber<std::uint8_t>();
  if (Flags & ~kAllFlags)
    throw cereal::Exception("unknown flag bit");
  readOptionalParts(In, Flags, Message);
  const auto Claims = In.readNumber<std::uint8_t>();
  for (unsigned Index = 0; Index < Claims; ++Index)
    Message.Claims.push_back(In.readClaim());
  const auto Records = In.readNumber<std::uint8_t>();
  for (unsigned Index = 0; Index < Records; ++Index)
    Message.Records.push_back(In.readRecord());
  return Message;
}

} // namespace

std::size_t encodedSize(const StateClaim &Claim) {
  return textSize(Claim.Process.Instance.str()) + 8 + 4 + 1;
}

std::size_t encodedSize(const Member &Record) {
  return encodedSize(claimOf(Record)) + textSize(Record.DataCentre.str()) +
         textSize(Record.Region.str()) + textSize(Record.Service.str()) +
         textSize(Record.Peer.Ip) + textSize(administrationIp(Record)) + 2 + 2 +
         8 + 4;
}

std::size_t encodedSize(const Datagram &Message) {
  std::size_t Size = kArchiveHeaderBytes + kFixedHeaderBytes +
                     encodedSize(Message.Sender) + targetSize(Message);
  if (Message.Buckets)
    Size += sizeof(BucketDigests);
  for (const StateClaim &Claim : Message.Claims)
    Size += encodedSize(Claim);
  for (const Member &Record : Message.Records)
    Size += encodedSize(Record);
  return Size;
}

bool isEncodable(const Member &Record) {
  const auto Fits = [](const std::string &Text) {
    return Text.size() <= kMaxNameBytes;
  };
  return !Record.Instance.empty() && Fits(Record.Instance.str()) &&
         Fits(Record.DataCentre.str()) && Fits(Record.Region.str()) &&
         Fits(Record.Service.str()) && Fits(Record.Peer.Ip) &&
         Fits(Record.Administration.Ip);
}

std::string encode(const Datagram &Message) {
  Writer Out;
  Out.writeNumbers(std::uint8_t(Message.Kind), Message.Sequence);
  Out.writeClaim(Message.Sender);
  Out.writeNumbers(Message.AppliedOffset.value(), Message.ViewDigest,
                   flagsOf(Message));
  if (!Message.TargetProcess.Instance.empty()) {
    Out.writeText(Message.TargetProcess.Instance.str());
    Out.writeNumbers(Message.TargetProcess.Incarnation.value());
    Out.writeText(Message.TargetPeer.Ip);
    Out.writeNumbers(Message.TargetPeer.Port);
  }
  if (Message.Buckets)
    for (const std::uint32_t Bucket : *Message.Buckets)
      Out.writeNumbers(Bucket);
  const std::size_t Claims = std::min(Message.Claims.size(), kMaxListLength);
  Out.writeNumbers(std::uint8_t(Claims));
  for (std::size_t Index = 0; Index < Claims; ++Index)
    Out.writeClaim(Message.Claims[Index]);
  const std::size_t Records = std::min(Message.Records.size(), kMaxListLength);
  Out.writeNumbers(std::uint8_t(Records));
  for (std::size_t Index = 0; Index < Records; ++Index)
    Out.writeRecord(Message.Records[Index]);
  return Out.take();
}

std::optional<Datagram> decode(std::string_view Bytes) {
  if (Bytes.size() > kMaxEncodedBytes)
    return std::nullopt;
  try {
    Reader In(Bytes);
    Datagram Message = readDatagram(In);
    if (!In.atEnd())
      return std::nullopt;
    return Message;
  } catch (const cereal::Exception &) {
    return std::nullopt;
  }
}

} // namespace membership
