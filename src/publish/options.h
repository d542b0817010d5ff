#ifndef JACKDAW_PUBLISH_OPTIONS_H
#define JACKDAW_PUBLISH_OPTIONS_H

#include "base/types.h"

#include <chrono>
#include <optional>
#include <string>

namespace publish {

/// Settings of `jackdaw-publish`.
struct Options {
  std::string Files;
  std::string Log;
  std::string Operator;
  std::chrono::seconds Timeout{30};
  std::optional<base::LogOffset> Since;
  bool Check = false;
  bool AllowRemoval = false;
  bool Digest = false;
};

/// Exit statuses of `jackdaw-publish`, the gravest last.
enum class ExitStatus : int {
  Done = 0,
  FaultyFiles = 1,
  Usage = 2,
  Rejected = 3,
  LogUnavailable = 4,
  Unknown = 5,
};

/// Settings from flags, with `JACKDAW_*` environment variables in place of
/// absent ones. Prints faults to standard error and returns nothing; exits on
/// `--help` and `--version`.
std::optional<Options> parseOptions(int Count, char **Arguments);

} // namespace publish

#endif // JACKDAW_PUBLISH_OPTIONS_H
