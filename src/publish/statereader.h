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

/// Progress after reading one page of the log.
enum class ReadProgress : std::uint8_t {
  /// The state includes every record up to the end of the log.
  AtEnd,
  /// There are more records to read.
  More,
  /// The log no longer retains records that the state needs, and no snapshot
  /// that replaces them has been read yet.
  SnapshotMissing,
};

/// Maintains a replica of the configuration from the `fleet` stream. If the log
/// no longer retains the next records, the replica remains unchanged until a
/// snapshot that covers the gap has been read.
class StateReader {
public:
  explicit StateReader(platformlog::LogClient &Log) : Log(Log) {}

  /// Reads one page; at the end of the log, waits up to `Wait` for new records.
  base::Result<ReadProgress> readPage(std::chrono::milliseconds Wait);

  const config::ConfigState &state() const { return State; }

private:
  void startAfterGap(base::LogOffset First);
  void applyRecord(const platformlog::LogRecord &Record);
  void applySnapshot(const std::string &Payload);

  platformlog::LogClient &Log;
  config::ConfigState State;
  base::LogOffset Next{1};
  /// Whether the state includes all records before `Next`.
  bool Complete = true;
  /// First retained offset after a gap. Used while `Complete` is false: all
  /// records from `GapEnd` up to `Next` have been read, and `Pending` holds the
  /// changes among them until a snapshot covers the gap.
  base::LogOffset GapEnd;
  std::vector<std::pair<base::LogOffset, config::ConfigChange>> Pending;
};

} // namespace publish

#endif // JACKDAW_PUBLISH_STATEREADER_H
