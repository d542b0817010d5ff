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

/// Bound on an encoded datagram in bytes. Sealing adds a 24-byte nonce and a
/// 16-byte tag, and the frame header fits in the rest, so that a datagram on
/// the wire stays under 1,200 bytes.
inline constexpr std::size_t kMaxEncodedBytes = 1100;

/// Bound on each name and IP number in a member, in bytes.
inline constexpr std::size_t kMaxNameBytes = 63;

enum class DatagramKind : std::uint8_t {
  /// Asks for an `Ack` with the same sequence.
  Ping,
  Ack,
  /// Asks the receiver to ping `Target` and to report the result.
  PingRequest,
  /// `Target` answered the receiver of a `PingRequest`.
  RelayedAck,
  /// `Target` did not answer the receiver of a `PingRequest`.
  Nack,
  /// Carries news and needs no answer.
  Push,
  /// Carries `Buckets`; asks for members in buckets that differ.
  SyncRequest,
  SyncReply,
};

inline constexpr std::uint8_t kDatagramKindCount = 8;

/// One message between the gossip protocols of two daemons.
struct Datagram {
  DatagramKind Kind = DatagramKind::Ping;
  /// Matches answers with questions.
  std::uint32_t Sequence = 0;
  /// What the sender says about itself.
  StateClaim Sender;
  /// Last log offset that the sender has applied.
  base::LogOffset AppliedOffset;
  /// Digest of the sender's view of the fleet.
  std::uint64_t ViewDigest = 0;
  /// The sender does not know the receiver's record and asks for it.
  bool WantRecord = false;
  /// For `PingRequest`: the process to ping and its address.
  base::ProcessId TargetProcess;
  base::PeerAddress TargetPeer;
  /// For `SyncRequest`.
  std::optional<BucketDigests> Buckets;
  /// For `SyncRequest`: asks for all dead and stopped members as well, which
  /// the digests leave out.
  bool WantDeparted = false;
  std::vector<StateClaim> Claims;
  std::vector<Member> Records;

  friend bool operator==(const Datagram &, const Datagram &) = default;
};

/// Bytes that a claim or record adds to an encoded datagram.
std::size_t encodedSize(const StateClaim &Claim);
std::size_t encodedSize(const Member &Record);
std::size_t encodedSize(const Datagram &Message);

/// Whether the names and IP numbers of `Record` respect `kMaxNameBytes`; a
/// daemon checks its own record before it joins.
bool isEncodable(const Member &Record);

/// The compact binary form, with strings as one length byte and text. Neither
/// direction needs memory beyond the datagram's own size.
std::string encode(const Datagram &Message);

/// Nothing if `Bytes` is not exactly one well-formed datagram.
std::optional<Datagram> decode(std::string_view Bytes);

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_DATAGRAM_H
