#ifndef JACKDAW_RELAY_TYPES_H
#define JACKDAW_RELAY_TYPES_H

#include "base/clock.h"
#include "base/types.h"

#include <cstdint>
#include <string>

namespace relay {

/// Names of the headers that callers, daemons and backend servers exchange. The
/// platform adapter fills them in.
struct HeaderNames {
  /// Identifies one attempt of a caller; backend servers echo it in their
  /// responses.
  std::string AttemptId;
  /// Milliseconds that the caller will still wait.
  std::string TimeLeft;
  /// Contains the caller's key.
  std::string Credentials;
  /// Authentication scheme before the key in the credentials header.
  std::string AuthScheme;
  /// Set by backend servers on their own responses.
  std::string Signature;
  /// Name of the workspace, set by the entry daemon.
  std::string Workspace;
  /// Service of the entry daemon, set by the entry daemon.
  std::string CallerService;
  /// Id of the only backend server that may run the request.
  std::string ExpectedServer;
  /// Present on responses of a backend server that did not run the request.
  std::string NotExecuted;
  /// Requests per second that a backend server takes from all daemons together,
  /// as a decimal number; set by a backend server that needs protection.
  std::string RateLimit;
  /// Set to `1` by a backend server that is shutting down.
  std::string Leaving;
};

/// One process of a backend server.
struct ServerIncarnation {
  std::string Id;
  /// Start of the process in Unix milliseconds.
  std::uint64_t StartTimeMillis = 0;

  friend bool operator==(const ServerIncarnation &,
                         const ServerIncarnation &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, StartTimeMillis);
  }
};

/// A shutdown of a backend server that a daemon knows of.
struct ServerShutdown {
  ServerIncarnation Process;
  /// Whether it applies to all processes of this id that started no later than
  /// `Process`, or else only to that one.
  bool WithEarlier = false;

  friend bool operator==(const ServerShutdown &,
                         const ServerShutdown &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Process, WithEarlier);
  }
};

/// State that a backend server reports to the daemon beside it.
struct ServerReport {
  ServerIncarnation Server;
  base::ServiceName Service;
  /// Increases with each report of an incarnation.
  std::uint64_t Sequence = 0;
  /// Requests that the server runs concurrently at most.
  std::uint32_t Slots = 0;
  bool Draining = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_TYPES_H
