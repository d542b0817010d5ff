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

/// Extracts all credentials from the headers, in any spelling, and the query of
/// a request, and removes them there. Also removes all other headers and query
/// parameters that contain a presented key, so that no backend server sees it,
/// and the hop-by-hop headers.
Credentials extractCredentials(http::Request &Received);

} // namespace node

#endif // JACKDAW_NODE_CREDENTIALS_H
