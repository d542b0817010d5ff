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

/// Format required of a text, or of each text in a list.
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
  /// Name of a priority class: `critical`, `normal` or `background`.
  Priority,
  /// Behaviour of an isolated data centre: `serve` or `refuse`.
  Isolated,
};

/// Describes one setting of a configuration file.
struct Setting {
  FileKind File;
  /// TOML table or array of tables that holds the setting.
  std::string_view Section;
  std::string_view Key;
  SettingType Type;
  /// Unit of numbers; empty for texts.
  std::string_view Unit;
  bool Required;
  /// Default value in the notation of the file; empty if there is none.
  std::string_view Default;
  /// Smallest and largest value of a number, length of a text, or number of
  /// entries of a list.
  double Min;
  double Max;
  SettingFormat Format;
  /// Requirement on the value, worded to follow the key in an error message.
  std::string_view ErrorText;
  std::string_view Purpose;
};

/// Describes one section of a configuration file.
struct SettingSection {
  FileKind File;
  std::string_view Name;
  /// An array of tables, as in `[[route]]`, instead of a single table.
  bool Repeated;
  bool Required;
};

/// The settings of both kinds of file, grouped by section.
std::span<const Setting> settingsTable();

/// The sections of both kinds of file.
std::span<const SettingSection> settingSections();

/// The settings as a Markdown table.
std::string settingsDocument();

} // namespace config

#endif // JACKDAW_CONFIG_SETTINGS_H
