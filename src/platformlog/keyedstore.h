#ifndef JACKDAW_PLATFORMLOG_KEYEDSTORE_H
#define JACKDAW_PLATFORMLOG_KEYEDSTORE_H

#include "base/clock.h"
#include "base/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace platformlog {

/// A record of a keyed stream. The newest record of each key is retained.
struct KeyedRecord {
  base::LogOffset Offset;
  std::string Key;
  /// Empty optional if the record removes its key.
  std::optional<std::string> Value;
};

struct KeyedPage {
  std::vector<KeyedRecord> Records;
  /// Offset of the newest record of the stream; 0 if there has never been one.
  base::LogOffset End;
};

/// Status of a completed call to the store.
enum class StoreStatus : std::uint8_t {
  Done,
  /// The call had no effect.
  Unavailable,
  /// The requested records are no longer retained.
  Gone,
  /// The newest record of the stream is not at the offset that the append
  /// required.
  Conflict,
  /// The call may have taken effect, or may do so later.
  Unknown,
};

/// Name of a status for logs.
std::string_view storeStatusName(StoreStatus Status);

/// Result of a call to the store.
struct StoreResult {
  StoreStatus Status = StoreStatus::Unavailable;
  /// Records of a successful read; empty after other calls.
  KeyedPage Page;
  /// Description of a failure for logs.
  std::string Detail;
  /// The era that the response states, also if it is a refusal; none without a
  /// response.
  std::optional<base::StoreEra> Era;
};

/// Interface to the keyed streams of the platform's store. Calls are
/// asynchronous: they return at once, and the callback runs later on the same
/// thread.
class KeyedStore {
public:
  using Callback = std::function<void(StoreResult)>;

  virtual ~KeyedStore() = default;

  /// Reads the newest record of every key.
  virtual void readNewestRecords(const std::string &Stream, Callback Done) = 0;

  /// Reads the records after offset `After`. If there are none yet, waits up to
  /// `Wait` for one and then returns an empty page.
  virtual void read(const std::string &Stream, base::LogOffset After,
                    base::Duration Wait, Callback Done) = 0;

  /// Appends a record. If `ExpectedEnd` is given, the record is appended only
  /// if the newest record has that offset; otherwise the call fails with
  /// `Conflict`.
  virtual void append(const std::string &Stream, const KeyedRecord &Record,
                      std::optional<base::LogOffset> ExpectedEnd,
                      Callback Done) = 0;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_KEYEDSTORE_H
