#ifndef JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H
#define JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H

#include "membership/internal/gossipcore.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace membership {

/// Probes one member a second and answers for others. Three probes of four stay
/// in the daemon's own data centre, so that a failure there is found by
/// neighbours within seconds and most traffic is local; the fourth goes to
/// another one, so that views stay joined and a cut between data centres is
/// noticed.
class Prober {
public:
  explicit Prober(GossipCore &Core) : Core(Core) {}

  /// Runs due timers. Returns the process whose probe failed, if any.
  std::optional<base::ProcessId> tick();

  /// Takes a new member into the order of probes.
  void addTarget(const Member &Record);

  /// Probes the process next.
  void probeNext(const base::ProcessId &Process);

  /// Drops the probe in flight, whose answer may have come during a pause of
  /// this process.
  void abandonProbe() { Current.reset(); }

  /// Whether the answer proves that the probed process is there.
  bool onAck(const Datagram &Message);
  void onNack(const Datagram &Message);
  void onPingRequest(const Datagram &Message, const base::PeerAddress &From);

private:
  struct Probe {
    base::ProcessId Process;
    std::uint32_t Sequence = 0;
    base::BootTime Started;
    base::BootTime IndirectAt;
    base::BootTime Deadline;
    std::size_t Helpers = 0;
    std::size_t Nacks = 0;
    bool Indirect = false;
    bool Answered = false;
  };
  /// A ping on behalf of another member.
  struct Relay {
    std::uint32_t Sequence = 0;
    base::ProcessId Process;
    base::ProcessId Requester;
    base::PeerAddress RequesterPeer;
    base::BootTime Deadline;
  };
  /// Members of one kind in random order.
  struct Ring {
    std::vector<base::InstanceId> Order;
    std::size_t Next = 0;
  };

  const MemberEntry *nextTarget();
  const MemberEntry *nextOf(Ring &Targets, bool Own);
  void refill(Ring &Targets, bool Own);
  bool isProbed(const Member &Record) const;
  void startProbe();
  void startIndirect();
  std::optional<base::ProcessId> finishProbe();
  void expireRelays();
  void ping(const Member &Record, std::uint32_t Sequence);

  GossipCore &Core;
  std::optional<Probe> Current;
  base::BootTime NextProbe;
  unsigned ProbeCount = 0;
  Ring OwnCentre;
  Ring OtherCentres;
  std::deque<base::ProcessId> Requested;
  std::unordered_map<std::uint32_t, Relay> Relays;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H
