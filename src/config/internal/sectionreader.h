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

/// The checked settings of one TOML table. The accessors return zero values
/// for settings that were absent or faulty.
struct SectionValues {
  std::uint32_t Line = 0;
  std::map<std::string_view, SettingValue> Values;
  /// Lines of the settings that the file names.
  std::map<std::string_view, std::uint32_t> Lines;

  bool has(std::string_view Key) const;
  std::int64_t integer(std::string_view Key) const;
  double number(std::string_view Key) const;
  bool boolean(std::string_view Key) const;
  std::string text(std::string_view Key) const;
  std::vector<std::string> list(std::string_view Key) const;
  /// Line of the setting, or of the section if the file doesn't name it.
  std::uint32_t lineOf(std::string_view Key) const;
};

/// All sections of one file by name, in file order.
using FileValues = std::map<std::string_view, std::vector<SectionValues>>;

/// Reads TOML text and checks it against the settings table. Appends every
/// fault to `Errors`; a syntax error ends the reading.
FileValues readSections(FileKind Kind, const std::string &File,
                        std::string_view Text, std::vector<FileError> &Errors);

/// Whether `Text` has the form.
bool hasFormat(SettingFormat Format, std::string_view Text);

} // namespace config

#endif // JACKDAW_CONFIG_INTERNAL_SECTIONREADER_H
