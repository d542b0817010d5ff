#ifndef JACKDAW_BASE_SETTINGS_H
#define JACKDAW_BASE_SETTINGS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace base {

enum class SettingType { Text, Number, Flag };

/// One setting of a program. Its flag is `--` plus the name; its environment
/// variable is `JACKDAW_` plus the name in upper case with underscores.
struct SettingSpec {
  std::string Name;
  SettingType Type = SettingType::Text;
  /// Unit of a number, such as "ms"; empty if it has none.
  std::string Unit;
  /// Text form; empty for a text that must be given if `Required`.
  std::string Default;
  std::int64_t Lowest = 0;
  std::int64_t Highest = 0;
  bool Required = false;
  /// Read only from the environment, because other users of the instance can
  /// see command lines.
  bool EnvironmentOnly = false;
  std::string Help;

  std::string environmentName() const;
};

/// The values of a program's settings.
class Settings {
public:
  const std::string &text(const std::string &Name) const;
  std::int64_t number(const std::string &Name) const;
  bool flag(const std::string &Name) const;

private:
  friend struct SettingsReader;
  std::map<std::string, std::string> Values;
};

/// What reading the settings led to.
struct SettingsResult {
  Settings Values;
  /// All problems found; empty if the settings are usable.
  std::vector<std::string> Errors;
  /// True after `--help` or `--version`, which print and need no more.
  bool Exit = false;
};

/// Reads the settings from the command line, then the environment, then the
/// defaults, and checks them all against the table.
SettingsResult readSettings(const std::vector<SettingSpec> &Table,
                            const std::string &Description,
                            const std::vector<std::string> &Arguments);

/// The same for `main`: prints errors to standard error and ends the process
/// with status 2 for bad settings and 0 after `--help` or `--version`.
Settings readSettingsOrExit(const std::vector<SettingSpec> &Table,
                            const std::string &Description, int Count,
                            char **Arguments);

} // namespace base

#endif // JACKDAW_BASE_SETTINGS_H
