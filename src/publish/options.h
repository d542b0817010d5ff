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
  /// Name of the operator, recorded in the log as the origin of the changes.
  std::string Operator;
  /// Time limit for reading the state, and again for publishing.
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
  /// A file has a newer version than the one that the change is based on.
  Rejected = 3,
  LogUnavailable = 4,
  /// The outcome of a change could not be read from the log in time. The
  /// change may take effect now or later.
  Unknown = 5,
};

/// Parses the command line; `JACKDAW_*` environment variables replace absent
/// flags. On errors, prints them to standard error and returns no value. Exits
/// the process on `--help` and `--version`.
std::optional<Options> parseOptions(int Count, char **Arguments);

} // namespace publish

#endif // JACKDAW_PUBLISH_OPTIONS_H
