#ifndef JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H
#define JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H

#include "membership/internal/gossipcore.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace membership {

/// Probes one member per second and pings members on behalf of others. Three of
/// four probes stay in the daemon's own data centre, so that neighbours detect
/// a failure there within seconds and most traffic is local. The fourth goes to
/// another data centre, so that views stay connected and a partition between
/// data centres is noticed.
class Prober {
public:
  explicit Prober(GossipCore &Core) : Core(Core) {}

  /// Runs due timers. Returns the process whose probe failed, if any.
  std::optional<base::ProcessId> tick();

  /// Inserts a new member into the probe order at a random position.
  void addTarget(const Member &Record);

  /// Probes the process before the members in regular order.
  void probeNext(const base::ProcessId &Process);

  /// Drops the probe in flight, whose ack may have arrived while this process
  /// was paused.
  void abandonProbe() { Current.reset(); }

  /// Handles an ack of a probe or of a ping on behalf of another member.
  /// Returns whether it matches one in flight and so shows that the pinged
  /// process is running.
  bool onAck(const Datagram &Message);
  void onNack(const Datagram &Message);
  void onPingRequest(const Datagram &Message, const base::Endpoint &From);

private:
  struct Probe {
    base::ProcessId Process;
    std::uint32_t Sequence = 0;
    base::BootTime StartTime;
    /// When the indirect probe starts if no ack has arrived.
    base::BootTime IndirectAt;
    base::BootTime Deadline;
    /// Number of members asked to ping the process.
    std::size_t Helpers = 0;
    /// Number of nacks received from them.
    std::size_t Nacks = 0;
    /// The indirect probe has started.
    bool Indirect = false;
    bool Acked = false;
  };
  /// A ping on behalf of another member, the requester.
  struct Relay {
    /// Sequence number of the requester's `PingRequest`.
    std::uint32_t Sequence = 0;
    base::ProcessId Process;
    base::ProcessId Requester;
    base::Endpoint RequesterPeer;
    base::BootTime Deadline;
  };
  /// Members in the random order in which they are probed.
  struct ProbeOrder {
    std::vector<base::InstanceId> Instances;
    std::size_t Next = 0;
  };

  const MemberEntry *nextTarget();
  const MemberEntry *nextFrom(ProbeOrder &Targets, bool Local);
  void refill(ProbeOrder &Targets, bool Local);
  bool isProbeTarget(const Member &Record) const;
  void startProbe();
  void startIndirectProbe();
  std::optional<base::ProcessId> failProbe();
  void expireRelays();
  void ping(const Member &Record, std::uint32_t Sequence);

  GossipCore &Core;
  std::optional<Probe> Current;
  base::BootTime NextProbe;
  unsigned ProbeCount = 0;
  /// Members of this daemon's data centre.
  ProbeOrder LocalTargets;
  /// Members of the other data centres.
  ProbeOrder RemoteTargets;
  std::deque<base::ProcessId> PriorityTargets;
  std::unordered_map<std::uint32_t, Relay> Relays;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_PROBER_H
