#ifndef JACKDAW_MEMBERSHIP_INTERNAL_URGENTPUSH_H
#define JACKDAW_MEMBERSHIP_INTERNAL_URGENTPUSH_H

#include "membership/internal/bytebudget.h"
#include "membership/internal/gossipcore.h"

#include <deque>
#include <vector>

namespace membership {

/// Sends urgent news to random members at once instead of waiting for the next
/// probe. Every daemon that hears such news for the first time does the same,
/// so it crosses the fleet in a few network delays.
class UrgentPush {
public:
  explicit UrgentPush(GossipCore &Core);

  /// Queues news of `Instance` for the next `flush`.
  void add(const base::InstanceId &Instance);

  /// Queues this daemon's applied offset, which every datagram carries.
  void addOffset() { OffsetPending = true; }

  /// Sends what is queued or due again, as far as the budget allows. News of
  /// this daemon itself always goes out.
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
