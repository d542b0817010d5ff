#ifndef JACKDAW_BASE_SETTINGS_H
#define JACKDAW_BASE_SETTINGS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace base {

enum class SettingType { Text, Number, Flag };

/// Declares a setting of a program. Its command-line flag is `--` plus the
/// name; its environment variable is `JACKDAW_` plus the name in upper case
/// with underscores.
struct SettingSpec {
  std::string Name;
  SettingType Type = SettingType::Text;
  /// Unit of a number, such as "ms"; may be empty.
  std::string Unit;
  /// Default value as text; empty if there is none.
  std::string Default;
  /// Inclusive range of a number.
  std::int64_t Lowest = 0;
  std::int64_t Highest = 0;
  /// Whether the value must not be empty.
  bool Required = false;
  /// Read only from the environment. For secrets, because other users of the
  /// instance can see command lines.
  bool EnvironmentOnly = false;
  std::string Help;

  std::string environmentName() const;
};

/// The values of a program's settings. The accessors throw `std::out_of_range`
/// for a name that the table does not contain.
class Settings {
public:
  const std::string &text(const std::string &Name) const;
  std::int64_t number(const std::string &Name) const;
  bool flag(const std::string &Name) const;

private:
  friend struct SettingsWriter;
  std::map<std::string, std::string> Values;
};

/// Result of reading the settings.
struct SettingsResult {
  Settings Values;
  /// All problems found; empty if the settings are usable.
  std::vector<std::string> Errors;
  /// True after `--help` or `--version`, which print their output; the program
  /// should exit.
  bool Exit = false;
};

/// Reads each setting from the command line, the environment or its default, in
/// this order of precedence, and validates it against the table.
SettingsResult readSettings(const std::vector<SettingSpec> &Table,
                            const std::string &Description,
                            const std::vector<std::string> &Arguments);

/// Like `readSettings`, for use in `main`: prints errors to standard error and
/// exits with status 2 if settings are invalid and 0 after `--help` or
/// `--version`.
Settings readSettingsOrExit(const std::vector<SettingSpec> &Table,
                            const std::string &Description, int Count,
                            char **Arguments);

} // namespace base

#endif // JACKDAW_BASE_SETTINGS_H
