#include "relay/serverstatement.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace relay {

namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kLeavingValue = "1";

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(kBlanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(kBlanks) - First + 1);
}

std::optional<base::RequestRate> parseRate(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  // Accepts neither "inf" and "nan" nor "-0".
  if (Read.ec != std::errc() || Read.ptr != End || !std::isfinite(Value) ||
      std::signbit(Value))
    return std::nullopt;
  return base::RequestRate{Value};
}

/// Reads the limits in one header value, which may be a comma-separated list
/// because equal headers may be joined on the way.
void readRates(std::string_view List, ServerStatement &Result) {
  for (;;) {
    const std::size_t Comma = List.find(',');
    if (const auto Rate = parseRate(trim(List.substr(0, Comma))))
      Result.RateLimit = std::min(Result.RateLimit.value_or(*Rate), *Rate);
    else
      Result.Malformed = true;
    if (Comma == std::string_view::npos)
      return;
    List.remove_prefix(Comma + 1);
  }
}

} // namespace

ServerStatement parseStatement(const std::vector<http::Header> &Headers,
                               const HeaderNames &Names) {
  ServerStatement Result;
  for (const http::Header &Each : Headers) {
    if (http::sameHeaderName(Each.Name, Names.RateLimit))
      readRates(Each.Value, Result);
    else if (http::sameHeaderName(Each.Name, Names.Leaving)) {
      const bool Stated = trim(Each.Value) == kLeavingValue;
      Result.Leaving |= Stated;
      Result.Malformed |= !Stated;
    }
  }
  return Result;
}

} // namespace relay
