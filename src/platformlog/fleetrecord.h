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

/// What a record of the `fleet` stream holds. The numbers are part of the
/// format.
enum class RecordKind : std::uint8_t {
  /// `FleetSnapshot`.
  Snapshot = 1,
  /// `config::ConfigChange`.
  ConfigChange = 2,
  OwnershipClaim = 3,
  OwnershipRelease = 4,
  Announce = 5,
};

/// Envelope of every record of the `fleet` stream.
struct FleetRecord {
  RecordKind Kind = RecordKind::Announce;
  /// The encoded value of the kind's type.
  std::string Payload;

  template <class Archive> void serialize(Archive &Ar) { Ar(Kind, Payload); }
};

/// The bytes of a record that carries `Payload`.
template <typename T>
std::string encodeRecord(RecordKind Kind, const T &Payload) {
  return encode(FleetRecord{Kind, encode(Payload)});
}

/// The envelope in `Bytes`; nothing if they are none or of an unknown kind.
/// Readers pass over such records.
std::optional<FleetRecord> decodeRecord(std::string_view Bytes);

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_FLEETRECORD_H
