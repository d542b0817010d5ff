#ifndef JACKDAW_RELAY_PEERSERVERTABLE_H
#define JACKDAW_RELAY_PEERSERVERTABLE_H

#include "base/clock.h"
#include "relay/messages.h"

#include <optional>
#include <unordered_map>

namespace relay {

/// What other daemons have told this one about their backend servers. It
/// outlives the daemon processes that told it: a daemon that has been restarted
/// knows nothing of what its server stated before, and is reminded.
class PeerServerTable {
public:
  explicit PeerServerTable(const base::Clock &Clock) : Clock(Clock) {}

  /// Applies a notice of the daemon on `Instance`. A server that is leaving
  /// stays so until the notice names another server.
  void apply(const base::InstanceId &Instance, const ServerNotice &Notice);

  /// What to remind the daemon on `Instance` of before a call; empty if
  /// nothing is known.
  std::optional<ServerReminder>
  reminderFor(const base::InstanceId &Instance) const;

private:
  struct Entry {
    ServerReminder Known;
    base::BootTime UpdatedAt;
  };

  void removeExpired();

  const base::Clock &Clock;
  std::unordered_map<base::InstanceId, Entry> Entries;
  base::BootTime NextExpiryCheck;
};

} // namespace relay

#endif // JACKDAW_RELAY_PEERSERVERTABLE_H
