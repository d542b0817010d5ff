#include "membership/internal/viewsync.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace membership {

namespace {

using namespace std::chrono_literals;

// Pace of requests while views differ only because news is on its way.
constexpr base::Duration kRequestPeriod = 5s;

// Pace while replies bring news, as after a join.
constexpr base::Duration kSeriesPeriod = 100ms;

// A reply with fewer news does not call for another request at once.
constexpr std::size_t kSeriesMinimumNews = 4;

// Requests after the start or a pause of the process; several, because
// datagrams get lost and the members asked may have left themselves.
constexpr unsigned kRefreshRequests = 6;
constexpr base::Duration kRefreshPeriod = 200ms;

constexpr std::size_t kMaxReplyDatagrams = 4;

// For repairs while views differ little.
constexpr double kRepairBytesPerSecond = 512;
constexpr double kRepairBurstBytes = 64.0 * 1024;

// For joins, when at least half of the buckets differ. The burst lets all
// daemons start at once, when each must serve one whole table.
constexpr double kJoinBytesPerSecond = 512;
constexpr double kJoinBurstBytes = 512.0 * 1024;
constexpr std::size_t kJoinBuckets = kDigestBuckets / 2;

} // namespace

ViewSync::ViewSync(GossipCore &Core)
    : Core(Core), RepairBudget(kRepairBytesPerSecond, kRepairBurstBytes),
      JoinBudget(kJoinBytesPerSecond, kJoinBurstBytes) {}

void ViewSync::onDigest(const Datagram &Message,
                        const base::PeerAddress &From) {
  if (Message.Kind == DatagramKind::SyncRequest ||
      Message.Kind == DatagramKind::SyncReply)
    return;
  if (Message.ViewDigest == Core.Table.digest() || Core.Now < NextRequest)
    return;
  request(From);
}

void ViewSync::request(const base::PeerAddress &To) {
  const bool Joining = Series || RefreshRequests > 0;
  ByteBudget &Budget = Joining ? JoinBudget : RepairBudget;
  Series = false;
  NextRequest =
      Core.Now + (RefreshRequests > 0 ? kRefreshPeriod : kRequestPeriod);
  if (!Budget.open(Core.Now))
    return;
  Datagram Message = Core.make(DatagramKind::SyncRequest, 0);
  Message.Buckets = Core.Table.bucketDigests();
  Message.WantDeparted = RefreshRequests > 0;
  ++Core.Counters.SyncRequests;
  Budget.spend(Core.sendPlain(std::move(Message), To));
}

void ViewSync::refresh() {
  RefreshRequests = kRefreshRequests;
  NextRequest = Core.Now;
}

void ViewSync::tick() {
  if ((!Series && RefreshRequests == 0) || Core.Now < NextRequest)
    return;
  const MemberEntry *Peer = Core.randomPeer({});
  if (!Peer)
    return;
  request(Peer->Record.Peer);
  RefreshRequests -= RefreshRequests > 0;
}

void ViewSync::onReply(std::size_t News) {
  if (News < kSeriesMinimumNews)
    return;
  Series = true;
  NextRequest = std::min(NextRequest, Core.Now + kSeriesPeriod);
}

// Whole buckets, so that those that have been sent no longer differ, from a
// random one on, so that requests to different members bring different parts.
void ViewSync::sortForReply(std::vector<const MemberEntry *> &Entries,
                            bool DepartedFirst) {
  const std::size_t Start = Core.randomBelow(kDigestBuckets);
  const auto Rank = [&](const MemberEntry *Entry) {
    const bool Later = DepartedFirst && isPresent(Entry->Record.State);
    const std::size_t Bucket = MemberTable::bucketOf(*Entry);
    return std::pair(Later, (Bucket + kDigestBuckets - Start) % kDigestBuckets);
  };
  std::sort(Entries.begin(), Entries.end(),
            [&](const MemberEntry *A, const MemberEntry *B) {
              return Rank(A) < Rank(B);
            });
}

void ViewSync::onRequest(const Datagram &Message,
                         const base::PeerAddress &From) {
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
                           ByteBudget &Budget, const base::PeerAddress &To) {
  std::size_t Next = 0;
  for (std::size_t Count = 0; Count < kMaxReplyDatagrams; ++Count) {
    if (Next == Differing.size() || !Budget.open(Core.Now))
      return;
    Datagram Reply = Core.make(DatagramKind::SyncReply, 0);
    std::size_t Size = encodedSize(Reply);
    while (Next < Differing.size()) {
      Size += encodedSize(Differing[Next]->Record);
      if (Size > kMaxEncodedBytes)
        break;
      Reply.Records.push_back(Differing[Next++]->Record);
    }
    ++Core.Counters.SyncReplies;
    Budget.spend(Core.sendPlain(std::move(Reply), To));
  }
}

} // namespace membership
