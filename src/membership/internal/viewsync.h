#ifndef JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H
#define JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H

#include "membership/internal/bytebudget.h"
#include "membership/internal/gossipcore.h"

namespace membership {

/// Repairs views that piggybacked news did not make equal, after a join, a
/// partition or heavy loss: daemons compare digests and send the members in
/// buckets that differ.
class ViewSync {
public:
  explicit ViewSync(GossipCore &Core);

  /// Looks at the digest in a datagram and asks for members if it differs and a
  /// request is due.
  void onDigest(const Datagram &Message, const base::PeerAddress &From);

  /// Sends members in differing buckets, within the budget.
  void onRequest(const Datagram &Message, const base::PeerAddress &From);

  /// Takes note of how many members a reply brought news of; while replies
  /// bring news, requests follow each other quickly.
  void onReply(std::size_t News);

  /// Asks several members for their views soon, for a process that has started
  /// or was frozen and may have missed that others left.
  void refresh();

  /// Sends the next request of a series to a random member.
  void tick();

private:
  void sortForReply(std::vector<const MemberEntry *> &Entries,
                    bool DepartedFirst);
  void sendReplies(const std::vector<const MemberEntry *> &Differing,
                   ByteBudget &Budget, const base::PeerAddress &To);
  void request(const base::PeerAddress &To);

  GossipCore &Core;
  ByteBudget RepairBudget;
  ByteBudget JoinBudget;
  base::BootTime NextRequest;
  bool Series = false;
  unsigned RefreshRequests = 0;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_VIEWSYNC_H
