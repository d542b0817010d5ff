#ifndef JACKDAW_MEMBERSHIP_GOSSIPPROTOCOL_H
#define JACKDAW_MEMBERSHIP_GOSSIPPROTOCOL_H

#include "base/clock.h"
#include "membership/datagram.h"
#include "membership/member.h"
#include "membership/membertable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace membership {

/// Settings of the gossip protocol at the start of a daemon.
struct GossipSettings {
  /// The daemon's own record, alive, with state version 0. It must satisfy
  /// `isEncodable`.
  Member Self;
  /// Peers to contact first.
  std::vector<base::Endpoint> Seeds;
  /// Seed of the random number generator.
  std::uint64_t RandomSeed = 0;
};

/// A datagram that the caller must send.
struct OutgoingDatagram {
  base::Endpoint To;
  Datagram Message;
};

/// A peer from which missing log records can be fetched.
struct LogSource {
  base::LogOffset Offset;
  base::ProcessId Process;
  base::Endpoint Peer;
};

/// Totals since the start of the process.
struct GossipCounters {
  std::uint64_t DatagramsSent = 0;
  /// Encoded bytes, without sealing and UDP/IP headers.
  std::uint64_t BytesSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t ProbesSent = 0;
  std::uint64_t ProbesFailed = 0;
  /// Members that this daemon itself began to suspect.
  std::uint64_t Suspicions = 0;
  /// Members that this daemon itself declared dead.
  std::uint64_t Deaths = 0;
  /// Claims about itself that this daemon refuted.
  std::uint64_t Refutations = 0;
  std::uint64_t UrgentPushes = 0;
  std::uint64_t SyncRequests = 0;
  std::uint64_t SyncReplies = 0;
  /// Gaps between ticks that were longer than `kMaxTickGap`.
  std::uint64_t Pauses = 0;
};

/// SWIM membership protocol over datagrams. It does no I/O: `receive` and
/// `tick` return the datagrams to send. Times come from `base::Clock::now`. Not
/// thread-safe.
///
/// Timers count only the time during which the process itself ran: a gap
/// between ticks counts as at most `kMaxTickGap`, so that a process that was
/// paused does not take its own pause for the silence of others.
class GossipProtocol {
public:
  /// A longer gap between ticks counts as a pause of the process.
  static constexpr base::Duration kMaxTickGap = std::chrono::milliseconds(500);

  GossipProtocol(GossipSettings Settings, base::BootTime Now);
  ~GossipProtocol();

  /// Runs due timers; call it about every 10 ms.
  [[nodiscard]] std::vector<OutgoingDatagram> tick(base::BootTime Now);

  /// Handles a datagram received from the address `From`.
  [[nodiscard]] std::vector<OutgoingDatagram>
  receive(const Datagram &Message, const base::Endpoint &From,
          base::BootTime Now);

  /// Announces that this daemon is draining or has stopped. States only move
  /// forward; any other change is ignored.
  [[nodiscard]] std::vector<OutgoingDatagram> changeOwnState(MemberState State);

  /// Records that this daemon has applied the log up to `Offset` and announces
  /// it to three random members at once.
  [[nodiscard]] std::vector<OutgoingDatagram>
  setAppliedOffset(base::LogOffset Offset);

  /// Tells the usable members of this daemon's data centre that it has just
  /// read the log to its end.
  [[nodiscard]] std::vector<OutgoingDatagram> confirmOffset();

  /// Merges a member record that was announced in the log. An unknown member is
  /// contacted and added when it replies, because the log also holds members
  /// that died without announcing it.
  void mergeAnnouncement(const Member &Announced);

  /// Records that connections to the process are silent. The process is
  /// unusable at once, until a datagram from it arrives, and it is probed next.
  void reportSilent(const base::ProcessId &Process);

  const MemberTable &members() const;

  /// This daemon's own record.
  const Member &self() const;

  /// Whether routing may choose the process now.
  bool isUsable(const base::ProcessId &Process) const;

  /// The members of a data centre that read the platform log.
  std::vector<Member> logReaders(const base::DataCentreId &DataCentre) const;

  /// Position of an instance in the order in which the usable members of its
  /// data centre read the log; their number if it isn't usable.
  std::size_t logReaderRank(const base::InstanceId &Instance) const;

  /// The usable member with the highest applied offset. Returns no value if
  /// none is above this daemon's own.
  std::optional<LogSource> newestLogSource() const;

  /// Instances whose entry changed, appeared or disappeared since the last
  /// call.
  std::vector<base::InstanceId> takeChanges();

  /// Whether a newer process of this instance exists, in which case this one
  /// must stop.
  bool isSuperseded() const;

  /// Local health score from 0 (good) to 7 (worst); probe and suspicion
  /// timeouts grow with it.
  unsigned localHealth() const;

  const GossipCounters &counters() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_GOSSIPPROTOCOL_H
