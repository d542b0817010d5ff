#ifndef JACKDAW_CONFIG_INTERNAL_SECTIONREADER_H
#define JACKDAW_CONFIG_INTERNAL_SECTIONREADER_H

#include "config/servicefile.h"
#include "config/settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace config {

/// Value of one setting; `monostate` if it is absent and has no default.
using SettingValue = std::variant<std::monostate, std::int64_t, double, bool,
                                  std::string, std::vector<std::string>>;

/// The validated settings of one TOML table. The accessors return a zero or
/// empty value for settings that are absent or invalid.
struct SectionValues {
  /// Line of the section; 0 if the file does not contain it.
  std::uint32_t Line = 0;
  std::map<std::string_view, SettingValue> Values;
  /// Lines of the settings that the file contains.
  std::map<std::string_view, std::uint32_t> Lines;

  bool has(std::string_view Key) const;
  std::int64_t integer(std::string_view Key) const;
  double number(std::string_view Key) const;
  bool boolean(std::string_view Key) const;
  std::string text(std::string_view Key) const;
  std::vector<std::string> list(std::string_view Key) const;
  /// Line of the setting, or of the section if the file doesn't set it.
  std::uint32_t lineOf(std::string_view Key) const;
};

/// The sections of one file by name; repeated sections are in file order.
using FileValues = std::map<std::string_view, std::vector<SectionValues>>;

/// Parses TOML text and validates it against the settings table. Appends all
/// errors to `Errors`; after a syntax error, nothing else is validated.
FileValues readSections(FileKind Kind, const std::string &File,
                        std::string_view Text, std::vector<FileError> &Errors);

/// Whether `Text` has the format.
bool hasFormat(SettingFormat Format, std::string_view Text);

} // namespace config

#endif // JACKDAW_CONFIG_INTERNAL_SECTIONREADER_H
