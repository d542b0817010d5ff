#ifndef JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H
#define JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H

#include "membership/gossipprotocol.h"
#include "membership/internal/broadcastqueue.h"
#include "membership/internal/bytebudget.h"
#include "membership/internal/localhealth.h"

#include <random>

namespace membership {

/// What the parts of the protocol share: the table, the queue of news, the
/// datagrams waiting to be sent, and random choices.
struct GossipCore {
  explicit GossipCore(GossipSettings Initial);

  const Member &self() const;

  /// A datagram with the sender's fields filled in.
  Datagram make(DatagramKind Kind, std::uint32_t Sequence) const;

  /// Queues `Message` for sending, with piggybacked news. If the recipient is
  /// known and not alive in the table it is told so, which lets it refute.
  /// Returns the encoded size.
  std::size_t send(Datagram Message, const base::PeerAddress &To,
                   const base::InstanceId &Recipient);

  /// Queues `Message` without piggybacked news.
  std::size_t sendPlain(Datagram Message, const base::PeerAddress &To);

  /// A random member other than this one that is alive or draining and not
  /// silent, nor `Excluded`; null if no draw hits one.
  const MemberEntry *randomPeer(const base::InstanceId &Excluded);

  /// Up to `Count` different such members.
  std::vector<const MemberEntry *>
  randomPeers(std::size_t Count, const base::InstanceId &Excluded);

  /// Uniform in [0, Bound); `Bound` must not be 0.
  std::size_t randomBelow(std::size_t Bound);

  /// How often a piece of news is piggybacked.
  unsigned repeats() const;

  GossipSettings Settings;
  MemberTable Table;
  BroadcastQueue Broadcasts;
  ByteBudget Piggyback;
  LocalHealth Health;
  GossipCounters Counters;
  std::mt19937_64 Random;
  std::vector<OutgoingDatagram> Outbox;
  base::LogOffset Applied;
  std::uint32_t LastSequence = 0;
  /// Time during which this process ran.
  base::BootTime Now;
  bool Superseded = false;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H
