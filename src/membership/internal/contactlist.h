#ifndef JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H
#define JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H

#include "membership/internal/gossipcore.h"

#include <unordered_map>
#include <vector>

namespace membership {

/// Contacts addresses behind which a peer may be found: seeds, members
/// announced in the log, and dead or forgotten members. This is how a daemon
/// joins and how the halves of a healed partition find each other again.
class ContactList {
public:
  explicit ContactList(GossipCore &Core) : Core(Core) {}

  /// Remembers an announced member that is not in the table.
  void addAnnounced(const Member &Record);

  /// Pings a contact if one is due.
  void tick();

private:
  void pruneAnnounced();
  bool contactFresh();
  void contactAny();
  void ping(const base::PeerAddress &To, const base::InstanceId &Instance);

  GossipCore &Core;
  /// Announced members that are not in the table.
  std::unordered_map<base::InstanceId, Member> Announced;
  /// Announced members that have not been contacted yet.
  std::vector<base::InstanceId> Fresh;
  base::BootTime NextFresh;
  base::BootTime NextAny;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H
