#ifndef JACKDAW_PLATFORMLOG_LOGCLIENT_H
#define JACKDAW_PLATFORMLOG_LOGCLIENT_H

#include "base/errors.h"
#include "base/types.h"
#include "platformlog/errors.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace platformlog {

/// Size limit of a record in bytes.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{4} * 1024 * 1024;

struct LogRecord {
  base::LogOffset Offset;
  std::string Bytes;
};

/// One page of a stream.
struct LogPage {
  /// In offset order. The first record may be after the requested offset if the
  /// log no longer retains that one.
  std::vector<LogRecord> Records;
  /// Oldest offset that the log retains; `End` + 1 if it retains none.
  base::LogOffset First;
  /// Offset of the newest record; 0 if there has never been one.
  base::LogOffset End;
};

/// Interface to one stream of the platform log. Failed results carry a
/// `LogError`.
class LogClient {
public:
  virtual ~LogClient() = default;

  /// Appends one record and returns its offset. Fails with `Unavailable` if the
  /// record has certainly not been appended, with `RecordTooLarge` if it also
  /// never can be, otherwise with `AppendOutcomeUnknown`.
  virtual base::Result<base::LogOffset> append(const std::string &Bytes) = 0;

  /// Reads up to `MaxRecords` records from offset `From` on. If there are none
  /// yet, waits up to `Wait` for one and then returns an empty page.
  virtual base::Result<LogPage> read(base::LogOffset From,
                                     std::size_t MaxRecords,
                                     std::chrono::milliseconds Wait) = 0;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_LOGCLIENT_H
