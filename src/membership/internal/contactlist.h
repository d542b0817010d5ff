#ifndef JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H
#define JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H

#include "membership/internal/gossipcore.h"

#include <unordered_map>
#include <vector>

namespace membership {

/// Contacts addresses at which a peer may be found: seeds, members announced in
/// the log, and dead members or their tombstones. This is how a daemon joins
/// and how the two sides of a healed partition find each other again.
class ContactList {
public:
  explicit ContactList(GossipCore &Core) : Core(Core) {}

  /// Adds an announced member that is not in the table as a contact.
  void addAnnounced(const Member &Record);

  /// Pings a contact if one is due.
  void tick();

private:
  void pruneAnnounced();
  bool contactNewMember();
  void contactRandomAddress();
  void ping(const base::Endpoint &To, const base::InstanceId &Instance);

  GossipCore &Core;
  /// Announced members that are not in the table.
  std::unordered_map<base::InstanceId, Member> Announced;
  /// Announced members that have not been contacted yet.
  std::vector<base::InstanceId> NotContacted;
  base::BootTime NextFirstContact;
  base::BootTime NextContact;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_CONTACTLIST_H
