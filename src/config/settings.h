#ifndef JACKDAW_CONFIG_SETTINGS_H
#define JACKDAW_CONFIG_SETTINGS_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace config {

/// The two kinds of configuration file.
enum class FileKind : std::uint8_t { Service, Fleet };

enum class SettingType : std::uint8_t {
  Integer,
  Number,
  Boolean,
  Text,
  TextList,
};

/// Form that a text, or each text of a list, must have.
enum class SettingFormat : std::uint8_t {
  None,
  /// Letters, digits, `-`, `_` and `.`, starting with a letter or digit.
  Name,
  /// An absolute path without a trailing slash, or `/` alone.
  PathPrefix,
  /// 64 lower-case hexadecimal digits.
  Digest,
  /// Upper-case letters.
  Method,
  Priority,
  Isolated,
};

/// One setting of a configuration file.
struct Setting {
  FileKind File;
  /// TOML table or array of tables that holds the setting.
  std::string_view Section;
  std::string_view Key;
  SettingType Type;
  /// Unit of numbers; empty for texts.
  std::string_view Unit;
  bool Required;
  /// Value if the setting is absent, as written in a file.
  std::string_view Default;
  /// Least and greatest value of a number, length of a text, or number of
  /// entries of a list.
  double Min;
  double Max;
  SettingFormat Format;
  /// What the value must be; completes the sentence "KEY ...".
  std::string_view ErrorText;
  std::string_view Purpose;
};

/// One section of a configuration file.
struct SettingSection {
  FileKind File;
  std::string_view Name;
  /// An array of tables, as in `[[route]]`, instead of a single table.
  bool Repeated;
  bool Required;
};

/// Every setting of all files, grouped by section.
std::span<const Setting> settingsTable();

/// Every section of all files.
std::span<const SettingSection> settingSections();

/// The settings table as a Markdown document.
std::string settingsDocument();

} // namespace config

#endif // JACKDAW_CONFIG_SETTINGS_H
