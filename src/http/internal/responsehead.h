#ifndef JACKDAW_HTTP_INTERNAL_RESPONSEHEAD_H
#define JACKDAW_HTTP_INTERNAL_RESPONSEHEAD_H

#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace http {

/// What each status line begins with; a digit follows.
inline constexpr std::string_view kVersionPrefix = "HTTP/1.";

/// Length of a status line's beginning up to and including its status.
inline constexpr std::size_t kStatusLineStartBytes =
    kVersionPrefix.size() + std::string_view("1 200").size();

/// Length of a status line's beginning, such as `HTTP/1.1 200`, at the start of
/// the text; 0 if there is none.
std::size_t statusLineStart(std::string_view Text);

/// Whether the text is the beginning of a status line, or is empty, and ends
/// before the end of its status.
bool isPartOfStatusLineStart(std::string_view Text);

/// Status in a status line without its line end, such as `HTTP/1.1 200 OK`; 0
/// if the line is malformed or no response has that status.
std::uint16_t statusIn(std::string_view Line);

/// Whether a character may be part of the name of a header.
bool isTokenCharacter(char C);

/// Parses a header line without its line end. Returns no value if it is
/// malformed, or is made of the lines of two responses.
std::optional<Header> parseHeader(std::string_view Line);

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_RESPONSEHEAD_H
