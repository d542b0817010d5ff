#ifndef JACKDAW_MEMBERSHIP_INTERNAL_BROADCASTQUEUE_H
#define JACKDAW_MEMBERSHIP_INTERNAL_BROADCASTQUEUE_H

#include "membership/datagram.h"
#include "membership/membertable.h"

#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>

namespace membership {

/// Member updates to piggyback on datagrams. The queue holds only instances and
/// sends the current table entry, so a newer state replaces an older one.
class BroadcastQueue {
public:
  /// Queues an update about `Instance`; `WholeRecord` if others may not know
  /// the process yet.
  void add(const base::InstanceId &Instance, bool WholeRecord);

  /// Appends updates to `Message`, the least often sent first, up to
  /// `kMaxEncodedBytes`. An update that was sent `TransmitLimit` times is
  /// dropped.
  void fill(Datagram &Message, const MemberTable &Table,
            unsigned TransmitLimit);

  std::size_t size() const { return Items.size(); }

private:
  struct Item {
    unsigned Sends = 0;
    std::uint64_t Order = 0;
    bool WholeRecord = false;
  };
  using Key = std::tuple<unsigned, std::uint64_t, base::InstanceId>;

  std::unordered_map<base::InstanceId, Item> Items;
  std::set<Key> Queue;
  std::uint64_t NextOrder = 0;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_BROADCASTQUEUE_H
