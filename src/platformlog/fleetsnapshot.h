#ifndef JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H
#define JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H

#include "base/types.h"
#include "config/configstate.h"

#include <string>

namespace platformlog {

/// The state of the fleet after all records up to an offset.
struct FleetSnapshot {
  /// Offset of the last record that the snapshot includes.
  base::LogOffset LastOffset;
  config::ConfigState Config;
  /// Encoded state of the `ownership` module.
  std::string Ownership;
  /// Encoded state of the `membership` module.
  std::string Members;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(LastOffset, Config, Ownership, Members);
  }
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H
