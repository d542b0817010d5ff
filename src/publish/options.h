#ifndef JACKDAW_PUBLISH_OPTIONS_H
#define JACKDAW_PUBLISH_OPTIONS_H

#include "base/types.h"

#include <chrono>
#include <optional>
#include <string>

namespace publish {

/// Command-line options of `jackdaw-publish`.
struct Options {
  /// Directory of the configuration files.
  std::string Directory;
  /// URL of the platform log.
  std::string LogUrl;
  std::string Operator;
  /// Timeout of reading the state, and again of publishing.
  std::chrono::seconds Timeout{30};
  /// Version that the files are based on; see `PublishSettings::Since`.
  std::optional<base::LogOffset> Since;
  /// Only validate the files.
  bool Check = false;
  bool AllowRemoval = false;
  /// Only print the digest of the key on standard input.
  bool Digest = false;
};

/// Exit statuses of `jackdaw-publish` in order of severity; if several apply,
/// the most severe is returned.
enum class ExitStatus : int {
  Done = 0,
  InvalidFiles = 1,
  Usage = 2,
  Rejected = 3,
  LogUnavailable = 4,
  Unknown = 5,
};

/// Parses the command line; `JACKDAW_*` environment variables replace absent
/// flags. On errors, prints them to standard error and returns no value. Exits
/// the process on `--help` and `--version`.
std::optional<Options> parseOptions(int Count, char **Arguments);

} // namespace publish

#endif // JACKDAW_PUBLISH_OPTIONS_H
