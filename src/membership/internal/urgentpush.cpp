#include "membership/internal/urgentpush.h"

#include <algorithm>
#include <utility>

namespace membership {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kFanOut = 3;

// An update pushed in four rounds to three members misses one daemon in 50,000
// at 10 % loss, and one in 300 if half of the members have just become silent;
// piggybacked copies reach those. The member itself pushes for more rounds,
// since it is the only source at first.
constexpr unsigned kRounds = 4;
constexpr unsigned kOwnRounds = 8;
constexpr base::Duration kRoundDelay = 400ms;

// Maximum number of urgent updates waiting for the budget.
constexpr std::size_t kMaxItems = 4096;

constexpr double kBudgetBytesPerSecond = 512;
constexpr double kBudgetBurstBytes = 16 * 1024;

} // namespace

UrgentPush::UrgentPush(GossipCore &Core)
    : Core(Core), Budget(kBudgetBytesPerSecond, kBudgetBurstBytes) {}

void UrgentPush::add(const base::InstanceId &Instance) {
  if (Items.size() < kMaxItems)
    Items.push_front({Instance, Core.Now, 0});
}

void UrgentPush::flush() {
  if (!OffsetPending && (Items.empty() || Items.front().Due > Core.Now))
    return;
  const base::InstanceId &Self = Core.Settings.Self.Instance;
  const bool Own = std::any_of(Items.begin(), Items.end(), [&](const Item &I) {
    return I.Instance == Self && I.Due <= Core.Now;
  });
  if (!Own && !OffsetPending && !Budget.hasTokens(Core.Now))
    return;
  OffsetPending = false;
  sendRound(takeDue());
}

std::vector<base::InstanceId> UrgentPush::takeDue() {
  std::vector<base::InstanceId> Result;
  std::deque<Item> Later;
  std::size_t Size = encodedSize(Core.makeDatagram(DatagramKind::Push, 0));
  for (Item &Entry : Items) {
    const MemberEntry *Known = Core.Table.find(Entry.Instance);
    const bool Due = Entry.Due <= Core.Now;
    const std::size_t Added = Known ? encodedSize(claimOf(Known->Record)) : 0;
    if (!Due || Size + Added > kMaxEncodedBytes) {
      Later.push_back(std::move(Entry));
      continue;
    }
    Size += Added;
    Result.push_back(Entry.Instance);
    const bool Own = Entry.Instance == Core.Settings.Self.Instance;
    if (Entry.Round + 1 < (Own ? kOwnRounds : kRounds))
      Later.push_back(
          {std::move(Entry.Instance), Core.Now + kRoundDelay, Entry.Round + 1});
  }
  // Keeps the items in the order of their due times, since `flush` looks only
  // at the first; `add` puts new ones, which are due at once, in front.
  std::stable_sort(Later.begin(), Later.end(),
                   [](const Item &A, const Item &B) { return A.Due < B.Due; });
  Items = std::move(Later);
  return Result;
}

void UrgentPush::sendRound(const std::vector<base::InstanceId> &Instances) {
  Datagram Message = Core.makeDatagram(DatagramKind::Push, 0);
  for (const base::InstanceId &Instance : Instances) {
    const MemberEntry *Entry = Core.Table.find(Instance);
    if (Entry && Instance != Core.Settings.Self.Instance)
      Message.Claims.push_back(claimOf(Entry->Record));
  }
  for (const MemberEntry *Peer : Core.randomPeers(kFanOut, {})) {
    ++Core.Counters.UrgentPushes;
    Budget.consume(Core.sendWithoutUpdates(Message, Peer->Record.Peer));
  }
}

} // namespace membership
