#include "membership/internal/gossipcore.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace membership {

namespace {

// Transmissions of an update per power of ten of the number of members. Views
// that still differ after the last transmission are repaired by comparing
// digests.
constexpr unsigned kTransmitMultiplier = 4;

// Draws before the choice of a random peer gives up, for example in a data
// centre that is cut off and considers most members dead.
constexpr unsigned kMaxDrawsPerPeer = 16;

// Together with probes, urgent pushes and sync replies this keeps a daemon
// below 2.5 KB/s sent, and as much received, while a large part of the fleet
// changes its state.
constexpr double kPiggybackBytesPerSecond = 768;
constexpr double kPiggybackBurstBytes = 32.0 * 1024;

} // namespace

GossipCore::GossipCore(GossipSettings Initial)
    : Settings(std::move(Initial)),
      PiggybackBudget(kPiggybackBytesPerSecond, kPiggybackBurstBytes),
      Random(Settings.RandomSeed) {}

const Member &GossipCore::self() const {
  return Table.find(Settings.Self.Instance)->Record;
}

Datagram GossipCore::makeDatagram(DatagramKind Kind,
                                  std::uint32_t Sequence) const {
  Datagram Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.Sender = claimOf(self());
  Message.AppliedOffset = OwnAppliedOffset;
  Message.ViewDigest = Table.digest();
  return Message;
}

std::size_t GossipCore::send(Datagram Message, const base::Endpoint &To,
                             const base::InstanceId &Recipient) {
  const MemberEntry *Entry = Table.find(Recipient);
  if (Entry && Entry->Record.State != MemberState::Alive)
    Message.Claims.push_back(claimOf(Entry->Record));
  if (const Tombstone *Last = Table.tombstone(Recipient))
    Message.Claims.push_back(Last->Claim);
  const std::size_t Before = encodedSize(Message);
  if (PiggybackBudget.hasTokens(Now))
    Broadcasts.fill(Message, Table, transmitLimit());
  PiggybackBudget.consume(encodedSize(Message) - Before);
  return sendWithoutUpdates(std::move(Message), To);
}

std::size_t GossipCore::sendWithoutUpdates(Datagram Message,
                                           const base::Endpoint &To) {
  const std::size_t Size = encodedSize(Message);
  Counters.DatagramsSent += 1;
  Counters.BytesSent += Size;
  Outbox.push_back({To, std::move(Message)});
  return Size;
}

const MemberEntry *GossipCore::randomPeer(const base::InstanceId &Excluded) {
  const std::vector<MemberEntry> &All = Table.entries();
  for (unsigned Draw = 0; Draw < kMaxDrawsPerPeer; ++Draw) {
    const MemberEntry &Entry = All[randomBelow(All.size())];
    const MemberState State = Entry.Record.State;
    const bool Reachable =
        State == MemberState::Alive || State == MemberState::Draining;
    const base::InstanceId &Instance = Entry.Record.Instance;
    if (Reachable && !Entry.Silent && Instance != Settings.Self.Instance &&
        Instance != Excluded)
      return &Entry;
  }
  return nullptr;
}

std::vector<const MemberEntry *>
GossipCore::randomPeers(std::size_t Count, const base::InstanceId &Excluded) {
  std::vector<const MemberEntry *> Result;
  for (std::size_t Draw = 0; Draw < 3 * Count && Result.size() < Count;
       ++Draw) {
    const MemberEntry *Entry = randomPeer(Excluded);
    if (!Entry)
      break;
    if (std::find(Result.begin(), Result.end(), Entry) == Result.end())
      Result.push_back(Entry);
  }
  return Result;
}

std::size_t GossipCore::randomBelow(std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
}

unsigned GossipCore::transmitLimit() const {
  const double Size = double(Table.presentCount()) + 1;
  return kTransmitMultiplier * unsigned(std::ceil(std::log10(Size + 1)));
}

} // namespace membership
