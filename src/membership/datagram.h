#ifndef JACKDAW_MEMBERSHIP_DATAGRAM_H
#define JACKDAW_MEMBERSHIP_DATAGRAM_H

#include "membership/member.h"
#include "membership/membertable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace membership {

/// Maximum size of an encoded datagram in bytes. Sealing (authenticated
/// encryption) adds a 24-byte nonce and a 16-byte tag, and the frame header
/// fits in the rest, so that a datagram on the wire stays under 1,200 bytes.
inline constexpr std::size_t kMaxEncodedBytes = 1100;

/// Maximum length in bytes of each name and IP address in a member record.
inline constexpr std::size_t kMaxNameBytes = 63;

enum class DatagramKind : std::uint8_t {
  /// Requests an `Ack` with the same sequence number.
  Ping,
  /// Acknowledges a `Ping` and carries its sequence number.
  Ack,
  /// Asks the receiver to ping `TargetProcess` and to report the result.
  PingRequest,
  /// The target of a `PingRequest` acknowledged the ping.
  RelayedAck,
  /// The target of a `PingRequest` did not acknowledge the ping in time.
  Nack,
  /// Carries updates and needs no reply.
  Push,
  /// Carries `Buckets` and requests the members in buckets that differ.
  SyncRequest,
  /// Carries records of members in buckets that differ.
  SyncReply,
  /// The sender has just read the log to its end, which is `AppliedOffset`.
  LogConfirmation,
};

inline constexpr std::uint8_t kDatagramKindCount = 9;

/// One message between the gossip protocols of two daemons.
struct Datagram {
  DatagramKind Kind = DatagramKind::Ping;
  /// Matches replies with requests.
  std::uint32_t Sequence = 0;
  /// The sender's claim about its own state.
  StateClaim Sender;
  /// Last log offset that the sender has applied.
  base::LogOffset AppliedOffset;
  /// Digest of the sender's view of the fleet.
  std::uint64_t ViewDigest = 0;
  /// The sender does not have the receiver's record and requests it.
  bool WantRecord = false;
  /// For `PingRequest`: the process to ping and its address. `RelayedAck` and
  /// `Nack` name only the process.
  base::ProcessId TargetProcess;
  base::Endpoint TargetPeer;
  /// For `SyncRequest`: the digests of the sender's buckets.
  std::optional<BucketDigests> Buckets;
  /// For `SyncRequest`: requests all dead and stopped members as well, which
  /// the digests leave out.
  bool WantDeparted = false;
  std::vector<StateClaim> Claims;
  std::vector<Member> Records;

  friend bool operator==(const Datagram &, const Datagram &) = default;
};

/// Number of bytes that a claim or record adds to an encoded datagram, and the
/// encoded size of a whole datagram.
std::size_t encodedSize(const StateClaim &Claim);
std::size_t encodedSize(const Member &Record);
std::size_t encodedSize(const Datagram &Message);

/// Whether `Record` has an instance name and its names and IP addresses respect
/// `kMaxNameBytes`. A daemon checks its own record before it joins.
bool isEncodable(const Member &Record);

/// Encodes in a compact binary form, in which a string is one length byte and
/// its text. Neither encoding nor decoding needs memory beyond the size of the
/// datagram.
std::string encode(const Datagram &Message);

/// Returns no value if `Bytes` is not exactly one well-formed datagram.
std::optional<Datagram> decode(std::string_view Bytes);

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_DATAGRAM_H
