#include "http/internal/repeatedhead.h"

#include "http/internal/responsehead.h"

#include <algorithm>

namespace http {

namespace {

/// Upper bounds of a head and of its status line, in bytes. They also bound the
/// bytes that are searched again when more of the body has arrived.
constexpr std::size_t kMaxHeadBytes = 60 << 10;
constexpr std::size_t kMaxStatusLineBytes = 1 << 10;
constexpr std::string_view kAfterStatus = " \r\n";

/// Whether the text begins with a status line up to and including its status.
bool beginsWithStatus(std::string_view Text) {
  const std::size_t Length = statusLineStart(Text);
  return Length > 0 && (Text.size() == Length ||
                        kAfterStatus.find(Text[Length]) != kAfterStatus.npos);
}

/// The first position, from `From` on, at which the text has the beginning of a
/// status line, or ends within one; the size of the text if there is none.
std::size_t findStatusLine(std::string_view Text, std::size_t From) {
  for (;; ++From) {
    From = std::min(Text.find(kVersionPrefix.front(), From), Text.size());
    const std::string_view Rest = Text.substr(From);
    if (Rest.empty() || beginsWithStatus(Rest) || isPartOfStatusLineStart(Rest))
      return From;
  }
}

/// Whether more bytes may make the text a header line.
bool isPartOfHeaderLine(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon != std::string_view::npos)
    return parseHeader(Text.substr(0, Text.find_last_not_of('\r') + 1))
        .has_value();
  return Text == "\r" ||
         std::all_of(Text.begin(), Text.end(), &isTokenCharacter);
}

} // namespace

/// Classifies the header line at the start of the text and sets its length with
/// its end.
RepeatedHeadSearch::LineKind
RepeatedHeadSearch::classify(std::string_view Text, std::size_t &Length) const {
  const std::size_t End = Text.find('\n');
  if (End == std::string_view::npos)
    return isPartOfHeaderLine(Text) ? LineKind::Incomplete
                                    : LineKind::Malformed;
  Length = End + 1;
  std::string_view Line = Text.substr(0, End);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty())
    return LineKind::Last;
  const auto Parsed = parseHeader(Line);
  if (!Parsed)
    return LineKind::Malformed;
  return names(*Parsed) ? LineKind::Identity : LineKind::Other;
}

void RepeatedHeadSearch::skip(std::size_t Bytes) {
  From += Bytes;
  HeadBytes = 0;
}

/// Looks at the head that may begin at `From`, and moves `From` to where the
/// next one may begin. The lines of a head within this one are lines of this
/// one too, so none begins before the line at which this one turns out to be
/// none.
RepeatedHeadSearch::Result RepeatedHeadSearch::searchAt(std::string_view Body) {
  const std::string_view Head = Body.substr(From, kMaxHeadBytes);
  if (HeadBytes == 0) {
    const std::size_t LineEnd = Head.substr(0, kMaxStatusLineBytes).find('\n');
    if (LineEnd == std::string_view::npos && Head.size() < kMaxStatusLineBytes)
      return Result::EndsWithin;
    if (LineEnd == std::string_view::npos) {
      skip(1);
      return Result::None;
    }
    HeadBytes = LineEnd + 1;
  }
  for (;;) {
    std::size_t Length = 0;
    const LineKind Kind = classify(Head.substr(HeadBytes), Length);
    if (Kind == LineKind::Identity)
      return Result::Found;
    if (Kind == LineKind::Incomplete && Head.size() < kMaxHeadBytes)
      return Result::EndsWithin;
    ContainsOtherHead |= Kind == LineKind::Last;
    if (Kind != LineKind::Other)
      break;
    HeadBytes += Length;
  }
  skip(HeadBytes);
  return Result::None;
}

bool RepeatedHeadSearch::names(const Header &Line) const {
  return sameHeaderName(Line.Name, Identity.Name) &&
         Line.Value == Identity.Value;
}

RepeatedHeadSearch::Result RepeatedHeadSearch::search(std::string_view Body) {
  for (;;) {
    if (HeadBytes == 0)
      From = findStatusLine(Body, From);
    if (From == Body.size())
      return ContainsOtherHead ? Result::OtherHead : Result::None;
    const Result Here = searchAt(Body);
    if (Here != Result::None)
      return Here;
  }
}

} // namespace http
