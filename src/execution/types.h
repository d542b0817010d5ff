#ifndef JACKDAW_EXECUTION_TYPES_H
#define JACKDAW_EXECUTION_TYPES_H

#include "base/errors.h"
#include "base/types.h"

#include <cereal/types/common.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace execution {

/// Number of a peer connection of this process. The transport assigns numbers
/// from 1 and reuses none; 0 means no connection.
using ConnectionId = base::StrongNumber<struct ConnectionTag>;

/// Sequence number of a call among all calls of its sending process. The sender
/// assigns increasing numbers and reuses none.
using CallSequence = base::StrongNumber<struct CallSequenceTag>;

/// One header of a response.
struct Header {
  std::string Name;
  std::string Value;

  template <class Archive> void serialize(Archive &Ar) { Ar(Name, Value); }
};

/// Response to a call or request, from a backend server or a daemon.
struct Response {
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Set if a daemon responded in place of the backend server.
  std::optional<base::ErrorKind> Error;
  std::uint16_t Status = 0;
  std::vector<Header> Headers;
  std::string Body;
  /// Unused retries of the call's allowance.
  std::uint32_t UnusedAllowance = 0;
  /// Whether the request was passed to the backend server, which may have
  /// refused it.
  bool ReachedServer = false;
  /// The server stated no length: the body ended with its connection, and
  /// nothing tells whether it is whole.
  bool EndedByClose = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Outcome, Error, Status, Headers, Body, UnusedAllowance, ReachedServer,
       EndedByClose);
  }

  /// Size of the response in memory, in bytes. The same for all copies, since
  /// it doesn't count spare capacity.
  std::size_t size() const;
};

/// Shared, because responses are large and are stored while they are being
/// sent.
using ResponsePtr = std::shared_ptr<const Response>;

/// Returns the response of a daemon that refuses or abandons a call.
Response errorResponse(base::ErrorKind Kind, base::Outcome Outcome);

/// Returns the outcome of a request after a further call for it. Start with
/// `NotRun`. A call that did not run says nothing about the calls before it, so
/// an unknown outcome remains unless a later call gets a response.
base::Outcome combineOutcomes(base::Outcome Earlier, base::Outcome Latest);

} // namespace execution

#endif // JACKDAW_EXECUTION_TYPES_H
