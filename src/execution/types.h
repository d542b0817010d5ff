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

/// A peer connection of this process, numbered by the transport from 1. No
/// number is used twice; 0 stands for no connection.
using ConnectionId = base::StrongNumber<struct ConnectionTag>;

/// Position of a call among all calls of its sending process. The sender
/// numbers its calls upwards and uses no number twice.
using CallSequence = base::StrongNumber<struct CallSequenceTag>;

/// One header of a response.
struct Header {
  std::string Name;
  std::string Value;

  template <class Archive> void serialize(Archive &Ar) { Ar(Name, Value); }
};

/// What a hop answers to one call.
struct Response {
  base::Outcome Outcome = base::Outcome::Unknown;
  /// Set if a daemon answers rather than the backend server.
  std::optional<base::ErrorKind> Error;
  std::uint16_t Status = 0;
  std::vector<Header> Headers;
  std::string Body;
  /// Retries of the call's allowance that were not used.
  std::uint32_t UnusedAllowance = 0;
  /// The request was passed to the backend server, which may have refused it.
  bool ReachedServer = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Outcome, Error, Status, Headers, Body, UnusedAllowance, ReachedServer);
  }

  /// Memory that the response takes, in bytes, and the same for its copies.
  std::size_t size() const;
};

/// Responses are large and kept while they are sent, hence shared.
using ResponsePtr = std::shared_ptr<const Response>;

/// The answer of a daemon that refuses or gives up a call.
Response errorResponse(base::ErrorKind Kind, base::Outcome What);

/// Outcome of a request after a further try. A try that did not run says
/// nothing about the tries before it, so one unknown outcome stays unless a
/// later try brings a response. Start with `NotRun`.
base::Outcome combineOutcomes(base::Outcome Earlier, base::Outcome Latest);

} // namespace execution

#endif // JACKDAW_EXECUTION_TYPES_H
