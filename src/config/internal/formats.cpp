#include "config/configuration.h"
#include "config/internal/sectionreader.h"

#include <algorithm>

namespace config {

namespace {

/// Hexadecimal digits of a 32-byte digest.
constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMaxMethodLength = 32;

bool isAlphanumeric(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9');
}

bool isName(std::string_view Text) {
  return !Text.empty() && isAlphanumeric(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return isAlphanumeric(Byte) || Byte == '-' || Byte == '_' ||
                  Byte == '.';
         });
}

bool isPathPrefix(std::string_view Text) {
  if (Text == "/")
    return true;
  if (Text.empty() || Text.back() == '/')
    return false;
  return Text.find_first_of("%;?#") == std::string_view::npos &&
         canonicalPath(Text).has_value();
}

bool isDigest(std::string_view Text) {
  return Text.size() == kDigestDigits &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'f');
         });
}

bool isMethod(std::string_view Text) {
  return !Text.empty() && Text.size() <= kMaxMethodLength &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Byte) { return Byte >= 'A' && Byte <= 'Z'; });
}

} // namespace

bool hasFormat(SettingFormat Format, std::string_view Text) {
  switch (Format) {
  case SettingFormat::None:
    return true;
  case SettingFormat::Name:
    return isName(Text);
  case SettingFormat::PathPrefix:
    return isPathPrefix(Text);
  case SettingFormat::Digest:
    return isDigest(Text);
  case SettingFormat::Method:
    return isMethod(Text);
  case SettingFormat::Priority:
    return Text == "critical" || Text == "normal" || Text == "background";
  case SettingFormat::Isolated:
    return Text == "serve" || Text == "refuse";
  }
  return false;
}

} // namespace config
