#ifndef JACKDAW_MEMBERSHIP_INTERNAL_URGENTPUSH_H
#define JACKDAW_MEMBERSHIP_INTERNAL_URGENTPUSH_H

#include "membership/internal/bytebudget.h"
#include "membership/internal/gossipcore.h"

#include <deque>
#include <vector>

namespace membership {

/// Sends urgent updates to random members at once instead of with the next
/// probe. Every daemon that receives such an update for the first time does the
/// same, so it reaches the whole fleet within a few network delays.
class UrgentPush {
public:
  explicit UrgentPush(GossipCore &Core);

  /// Queues an update about `Instance` for the next `flush`.
  void add(const base::InstanceId &Instance);

  /// Queues this daemon's applied offset, which every datagram carries.
  void addOffset() { OffsetPending = true; }

  /// Sends the updates that are queued or due for another round, as far as the
  /// byte budget allows. Updates about this daemon itself are always sent.
  void flush();

private:
  struct Item {
    base::InstanceId Instance;
    base::BootTime Due;
    unsigned Round = 0;
  };

  std::vector<base::InstanceId> takeDue();
  void sendRound(const std::vector<base::InstanceId> &Instances);

  GossipCore &Core;
  ByteBudget Budget;
  std::deque<Item> Items;
  bool OffsetPending = false;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_URGENTPUSH_H
