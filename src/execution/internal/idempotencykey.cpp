#include "execution/idempotencykey.h"

#include "base/ids.h"

#include <string>

namespace execution {

namespace {

constexpr std::size_t kTextLength = 36;

bool isHyphenPosition(std::size_t Index) {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

std::string_view stripQuotes(std::string_view Text) {
  const bool Quoted =
      Text.size() >= 2 && Text.front() == '"' && Text.back() == '"';
  return Quoted ? Text.substr(1, Text.size() - 2) : Text;
}

} // namespace

base::Result<IdempotencyKey> IdempotencyKey::parse(std::string_view Text) {
  Text = stripQuotes(Text);
  std::string Digits;
  if (Text.size() != kTextLength)
    return base::fail(base::ErrorKind::IdempotencyKeyInvalid,
                      "idempotency key is not 36 characters long");
  for (std::size_t Index = 0; Index < kTextLength; ++Index) {
    if (!isHyphenPosition(Index))
      Digits += Text[Index];
    else if (Text[Index] != '-')
      return base::fail(
          base::ErrorKind::IdempotencyKeyInvalid,
          "idempotency key lacks a hyphen between its groups of digits");
  }
  const auto Bytes = base::fromHex(Digits);
  if (!Bytes)
    return base::fail(
        base::ErrorKind::IdempotencyKeyInvalid,
        "idempotency key has characters other than hexadecimal digits "
        "between its hyphens");
  const unsigned Version = (*Bytes)[6] >> 4U;
  const unsigned Variant = (*Bytes)[8] >> 6U;
  if (Version != 7 || Variant != 2)
    return base::fail(base::ErrorKind::IdempotencyKeyInvalid,
                      "idempotency key is not a UUIDv7");
  return IdempotencyKey{*Bytes};
}

base::WallTime IdempotencyKey::timestamp() const {
  std::uint64_t Milliseconds = 0;
  for (std::size_t Index = 0; Index < 6; ++Index)
    Milliseconds = Milliseconds << 8U | Bytes[Index];
  return base::WallTime(std::chrono::milliseconds(Milliseconds));
}

} // namespace execution
