#ifndef JACKDAW_RELAY_PERMITMESSAGES_H
#define JACKDAW_RELAY_PERMITMESSAGES_H

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace relay {

/// Identifies a message among those of the daemon that sends it.
struct PermitMessageId {
  /// Incarnation of the sending process.
  base::Incarnation Process;
  /// Counts upwards from 1.
  std::uint64_t Number = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Process, Number); }
};

/// Requests permits from the limit coordinator of a workspace.
struct PermitRequest {
  PermitMessageId Id;
  base::WorkspaceName Workspace;
  std::uint32_t Requested = 0;
  /// The sender used another coordinator until this long ago, in microseconds,
  /// which may have granted permits until then; 0 if it used none.
  std::uint64_t ReplacedAgoMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Workspace, Requested, ReplacedAgoMicros);
  }
};

/// Reply of the limit coordinator to a `PermitRequest`.
struct PermitGrant {
  /// Id of the request.
  PermitMessageId Id;
  std::uint32_t Granted = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Id, Granted); }
};

/// Returns permits of requests that have not run to the limit coordinator.
struct PermitReturn {
  PermitMessageId Id;
  base::WorkspaceName Workspace;
  std::uint32_t Count = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Workspace, Count);
  }
};

/// Asks a daemon whether it uses the sender as limit coordinator of a
/// workspace.
struct CoordinatorCheck {
  PermitMessageId Id;
  base::WorkspaceName Workspace;

  template <class Archive> void serialize(Archive &Ar) { Ar(Id, Workspace); }
};

/// Reply to a `CoordinatorCheck`.
struct CoordinatorCheckReply {
  /// Id of the check.
  PermitMessageId Id;
  base::WorkspaceName Workspace;
  bool Confirmed = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Workspace, Confirmed);
  }
};

using PermitMessage = std::variant<PermitRequest, PermitGrant, PermitReturn,
                                   CoordinatorCheck, CoordinatorCheckReply>;

/// Encodes a message as the body of a datagram. The first byte tells it from a
/// gossip datagram.
std::string encodePermitMessage(const PermitMessage &Message);

/// Whether a datagram carries a permit message, well-formed or not.
bool isPermitMessage(std::string_view Body);

/// Returns no value if `Body` is not exactly one well-formed message.
std::optional<PermitMessage> decodePermitMessage(std::string_view Body);

} // namespace relay

#endif // JACKDAW_RELAY_PERMITMESSAGES_H
