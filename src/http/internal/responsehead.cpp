#include "http/internal/responsehead.h"

#include <algorithm>
#include <charconv>

namespace http {

namespace {

constexpr std::size_t kStatusDigits = 3;
/// Position of the status in a status line.
constexpr std::size_t kStatusAt = kStatusLineStartBytes - kStatusDigits;

bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// Whether a character may be at this position of a status line, up to the
/// status.
bool isAllowedAt(std::size_t At, char C) {
  if (At < kVersionPrefix.size())
    return C == kVersionPrefix[At];
  return At == kStatusAt - 1 ? C == ' ' : isDigit(C);
}

/// Whether a status line begins within the text: the rest of one response
/// followed by the next.
bool containsStatusLine(std::string_view Text) {
  for (std::size_t At = Text.find(kVersionPrefix); At != std::string_view::npos;
       At = Text.find(kVersionPrefix, At + 1))
    if (statusLineStart(Text.substr(At)) > 0)
      return true;
  return false;
}

} // namespace

std::size_t statusLineStart(std::string_view Text) {
  if (Text.size() < kStatusLineStartBytes)
    return 0;
  for (std::size_t At = 0; At < kStatusLineStartBytes; ++At)
    if (!isAllowedAt(At, Text[At]))
      return 0;
  return kStatusLineStartBytes;
}

bool isPartOfStatusLineStart(std::string_view Text) {
  if (Text.size() >= kStatusLineStartBytes)
    return false;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (!isAllowedAt(At, Text[At]))
      return false;
  return true;
}

std::uint16_t statusIn(std::string_view Line) {
  const std::size_t Length = statusLineStart(Line);
  if (Length == 0 || (Line.size() > Length && Line[Length] != ' ') ||
      containsStatusLine(Line.substr(1)))
    return 0;
  std::uint16_t Status = 0;
  std::from_chars(Line.data() + Length - kStatusDigits, Line.data() + Length,
                  Status);
  return Status >= kFirstStatus && Status <= kLastStatus ? Status : 0;
}

bool isTokenCharacter(char C) {
  static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return isDigit(C) || (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         Others.find(C) != std::string_view::npos;
}

std::optional<Header> parseHeader(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0 ||
      !std::all_of(Line.begin(), Line.begin() + Colon, isTokenCharacter))
    return std::nullopt;
  std::string_view Value = Line.substr(Colon + 1);
  if (Value.find('\r') != std::string_view::npos || containsStatusLine(Value))
    return std::nullopt;
  Value.remove_prefix(std::min(Value.find_first_not_of(" \t"), Value.size()));
  Value = Value.substr(0, Value.find_last_not_of(" \t") + 1);
  return Header{std::string(Line.substr(0, Colon)), std::string(Value)};
}

} // namespace http
