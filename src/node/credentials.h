#ifndef JACKDAW_NODE_CREDENTIALS_H
#define JACKDAW_NODE_CREDENTIALS_H

#include "http/message.h"

#include <optional>
#include <string>
#include <vector>

namespace node {

/// Credentials that a request presents.
struct Credentials {
  /// API keys without duplicates; a request with different keys is refused.
  std::vector<std::string> Keys;
  /// Value of the `Jackdaw-Handle` header, sent by a backend server in an inner
  /// call.
  std::optional<std::string> Handle;
};

/// Extracts all credentials from the headers and the query of a request. Names
/// are compared without case and with `_` read as `-`. Removes from the
/// request:
/// - the headers `Authorization` and `Proxy-Authorization`, those that start
///   with `Jackdaw-`, and the hop-by-hop headers;
/// - the query parameter `Jackdaw-Key`;
/// - all other headers and query parameters that contain a presented key of at
///   least 6 bytes, also form-encoded, so that no backend server sees it.
Credentials extractCredentials(http::Request &Received);

} // namespace node

#endif // JACKDAW_NODE_CREDENTIALS_H
