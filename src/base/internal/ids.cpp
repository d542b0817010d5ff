#include "base/ids.h"

#include <sodium.h>

namespace base {

void fillRandom(std::array<std::uint8_t, 16> &Bytes) {
  randombytes_buf(Bytes.data(), Bytes.size());
}

std::string toHex(const std::array<std::uint8_t, 16> &Bytes) {
  std::array<char, 2 * 16 + 1> Text{};
  sodium_bin2hex(Text.data(), Text.size(), Bytes.data(), Bytes.size());
  return Text.data();
}

std::optional<std::array<std::uint8_t, 16>> fromHex(std::string_view Text) {
  std::array<std::uint8_t, 16> Bytes{};
  std::size_t Length = 0;
  if (Text.size() != 2 * Bytes.size())
    return std::nullopt;
  if (sodium_hex2bin(Bytes.data(), Bytes.size(), Text.data(), Text.size(),
                     nullptr, &Length, nullptr) != 0)
    return std::nullopt;
  if (Length != Bytes.size())
    return std::nullopt;
  return Bytes;
}

} // namespace base
