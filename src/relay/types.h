#ifndef JACKDAW_RELAY_TYPES_H
#define JACKDAW_RELAY_TYPES_H

#include "base/clock.h"
#include "base/types.h"

#include <cstdint>
#include <string>

namespace relay {

/// Names of the headers that callers, daemons and backend servers exchange.
/// The adapter to a platform fills them in.
struct HeaderNames {
  /// Identity of one attempt of a caller; backend servers echo it.
  std::string AttemptId;
  /// Milliseconds that the caller still waits.
  std::string TimeLeft;
  /// Carries a caller's key.
  std::string Credentials;
  /// Word before the key in the credentials header.
  std::string AuthScheme;
  /// Mark of a backend server on its own responses.
  std::string Signature;
  /// Name of the workspace, set by the entry daemon.
  std::string Workspace;
  /// Service beside which the request began, set by the entry daemon.
  std::string CallerService;
  /// Names the backend server that alone may run the request.
  std::string ExpectedServer;
  /// Present on responses of a backend server that did not run the request.
  std::string NotExecuted;
};

/// One start of a backend server.
struct ServerIncarnation {
  std::string Id;
  /// Unix milliseconds of its start.
  std::uint64_t StartTimeMillis = 0;

  friend bool operator==(const ServerIncarnation &,
                         const ServerIncarnation &) = default;
};

/// What a backend server reports about itself to the daemon beside it.
struct ServerReport {
  ServerIncarnation Server;
  base::ServiceName Service;
  /// Grows with each report of an incarnation.
  std::uint64_t Sequence = 0;
  std::uint32_t Slots = 0;
  bool Draining = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_TYPES_H
