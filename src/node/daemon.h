#ifndef JACKDAW_NODE_DAEMON_H
#define JACKDAW_NODE_DAEMON_H

#include "base/errors.h"
#include "node/daemonsettings.h"

#include <cstdint>
#include <memory>

namespace node {

/// Ports that the system has chosen.
struct DaemonPorts {
  std::uint16_t Caller = 0;
  std::uint16_t Peer = 0;
  std::uint16_t Administration = 0;
};

/// A whole daemon: all services, threads and sockets.
class Daemon {
public:
  /// Starts everything; fails with `Internal` if an address can't be bound or a
  /// file can't be read.
  static base::Result<std::unique_ptr<Daemon>>
  start(const DaemonSettings &Settings);

  ~Daemon();

  DaemonPorts ports() const;

  /// Planned stop: announces that the daemon drains, lets open requests finish
  /// and connections move away, then announces that it has stopped.
  void drain();

  /// Whether a newer process of this instance exists, so that this one must
  /// stop.
  bool superseded() const;

private:
  struct Parts;
  explicit Daemon(std::unique_ptr<Parts> Impl);
  std::unique_ptr<Parts> Impl;
};

} // namespace node

#endif // JACKDAW_NODE_DAEMON_H
