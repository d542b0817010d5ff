#ifndef JACKDAW_CONFIG_SERVICEFILE_H
#define JACKDAW_CONFIG_SERVICEFILE_H

#include "config/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace config {

/// Name of the file that holds the `FleetConfig`.
inline constexpr std::string_view kFleetFile = "fleet.toml";

/// Larger files are refused, so that a change fits into one log record.
inline constexpr std::size_t kMaxFileBytes = std::size_t{512} * 1024;

/// A fault in a configuration file.
struct FileError {
  std::string File;
  /// Counted from 1; 0 if the fault belongs to no line.
  std::uint32_t Line = 0;
  std::string Text;

  /// `FILE:LINE: TEXT`.
  std::string str() const;
};

/// A parsed file, or all faults found in it.
template <typename T> struct ParsedFile {
  /// Present if and only if `Errors` is empty.
  std::optional<T> Value;
  std::vector<FileError> Errors;
};

/// Name of the service that `File` configures: the file name without `.toml`.
/// Nothing if it isn't the name of a service file.
std::optional<base::ServiceName> serviceOfFile(std::string_view File);

/// Parses a service file. The result depends on the arguments only, so that
/// all readers of the log reach the same verdict.
ParsedFile<ServiceConfig> parseServiceFile(const std::string &File,
                                           std::string_view Text);

/// Parses `fleet.toml`.
ParsedFile<FleetConfig> parseFleetFile(const std::string &File,
                                       std::string_view Text);

/// All faults of one file of either kind; the kind follows from the name.
std::vector<FileError> checkFile(const std::string &File,
                                 std::string_view Text);

} // namespace config

#endif // JACKDAW_CONFIG_SERVICEFILE_H
