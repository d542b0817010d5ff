#include "base/base64.h"

#include <sodium.h>

namespace base {

std::string toBase64(std::string_view Bytes) {
  std::string Text(
      sodium_base64_encoded_len(Bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(Text.data(), Text.size(),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    Bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  // The encoder ends with a null byte.
  Text.pop_back();
  return Text;
}

std::optional<std::string> fromBase64(std::string_view Text) {
  std::string Bytes(Text.size(), '\0');
  std::size_t Length = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char *>(Bytes.data()),
                        Bytes.size(), Text.data(), Text.size(), nullptr,
                        &Length, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
    return std::nullopt;
  Bytes.resize(Length);
  return Bytes;
}

} // namespace base
