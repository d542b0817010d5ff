#ifndef JACKDAW_RELAY_FLEETSECRET_H
#define JACKDAW_RELAY_FLEETSECRET_H

#include "base/clock.h"
#include "base/types.h"
#include "platformlog/keyedstore.h"

#include <string>

namespace relay {

/// What a daemon needs to join the fleet.
struct FleetSecret {
  std::string Secret;
  /// Incarnation of this process, above that of every earlier process of the
  /// instance, even if the wall clock was set back.
  base::Incarnation Incarnation;
  /// The newest records of the fleet stream, with which they were read.
  platformlog::KeyedPage Announcements;
};

/// Creates a secret that states when it was created, so that daemons which
/// hold different ones agree on which to use.
std::string makeFleetSecret(base::StoreEra Era, base::WallTime CreatedAt);

/// Whether daemons that know both secrets use `First`: the one that was created
/// in the earlier era of the store, then at the earlier time. A secret that
/// doesn't state this precedes all that do.
bool precedesSecret(const std::string &First, const std::string &Second);

} // namespace relay

#endif // JACKDAW_RELAY_FLEETSECRET_H
