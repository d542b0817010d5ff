#ifndef JACKDAW_NODE_REQUESTIDENTITY_H
#define JACKDAW_NODE_REQUESTIDENTITY_H

#include "http/message.h"

#include <optional>
#include <string>
#include <vector>

namespace node {

/// What a request presents about where it comes from.
struct Credentials {
  /// Keys presented, each once; a request with different keys is refused.
  std::vector<std::string> Keys;
  /// Text of the `Jackdaw-Handle` header, from a backend server's own call.
  std::optional<std::string> Handle;
};

/// Takes all credentials out of a request, in any spelling of the headers and
/// in the query. Headers and query parameters that contain a presented key
/// elsewhere are removed too, so that no backend server sees it.
Credentials extractCredentials(http::Request &Received);

} // namespace node

#endif // JACKDAW_NODE_REQUESTIDENTITY_H
