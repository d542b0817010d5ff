#ifndef JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H
#define JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H

#include "membership/internal/bytebudget.h"
#include "membership/internal/gossipcore.h"

namespace membership {

/// Anti-entropy: repairs views that still differ after piggybacked updates, for
/// example after a join, a partition or heavy loss: daemons compare digests and
/// send the members in buckets that differ.
class ViewSync {
public:
  explicit ViewSync(GossipCore &Core);

  /// Compares the digest in a datagram with this daemon's own and requests
  /// members if they differ and a request is due.
  void onDigest(const Datagram &Message, const base::Endpoint &From);

  /// Sends the members in differing buckets, within the byte budget.
  void onRequest(const Datagram &Message, const base::Endpoint &From);

  /// Records how many updates a reply brought. While replies bring updates,
  /// requests follow each other quickly.
  void onReply(std::size_t Updates);

  /// Requests the views of several members soon, for a process that has started
  /// or was paused and may have missed that others left.
  void refresh();

  /// Sends the next catch-up or refresh request, if due, to a random member.
  void tick();

private:
  void sortForReply(std::vector<const MemberEntry *> &Entries,
                    bool DepartedFirst);
  void sendReplies(const std::vector<const MemberEntry *> &Differing,
                   ByteBudget &Budget, const base::Endpoint &To);
  void request(const base::Endpoint &To);

  GossipCore &Core;
  ByteBudget RepairBudget;
  ByteBudget JoinBudget;
  base::BootTime NextRequest;
  bool CatchingUp = false;
  unsigned RefreshRequests = 0;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H
