#ifndef JACKDAW_PLATFORMLOG_FLEETRECORD_H
#define JACKDAW_PLATFORMLOG_FLEETRECORD_H

#include "base/codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace platformlog {

using base::decode;
using base::encode;

/// Kind of a record of the `fleet` stream. The comment on each kind names the
/// type of its payload. The numbers are part of the record format.
enum class RecordKind : std::uint8_t {
  /// `FleetSnapshot`.
  Snapshot = 1,
  /// `config::ConfigChange`.
  ConfigChange = 2,
  /// `ownership::OwnershipClaim`.
  OwnershipClaim = 3,
  /// `ownership::OwnershipRelease`.
  OwnershipRelease = 4,
  /// `membership::Member`.
  Announcement = 5,
};

/// Envelope of every record of the `fleet` stream.
struct FleetRecord {
  RecordKind Kind = RecordKind::Announcement;
  /// The encoded value; `Kind` determines its type.
  std::string Payload;

  template <class Archive> void serialize(Archive &Ar) { Ar(Kind, Payload); }
};

/// Encodes `Payload` in the envelope of a record of `Kind`.
template <typename T>
std::string encodeRecord(RecordKind Kind, const T &Payload) {
  return encode(FleetRecord{Kind, encode(Payload)});
}

/// Decodes the envelope of a record. Returns no value if `Bytes` is not an
/// envelope or its kind is unknown; readers skip such records.
std::optional<FleetRecord> decodeRecord(std::string_view Bytes);

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_FLEETRECORD_H
