#ifndef JACKDAW_BASE_BASE64_H
#define JACKDAW_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace base {

/// Encodes as standard base64 with padding.
std::string toBase64(std::string_view Bytes);

/// Decodes standard base64 with padding. Returns no value for any other text.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace base

#endif // JACKDAW_BASE_BASE64_H
