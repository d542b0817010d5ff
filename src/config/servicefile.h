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

/// Size limit of a file in bytes. It lets a change fit into one log record.
inline constexpr std::size_t kMaxFileBytes = std::size_t{512} * 1024;

/// An error in a configuration file.
struct FileError {
  std::string File;
  /// Line number from 1; 0 if the error is not tied to a line.
  std::uint32_t Line = 0;
  std::string Text;

  /// `FILE:LINE: TEXT`, or `FILE: TEXT` if there is no line.
  std::string str() const;
};

/// A parsed file, or all errors found in it.
template <typename T> struct ParsedFile {
  /// Present if and only if `Errors` is empty.
  std::optional<T> Value;
  std::vector<FileError> Errors;
};

/// Name of the service that `File` configures: the file name without `.toml`.
/// Returns no value if `File` is not the name of a service file.
std::optional<base::ServiceName> serviceOfFile(std::string_view File);

/// Parses a service file. The result depends on the arguments only, so that all
/// readers of the log accept or reject the same files.
ParsedFile<ServiceConfig> parseServiceFile(const std::string &File,
                                           std::string_view Text);

/// Parses `fleet.toml`.
ParsedFile<FleetConfig> parseFleetFile(const std::string &File,
                                       std::string_view Text);

/// All errors in one file. The name of the file determines whether it is parsed
/// as a service file or as `fleet.toml`.
std::vector<FileError> checkFile(const std::string &File,
                                 std::string_view Text);

} // namespace config

#endif // JACKDAW_CONFIG_SERVICEFILE_H
