#include "membership/internal/viewsync.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace membership {

namespace {

using namespace std::chrono_literals;

// Interval between requests while views differ only because updates are still
// spreading.
constexpr base::Duration kRequestPeriod = 5s;

// Interval between requests while replies bring updates, as after a join.
constexpr base::Duration kCatchUpPeriod = 100ms;

// A reply with fewer updates does not trigger another request at once.
constexpr std::size_t kMinCatchUpUpdates = 4;

// Requests after the start or a pause of the process; several, because
// datagrams get lost and the members asked may have left themselves.
constexpr unsigned kRefreshRequests = 6;
constexpr base::Duration kRefreshPeriod = 200ms;

constexpr std::size_t kMaxReplyDatagrams = 4;

// For repairs while views differ little.
constexpr double kRepairBytesPerSecond = 512;
constexpr double kRepairBurstBytes = 64.0 * 1024;

// For joins, when at least half of the buckets differ. The burst lets all
// daemons start at the same time, when each must send one whole table.
constexpr double kJoinBytesPerSecond = 512;
constexpr double kJoinBurstBytes = 512.0 * 1024;
constexpr std::size_t kJoinBuckets = kDigestBuckets / 2;

} // namespace

ViewSync::ViewSync(GossipCore &Core)
    : Core(Core), RepairBudget(kRepairBytesPerSecond, kRepairBurstBytes),
      JoinBudget(kJoinBytesPerSecond, kJoinBurstBytes) {}

void ViewSync::onDigest(const Datagram &Message, const base::Endpoint &From) {
  if (Message.Kind == DatagramKind::SyncRequest ||
      Message.Kind == DatagramKind::SyncReply)
    return;
  if (Message.ViewDigest == Core.Table.digest() || Core.Now < NextRequest)
    return;
  request(From);
}

void ViewSync::request(const base::Endpoint &To) {
  const bool Joining = CatchingUp || RefreshRequests > 0;
  ByteBudget &Budget = Joining ? JoinBudget : RepairBudget;
  CatchingUp = false;
  NextRequest =
      Core.Now + (RefreshRequests > 0 ? kRefreshPeriod : kRequestPeriod);
  if (!Budget.hasTokens(Core.Now))
    return;
  Datagram Message = Core.makeDatagram(DatagramKind::SyncRequest, 0);
  Message.Buckets = Core.Table.bucketDigests();
  Message.WantDeparted = RefreshRequests > 0;
  ++Core.Counters.SyncRequests;
  Budget.consume(Core.sendWithoutUpdates(std::move(Message), To));
}

void ViewSync::refresh() {
  RefreshRequests = kRefreshRequests;
  NextRequest = Core.Now;
}

void ViewSync::tick() {
  if ((!CatchingUp && RefreshRequests == 0) || Core.Now < NextRequest)
    return;
  const MemberEntry *Peer = Core.randomPeer({});
  if (!Peer)
    return;
  request(Peer->Record.Peer);
  RefreshRequests -= RefreshRequests > 0;
}

void ViewSync::onReply(std::size_t Updates) {
  if (Updates < kMinCatchUpUpdates)
    return;
  CatchingUp = true;
  NextRequest = std::min(NextRequest, Core.Now + kCatchUpPeriod);
}

// Sorts by bucket, so that buckets are sent whole and then no longer differ,
// starting at a random bucket, so that requests to different members bring
// different parts.
void ViewSync::sortForReply(std::vector<const MemberEntry *> &Entries,
                            bool DepartedFirst) {
  const std::size_t Start = Core.randomBelow(kDigestBuckets);
  const auto SortKey = [&](const MemberEntry *Entry) {
    const bool Later = DepartedFirst && isPresent(Entry->Record.State);
    const std::size_t Bucket = MemberTable::bucketOf(*Entry);
    return std::pair(Later, (Bucket + kDigestBuckets - Start) % kDigestBuckets);
  };
  std::sort(Entries.begin(), Entries.end(),
            [&](const MemberEntry *A, const MemberEntry *B) {
              return SortKey(A) < SortKey(B);
            });
}

void ViewSync::onRequest(const Datagram &Message, const base::Endpoint &From) {
  if (!Message.Buckets)
    return;
  const BucketDigests &Own = Core.Table.bucketDigests();
  std::vector<const MemberEntry *> Differing;
  for (const MemberEntry &Entry : Core.Table.entries()) {
    const std::size_t Bucket = MemberTable::bucketOf(Entry);
    const bool Departed = !isPresent(Entry.Record.State);
    if ((*Message.Buckets)[Bucket] != Own[Bucket] ||
        (Departed && Message.WantDeparted))
      Differing.push_back(&Entry);
  }
  sortForReply(Differing, Message.WantDeparted);
  std::size_t DifferentBuckets = 0;
  for (std::size_t Bucket = 0; Bucket < kDigestBuckets; ++Bucket)
    DifferentBuckets += (*Message.Buckets)[Bucket] != Own[Bucket];
  const bool Joining = DifferentBuckets >= kJoinBuckets;
  sendReplies(Differing, Joining ? JoinBudget : RepairBudget, From);
}

void ViewSync::sendReplies(const std::vector<const MemberEntry *> &Differing,
                           ByteBudget &Budget, const base::Endpoint &To) {
  std::size_t Next = 0;
  for (std::size_t Count = 0; Count < kMaxReplyDatagrams; ++Count) {
    if (Next == Differing.size() || !Budget.hasTokens(Core.Now))
      return;
    Datagram Reply = Core.makeDatagram(DatagramKind::SyncReply, 0);
    std::size_t Size = encodedSize(Reply);
    while (Next < Differing.size()) {
      Size += encodedSize(Differing[Next]->Record);
      if (Size > kMaxEncodedBytes)
        break;
      Reply.Records.push_back(Differing[Next++]->Record);
    }
    ++Core.Counters.SyncReplies;
    Budget.consume(Core.sendWithoutUpdates(std::move(Reply), To));
  }
}

} // namespace membership
