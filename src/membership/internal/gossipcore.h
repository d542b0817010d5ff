#ifndef JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H
#define JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H

#include "membership/gossipprotocol.h"
#include "membership/internal/broadcastqueue.h"
#include "membership/internal/bytebudget.h"
#include "membership/internal/localhealth.h"

#include <random>

namespace membership {

/// State shared by the parts of the protocol: the member table, the queue of
/// updates, the datagrams waiting to be sent and the random number generator.
struct GossipCore {
  explicit GossipCore(GossipSettings Initial);

  const Member &self() const;

  /// A datagram with the sender's fields filled in.
  Datagram makeDatagram(DatagramKind Kind, std::uint32_t Sequence) const;

  /// Queues `Message` for sending, with piggybacked updates. If the recipient
  /// is in any state but alive in the table or a tombstone, the datagram also
  /// carries that claim, so that the recipient can refute it. Returns the
  /// encoded size in bytes.
  std::size_t send(Datagram Message, const base::Endpoint &To,
                   const base::InstanceId &Recipient);

  /// Queues `Message` for sending, without piggybacked updates. Returns the
  /// encoded size in bytes.
  std::size_t sendWithoutUpdates(Datagram Message, const base::Endpoint &To);

  /// A random member other than this one that is alive or draining and not
  /// silent, nor `Excluded`; null if none is found in a limited number of
  /// draws.
  const MemberEntry *randomPeer(const base::InstanceId &Excluded);

  /// Up to `Count` distinct members that `randomPeer` may return.
  std::vector<const MemberEntry *>
  randomPeers(std::size_t Count, const base::InstanceId &Excluded);

  /// Uniform in [0, Bound); `Bound` must not be 0.
  std::size_t randomBelow(std::size_t Bound);

  /// Number of times that an update is piggybacked, at the current fleet size.
  unsigned transmitLimit() const;

  GossipSettings Settings;
  MemberTable Table;
  BroadcastQueue Broadcasts;
  ByteBudget PiggybackBudget;
  LocalHealth Health;
  GossipCounters Counters;
  std::mt19937_64 Random;
  std::vector<OutgoingDatagram> Outbox;
  base::LogOffset OwnAppliedOffset;
  std::uint32_t LastSequence = 0;
  /// Protocol time, which advances only while this process runs.
  base::BootTime Now;
  bool Superseded = false;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPCORE_H
