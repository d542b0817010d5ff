#include "config/types.h"

#include <sodium.h>

#include <array>

namespace config {

namespace {

constexpr std::size_t kDigestBytes = 32;

} // namespace

KeyDigest digestKey(std::string_view Key) {
  std::array<unsigned char, kDigestBytes> Digest{};
  crypto_generichash(Digest.data(), Digest.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), nullptr, 0);
  std::array<char, 2 * kDigestBytes + 1> Hex{};
  sodium_bin2hex(Hex.data(), Hex.size(), Digest.data(), Digest.size());
  return KeyDigest(Hex.data());
}

} // namespace config
