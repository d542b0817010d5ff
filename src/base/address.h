#ifndef JACKDAW_BASE_ADDRESS_H
#define JACKDAW_BASE_ADDRESS_H

#include "base/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace base {

/// Whether the text is an IPv4 address.
bool isIpv4Address(const std::string &Text);

/// Parses an IPv4 address and a port above 0, such as `10.0.0.7:7100`. Returns
/// no value for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace base

#endif // JACKDAW_BASE_ADDRESS_H
