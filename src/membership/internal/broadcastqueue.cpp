#include "membership/internal/broadcastqueue.h"

#include <algorithm>
#include <vector>

namespace membership {

namespace {

bool mentions(const Datagram &Message, const base::InstanceId &Instance) {
  const auto Claimed = [&](const StateClaim &Claim) {
    return Claim.Process.Instance == Instance;
  };
  const auto Recorded = [&](const Member &Record) {
    return Record.Instance == Instance;
  };
  return Message.Sender.Process.Instance == Instance ||
         std::any_of(Message.Claims.begin(), Message.Claims.end(), Claimed) ||
         std::any_of(Message.Records.begin(), Message.Records.end(), Recorded);
}

} // namespace

void BroadcastQueue::add(const base::InstanceId &Instance, bool WholeRecord) {
  const auto [Position, New] = Items.try_emplace(Instance);
  Item &Entry = Position->second;
  if (!New)
    Queue.erase({Entry.Sends, Entry.Order, Instance});
  Entry.WholeRecord |= WholeRecord;
  Entry.Sends = 0;
  // Newest first among updates sent equally often, since older ones are more
  // likely to be known already.
  Entry.Order = ~NextOrder++;
  Queue.insert({Entry.Sends, Entry.Order, Instance});
}

void BroadcastQueue::fill(Datagram &Message, const MemberTable &Table,
                          unsigned TransmitLimit) {
  std::size_t Size = encodedSize(Message);
  std::vector<base::InstanceId> Used;
  for (const auto &[Sends, Order, Instance] : Queue) {
    const MemberEntry *Entry = Table.find(Instance);
    const bool Whole = Items.at(Instance).WholeRecord;
    if (!Entry || mentions(Message, Instance)) {
      Used.push_back(Instance);
      continue;
    }
    const StateClaim Claim = claimOf(Entry->Record);
    const std::size_t Added =
        Whole ? encodedSize(Entry->Record) : encodedSize(Claim);
    if (Size + Added > kMaxEncodedBytes)
      break;
    Size += Added;
    Used.push_back(Instance);
    if (Whole)
      Message.Records.push_back(Entry->Record);
    else
      Message.Claims.push_back(Claim);
  }
  for (const base::InstanceId &Instance : Used) {
    Item &Entry = Items.at(Instance);
    Queue.erase({Entry.Sends, Entry.Order, Instance});
    if (++Entry.Sends >= TransmitLimit || !Table.find(Instance))
      Items.erase(Instance);
    else
      Queue.insert({Entry.Sends, Entry.Order, Instance});
  }
}

} // namespace membership
