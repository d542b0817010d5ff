#ifndef JACKDAW_PUBLISH_PUBLISHER_H
#define JACKDAW_PUBLISH_PUBLISHER_H

#include "base/clock.h"
#include "config/configstate.h"
#include "platformlog/logclient.h"
#include "publish/files.h"
#include "publish/statereader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace publish {

struct PublishSettings {
  /// Timeout of reading the state, and again of publishing.
  std::chrono::milliseconds Timeout{30000};
  /// Whether files that are absent from the new set are removed.
  bool AllowRemoval = false;
  /// Recorded in the log as the origin of the changes.
  std::string Operator;
  /// Version that the operator's files are based on. Files that have been
  /// changed after it are conflicts. Without it, the newest version is assumed.
  std::optional<base::LogOffset> Since;
};

/// The changes that would be appended for a set of files.
struct Plan {
  /// Errors in the files; if there are any, there are no changes.
  std::vector<config::FileError> Errors;
  std::vector<config::ConfigChange> Changes;
  /// Current files that are absent from the set and stay in force, because
  /// removal isn't allowed.
  std::vector<std::string> Retained;
  /// Files that differ and were changed after `PublishSettings::Since`.
  std::vector<std::string> Conflicts;
};

/// Outcome of one published change.
enum class PublishOutcome : std::uint8_t {
  Accepted,
  /// Another operator published the file first.
  VersionConflict,
  InvalidContent,
  /// The outcome could not be read from the log in time. The change may take
  /// effect now or later.
  Unknown,
  /// The change is certainly not in the log.
  NotAppended,
};

struct ChangeResult {
  config::ConfigChange Change;
  PublishOutcome Outcome = PublishOutcome::Unknown;
  /// The outcome according to the log, if it was read.
  std::optional<config::ChangeOutcome> LogOutcome;
  /// Reason why the outcome is unknown or the change was not appended.
  std::string Detail;

  /// A one-line description for the operator.
  std::string str() const;
};

/// Publishes configuration files as changes in the platform log.
class Publisher {
public:
  Publisher(platformlog::LogClient &Log, const base::Clock &Clock,
            PublishSettings Settings)
      : Settings(std::move(Settings)), Log(Log), Clock(Clock), Reader(Log) {}

  /// Reads the state up to the end of the log. Failed reads are retried until
  /// the timeout; then the last error is returned.
  base::Result<void> readState();

  const config::ConfigState &state() const { return Reader.state(); }

  /// Compares the files with the state that was read.
  Plan plan(const FileMap &Files) const;

  /// Appends each change of the plan and waits for the outcomes. An append is
  /// retried only if the record has certainly not been appended. Appends
  /// nothing if the plan has errors or conflicts.
  std::vector<ChangeResult> publish(const Plan &Planned);

private:
  config::ConfigChange makeChange(const std::string &File) const;
  /// Whether the file was changed after `PublishSettings::Since`.
  bool hasConflict(const std::string &File) const;
  void planFile(const std::string &File, const std::string &Content,
                Plan &Planned) const;
  void append(ChangeResult &Result, base::BootTime Deadline);
  void awaitOutcomes(std::vector<ChangeResult> &Results,
                     base::BootTime Deadline);
  std::chrono::milliseconds remaining(base::BootTime Deadline) const;

  const PublishSettings Settings;
  platformlog::LogClient &Log;
  const base::Clock &Clock;
  StateReader Reader;
};

} // namespace publish

#endif // JACKDAW_PUBLISH_PUBLISHER_H
