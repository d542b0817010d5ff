#include "http/internal/chunkframing.h"

#include <algorithm>
#include <optional>

namespace http {

namespace {

/// Of a chunk size of 64 bits.
constexpr std::size_t kMaxDigits = 16;
/// Upper bound of the extensions of a chunk, in bytes.
constexpr std::size_t kMaxExtensionBytes = std::size_t{4} << 10;
constexpr unsigned kBitsPerDigit = 4;
/// Value of the digit `a`.
constexpr unsigned kLetterValue = 10;

std::optional<unsigned> hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return static_cast<unsigned>(C - '0');
  if (C >= 'a' && C <= 'f')
    return static_cast<unsigned>(C - 'a') + kLetterValue;
  if (C >= 'A' && C <= 'F')
    return static_cast<unsigned>(C - 'A') + kLetterValue;
  return std::nullopt;
}

bool isBlank(char C) { return C == ' ' || C == '\t'; }

} // namespace

/// The position after a byte behind the digits of a chunk size.
ChunkFraming::Position ChunkFraming::afterSizeByte(char Next) {
  if (At == Position::SizeLineEnd) {
    if (Next != '\n')
      return Position::Malformed;
    return Missing > 0 ? Position::Data : Position::Trailers;
  }
  if (Next == '\r')
    return Position::SizeLineEnd;
  if (Next == '\n' || ++ExtensionBytes > kMaxExtensionBytes)
    return Position::Malformed;
  if (At == Position::Extension || Next == ';')
    return Position::Extension;
  return isBlank(Next) ? Position::AfterSize : Position::Malformed;
}

/// Must not be called within the data of a chunk.
void ChunkFraming::acceptByte(char Next) {
  switch (At) {
  case Position::Size:
    if (const auto Digit = hexDigit(Next)) {
      Missing = Missing << kBitsPerDigit | *Digit;
      if (++Digits > kMaxDigits)
        At = Position::Malformed;
      return;
    }
    At = Digits > 0 ? afterSizeByte(Next) : Position::Malformed;
    return;
  case Position::AfterSize:
  case Position::Extension:
  case Position::SizeLineEnd:
    At = afterSizeByte(Next);
    return;
  case Position::DataEnd:
    At = Next == '\r' ? Position::DataLineEnd : Position::Malformed;
    return;
  case Position::DataLineEnd:
    At = Next == '\n' ? Position::Size : Position::Malformed;
    Digits = 0;
    ExtensionBytes = 0;
    return;
  case Position::Data:
  case Position::Trailers:
  case Position::Malformed:
    return;
  }
}

bool ChunkFraming::accept(std::string_view Bytes) {
  while (!Bytes.empty() && At != Position::Malformed &&
         At != Position::Trailers) {
    if (At != Position::Data) {
      acceptByte(Bytes.front());
      Bytes.remove_prefix(1);
      continue;
    }
    const std::size_t Count = std::min<std::uint64_t>(Missing, Bytes.size());
    Missing -= Count;
    Bytes.remove_prefix(Count);
    if (Missing == 0)
      At = Position::DataEnd;
  }
  return At != Position::Malformed;
}

} // namespace http
