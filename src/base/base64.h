#ifndef JACKDAW_BASE_BASE64_H
#define JACKDAW_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace base {

/// Standard base64 with padding.
std::string toBase64(std::string_view Bytes);

/// Nothing for text that is no standard base64 with padding.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace base

#endif // JACKDAW_BASE_BASE64_H
