#ifndef JACKDAW_NODE_DAEMON_H
#define JACKDAW_NODE_DAEMON_H

#include "base/errors.h"
#include "node/daemonsettings.h"

#include <cstdint>
#include <memory>

namespace node {

/// Ports that the daemon listens on.
struct DaemonPorts {
  std::uint16_t Caller = 0;
  std::uint16_t Peer = 0;
  std::uint16_t Administration = 0;
};

/// A running daemon: owns all services, threads and sockets.
class Daemon {
public:
  /// Starts all services. Fails with `Internal` if an address can't be bound or
  /// a file can't be read.
  static base::Result<std::unique_ptr<Daemon>>
  start(const DaemonSettings &Settings);

  ~Daemon();

  DaemonPorts ports() const;

  /// Performs a planned stop: announces that the daemon drains, keeps accepting
  /// connections for `DaemonSettings::DrainTime` so that callers can move away,
  /// waits for open requests until at most 60 s after the start of the drain,
  /// then announces that it has stopped.
  void drain();

  /// Whether a newer process of this instance exists, so that this one must
  /// stop.
  bool isSuperseded() const;

private:
  struct Parts;
  explicit Daemon(std::unique_ptr<Parts> Impl);
  std::unique_ptr<Parts> Impl;
};

} // namespace node

#endif // JACKDAW_NODE_DAEMON_H
