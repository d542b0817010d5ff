#ifndef JACKDAW_PUBLISH_STATEREADER_H
#define JACKDAW_PUBLISH_STATEREADER_H

#include "config/configstate.h"
#include "platformlog/fleetrecord.h"
#include "platformlog/logclient.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace publish {

enum class ReadProgress : std::uint8_t {
  /// The state includes every record up to the end of the log.
  AtEnd,
  /// There are more records to read.
  More,
  /// The log has forgotten records that the state needs, and no snapshot in
  /// place of them has been read yet.
  SnapshotMissing,
};

/// Follows the `fleet` stream with a replica of the configuration. If the log
/// no longer retains the records that come next, the replica stays as it is
/// until a snapshot that covers the gap has been read.
class StateReader {
public:
  explicit StateReader(platformlog::LogClient &Log) : Log(Log) {}

  /// Reads one page; at the end of the log, waits up to `Wait` for news.
  base::Result<ReadProgress> step(std::chrono::milliseconds Wait);

  const config::ConfigState &state() const { return State; }

private:
  void noteGap(base::LogOffset First);
  void takeRecord(const platformlog::LogRecord &Record);
  void takeSnapshot(const std::string &Payload);

  platformlog::LogClient &Log;
  config::ConfigState State;
  base::LogOffset Next{1};
  /// Whether the state includes all records before `Next`.
  bool Complete = true;
  /// While it doesn't: all records from `Start` to `Next` have been read, and
  /// these are the changes among them.
  base::LogOffset Start;
  std::vector<std::pair<base::LogOffset, config::ConfigChange>> Pending;
};

} // namespace publish

#endif // JACKDAW_PUBLISH_STATEREADER_H
