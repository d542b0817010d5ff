#ifndef JACKDAW_TOOLS_ADMINISTRATION_H
#define JACKDAW_TOOLS_ADMINISTRATION_H

#include "base/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tools {

/// Names of the pages of the administration API.
const std::vector<std::string> &pageNames();

/// Parses a comma-separated list of endpoints. Appends a message to `Errors`
/// for each malformed entry, and one if the list is empty.
std::vector<base::Endpoint> parseEndpoints(const std::string &Text,
                                           std::vector<std::string> &Errors);

/// Body of a page, or the reason why it could not be read.
struct Page {
  std::optional<std::string> Body;
  std::string Error;
};

/// Reads one page of the administration API of a daemon on a new connection.
Page fetchPage(const base::Endpoint &Daemon, const std::string &Name);

} // namespace tools

#endif // JACKDAW_TOOLS_ADMINISTRATION_H
