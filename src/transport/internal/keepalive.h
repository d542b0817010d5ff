#ifndef JACKDAW_TRANSPORT_INTERNAL_KEEPALIVE_H
#define JACKDAW_TRANSPORT_INTERNAL_KEEPALIVE_H

#include "base/clock.h"

namespace transport {

/// Decides when to ping the peer of a connection, and when the connection
/// counts as silent. What arrives anyway replaces a ping, and a connection that
/// is not in use is pinged rarely, so that the cost of many connections between
/// daemons stays small. A call that is sent on one that went silent meanwhile
/// still finds this out within `kPingInterval` + `kPingTimeout`.
class KeepAlive {
public:
  /// Time without bytes from the peer after which a connection in use is
  /// pinged.
  static constexpr base::Duration kPingInterval = std::chrono::seconds(1);
  /// The same for a connection that is not in use.
  static constexpr base::Duration kIdlePingInterval = std::chrono::seconds(5);
  /// A connection is in use for this long after an application frame; longer
  /// than the time in which calls are usually answered.
  static constexpr base::Duration kUseTime = std::chrono::seconds(10);
  /// A connection is silent if nothing arrives for this long after a ping.
  static constexpr base::Duration kPingTimeout = std::chrono::seconds(2);

  explicit KeepAlive(base::BootTime Now) : LastReceived(Now), LastUsed(Now) {}

  /// Records that bytes arrived from the peer.
  void onReceived(base::BootTime Now) {
    LastReceived = Now;
    PingPending = false;
  }

  /// Records an application frame in either direction.
  void onUsed(base::BootTime Now) { LastUsed = Now; }

  bool pingDue(base::BootTime Now) const;

  void onPing(base::BootTime Now) {
    PingPending = true;
    PingedAt = Now;
  }

  /// Whether the peer has not responded to a ping in time.
  bool isSilent(base::BootTime Now) const {
    return PingPending && Now - PingedAt >= kPingTimeout;
  }

  /// Time of the last application frame in either direction.
  base::BootTime lastUsed() const { return LastUsed; }

private:
  base::BootTime LastReceived;
  base::BootTime LastUsed;
  base::BootTime PingedAt;
  /// Nothing has arrived since the ping at `PingedAt`.
  bool PingPending = false;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_KEEPALIVE_H
