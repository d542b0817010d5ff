#include "membership/internal/viewsync.h"

#include <algorithm>
#include <vector>

namespace membership {

namespace {

using namespace std::chrono_literals;

// Pace of requests while views differ only because news is on its way.
constexpr base::Duration kRequestPeriod = 10s;

// Pace while replies bring news, as after a join.
constexpr base::Duration kSeriesPeriod = 100ms;

// A reply with fewer news does not call for another request at once.
constexpr std::size_t kSeriesMinimumNews = 4;

// Requests after a pause of the process; several, because datagrams get lost
// and the members asked may have left themselves.
constexpr unsigned kRefreshRequests = 6;
constexpr base::Duration kRefreshPeriod = 200ms;

constexpr std::size_t kMaxReplyDatagrams = 4;

// The burst lets a joining daemon fetch the table of a large fleet.
constexpr double kBudgetBytesPerSecond = 512;
constexpr double kBudgetBurstBytes = 128 * 1024;

} // namespace

ViewSync::ViewSync(GossipCore &Core)
    : Core(Core), Budget(kBudgetBytesPerSecond, kBudgetBurstBytes) {}

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
  Series = false;
  NextRequest = Core.Now + kRequestPeriod;
  if (!Budget.open(Core.Now))
    return;
  Datagram Message = Core.make(DatagramKind::SyncRequest, 0);
  Message.Buckets = Core.Table.bucketDigests();
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
  if (const MemberEntry *Peer = Core.randomPeer({}))
    request(Peer->Record.Peer);
  if (RefreshRequests == 0)
    return;
  --RefreshRequests;
  NextRequest = Core.Now + kRefreshPeriod;
}

void ViewSync::onReply(std::size_t News) {
  if (News < kSeriesMinimumNews)
    return;
  Series = true;
  NextRequest = std::min(NextRequest, Core.Now + kSeriesPeriod);
}

void ViewSync::onRequest(const Datagram &Message,
                         const base::PeerAddress &From) {
  if (!Message.Buckets)
    return;
  const BucketDigests &Own = Core.Table.bucketDigests();
  std::vector<const Member *> Differing;
  for (const MemberEntry &Entry : Core.Table.entries()) {
    const std::size_t Bucket = MemberTable::bucketOf(Entry);
    if ((*Message.Buckets)[Bucket] != Own[Bucket])
      Differing.push_back(&Entry.Record);
  }
  // Random order, so that repeated requests to different members bring
  // different parts.
  std::shuffle(Differing.begin(), Differing.end(), Core.Random);
  std::size_t Next = 0;
  for (std::size_t Count = 0; Count < kMaxReplyDatagrams; ++Count) {
    if (Next == Differing.size() || !Budget.open(Core.Now))
      return;
    Datagram Reply = Core.make(DatagramKind::SyncReply, 0);
    std::size_t Size = encodedSize(Reply);
    while (Next < Differing.size()) {
      Size += encodedSize(*Differing[Next]);
      if (Size > kMaxEncodedBytes)
        break;
      Reply.Records.push_back(*Differing[Next++]);
    }
    ++Core.Counters.SyncReplies;
    Budget.spend(Core.sendPlain(std::move(Reply), From));
  }
}

} // namespace membership
