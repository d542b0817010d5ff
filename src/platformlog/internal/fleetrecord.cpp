#include "platformlog/fleetrecord.h"

namespace platformlog {

std::optional<FleetRecord> decodeRecord(std::string_view Bytes) {
  auto Record = decode<FleetRecord>(Bytes);
  if (!Record || Record->Kind < RecordKind::Snapshot ||
      Record->Kind > RecordKind::Announcement)
    return std::nullopt;
  return Record;
}

} // namespace platformlog
