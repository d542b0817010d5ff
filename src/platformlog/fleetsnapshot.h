#ifndef JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H
#define JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H

#include "base/types.h"
#include "config/configstate.h"

#include <string>

namespace platformlog {

/// The fleet state after all records up to an offset.
struct FleetSnapshot {
  base::LogOffset UpTo;
  config::ConfigState Config;
  /// Encoded state of the module `ownership`.
  std::string Ownership;
  /// Encoded state of the module `membership`.
  std::string Members;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(UpTo, Config, Ownership, Members);
  }
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_FLEETSNAPSHOT_H
