#ifndef JACKDAW_RELAY_SERVERSTATEMENT_H
#define JACKDAW_RELAY_SERVERSTATEMENT_H

#include "http/message.h"
#include "relay/types.h"

#include <optional>
#include <vector>

namespace relay {

/// What a backend server states about itself in the headers of a response.
struct ServerStatement {
  /// Requests that it takes from all daemons together; empty if it states no
  /// limit.
  std::optional<base::RequestRate> RateLimit;
  bool Leaving = false;
  /// A header was present whose value has no meaning.
  bool Malformed = false;
};

/// Reads the statement in the headers of a response. A limit must be a
/// non-negative decimal number without an exponent; other values state nothing.
/// If there are several valid ones, the lowest counts. `Leaving` is stated by
/// the value `1` only.
ServerStatement parseStatement(const std::vector<http::Header> &Headers,
                               const HeaderNames &Names);

} // namespace relay

#endif // JACKDAW_RELAY_SERVERSTATEMENT_H
