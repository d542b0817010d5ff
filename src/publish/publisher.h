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
  /// Limit of reading the state, and again of publishing.
  std::chrono::milliseconds Timeout{30000};
  bool AllowRemoval = false;
  /// Named in the log as the origin of the changes.
  std::string Operator;
  /// Version that the operator's files are based on. Files that have changed
  /// since are conflicts. Without it, files are compared with the newest ones.
  std::optional<base::LogOffset> Since;
};

/// What would be appended for a set of files.
struct Plan {
  /// Faults in the files; if there are any, there are no changes.
  std::vector<config::FileError> Errors;
  std::vector<config::ConfigChange> Changes;
  /// Files in force that are absent and stay, since removal isn't allowed.
  std::vector<std::string> Kept;
  /// Files that differ and that another operator changed after `Since`.
  std::vector<std::string> Conflicts;
};

enum class PublishOutcome : std::uint8_t {
  Accepted,
  /// Another operator was first.
  VersionConflict,
  InvalidContent,
  /// The verdict could not be read back in time. The change may be in force
  /// now or later.
  Unknown,
  /// The change is certainly not in the log.
  NotAppended,
};

struct ChangeResult {
  config::ConfigChange Change;
  PublishOutcome Outcome = PublishOutcome::Unknown;
  /// The verdict, if one was read.
  std::optional<config::ChangeOutcome> LogOutcome;
  /// Why the outcome is unknown or the change not appended.
  std::string Detail;

  /// One line for the operator.
  std::string str() const;
};

/// Brings configuration files into the log.
class Publisher {
public:
  Publisher(platformlog::LogClient &Log, const base::Clock &Time,
            PublishSettings Settings)
      : Settings(std::move(Settings)), Log(Log), Time(Time), Reader(Log) {}

  /// Reads the state up to the end of the log. Failed reads are repeated until
  /// the timeout; then the last failure is returned.
  base::Result<void> readState();

  const config::ConfigState &state() const { return Reader.state(); }

  /// Compares the files with the state that was read.
  Plan plan(const FileMap &Files) const;

  /// Appends each change of the plan and waits for the verdicts. A change is
  /// appended again only if the log has certainly not taken it.
  std::vector<ChangeResult> publish(const Plan &Changes);

private:
  config::ConfigChange makeChange(const std::string &File) const;
  bool conflicts(const std::string &File) const;
  void planFile(const std::string &File, const std::string &Content,
                Plan &Changes) const;
  void append(ChangeResult &Result, base::BootTime Deadline);
  void awaitVerdicts(std::vector<ChangeResult> &Results,
                     base::BootTime Deadline);
  std::chrono::milliseconds left(base::BootTime Deadline) const;

  const PublishSettings Settings;
  platformlog::LogClient &Log;
  const base::Clock &Time;
  StateReader Reader;
};

} // namespace publish

#endif // JACKDAW_PUBLISH_PUBLISHER_H
