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

/// Fills `Bytes` from the operating system's random number generator.
void fillRandom(std::array<std::uint8_t, 16> &Bytes);

/// Lower-case hexadecimal form of sixteen bytes.
std::string toHex(const std::array<std::uint8_t, 16> &Bytes);

/// Parses 32 hexadecimal digits. Returns no value for any other text.
std::optional<std::array<std::uint8_t, 16>> fromHex(std::string_view Text);

/// Generates an unpredictable identifier.
template <typename Id> Id makeRandomId() {
  Id Result;
  fillRandom(Result.Bytes);
  return Result;
}

/// Identifies a call between two daemons.
using CallId = RandomId<struct CallTag>;

/// Identifies a caller's request. The same for all downstream calls, which
/// backend servers make as inner calls while they handle it.
using RootId = RandomId<struct RootTag>;

/// A credential that a backend server presents instead of a key for the calls
/// it makes while it handles a request.
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
