#ifndef JACKDAW_TESTS_PROCESS_RESERVEDPORTS_H
#define JACKDAW_TESTS_PROCESS_RESERVEDPORTS_H

#include <cstdint>

namespace process {

/// Ports of 127.0.0.1 for the daemons of this test process. They lie below the
/// range of ephemeral ports, and no other test process gets them, so that a
/// daemon can be restarted on its ports. A port that the system chose may be
/// taken by any other process while the daemon is stopped. Not thread-safe.
class ReservedPorts {
public:
  /// Returns a port that was not returned before and that is free for TCP and
  /// UDP. Throws `std::runtime_error` if no ports are left.
  std::uint16_t next();

private:
  void reserveBlock();

  /// Remaining ports of the reserved block.
  int NextPort = 0;
  int EndPort = 0;
};

/// The ports of this test process.
ReservedPorts &reservedPorts();

} // namespace process

#endif // JACKDAW_TESTS_PROCESS_RESERVEDPORTS_H
