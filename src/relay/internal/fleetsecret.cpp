#include "relay/fleetsecret.h"

#include "base/ids.h"

#include <array>
#include <charconv>
#include <tuple>

namespace relay {

namespace {

constexpr char kSeparator = '.';

/// Era, creation time in microseconds, and the whole text. Numbers that are
/// missing are 0.
using Order = std::tuple<std::uint64_t, std::uint64_t, std::string>;

Order orderOf(const std::string &Secret) {
  std::uint64_t Era = 0;
  std::uint64_t CreatedAt = 0;
  const char *End = Secret.data() + Secret.size();
  const auto First = std::from_chars(Secret.data(), End, Era);
  if (First.ec != std::errc() || First.ptr == End || *First.ptr != kSeparator)
    return {0, 0, Secret};
  const auto Second = std::from_chars(First.ptr + 1, End, CreatedAt);
  if (Second.ec != std::errc() || Second.ptr == End ||
      *Second.ptr != kSeparator)
    return {0, 0, Secret};
  return {Era, CreatedAt, Secret};
}

} // namespace

std::string makeFleetSecret(base::StoreEra Era, base::WallTime CreatedAt) {
  std::string Text = std::to_string(Era.value()) + kSeparator +
                     std::to_string(CreatedAt.time_since_epoch().count()) +
                     kSeparator;
  for (int Half = 0; Half < 2; ++Half) {
    std::array<std::uint8_t, 16> Bytes{};
    base::fillRandom(Bytes);
    Text += base::toHex(Bytes);
  }
  return Text;
}

bool precedesSecret(const std::string &First, const std::string &Second) {
  return orderOf(First) < orderOf(Second);
}

} // namespace relay
