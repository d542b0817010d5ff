#include "base/hash.h"

#include <sodium.h>

#include <array>
#include <cstring>

namespace base {

std::uint64_t stableHash(std::string_view Text) {
  static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> Key{
      'j', 'a', 'c', 'k', 'd', 'a', 'w', 'f', 'l', 'o', 'w'};
  std::uint64_t Result = 0;
  static_assert(sizeof(Result) == crypto_shorthash_BYTES);
  crypto_shorthash(reinterpret_cast<unsigned char *>(&Result),
                   reinterpret_cast<const unsigned char *>(Text.data()),
                   Text.size(), Key.data());
  return Result;
}

std::uint64_t combineHashes(std::uint64_t First, std::uint64_t Second) {
  std::array<char, 2 * sizeof(std::uint64_t)> Joined{};
  std::memcpy(Joined.data(), &First, sizeof(First));
  std::memcpy(Joined.data() + sizeof(First), &Second, sizeof(Second));
  return stableHash({Joined.data(), Joined.size()});
}

} // namespace base
