#ifndef JACKDAW_BASE_IDS_H
#define JACKDAW_BASE_IDS_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace base {

/// A random 128-bit identifier of one kind.
template <typename Tag> struct RandomId {
  std::array<std::uint8_t, 16> Bytes{};

  friend auto operator<=>(const RandomId &, const RandomId &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    for (std::uint8_t &Byte : Bytes)
      Ar(Byte);
  }
};

/// Fills sixteen bytes from the operating system's random source.
void fillRandom(std::array<std::uint8_t, 16> &Bytes);

/// Lower-case hexadecimal form of sixteen bytes.
std::string toHex(const std::array<std::uint8_t, 16> &Bytes);

/// Reads 32 hexadecimal digits; nothing for any other text.
std::optional<std::array<std::uint8_t, 16>> fromHex(std::string_view Text);

/// Makes a new identifier that can't be guessed.
template <typename Id> Id makeRandomId() {
  Id Result;
  fillRandom(Result.Bytes);
  return Result;
}

/// One call between two daemons.
using RequestId = RandomId<struct RequestTag>;

/// The whole request of a caller, the same at every hop below it.
using RootId = RandomId<struct RootTag>;

/// What a backend server presents instead of a key for its own calls.
using Handle = RandomId<struct HandleTag>;

} // namespace base

template <typename Tag> struct std::hash<base::RandomId<Tag>> {
  std::size_t operator()(const base::RandomId<Tag> &Id) const noexcept {
    std::size_t Result;
    std::memcpy(&Result, Id.Bytes.data(), sizeof(Result));
    return Result;
  }
};

#endif // JACKDAW_BASE_IDS_H
