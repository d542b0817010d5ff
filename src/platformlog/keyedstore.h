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
  /// Nothing if the record removes its key.
  std::optional<std::string> Value;
};

struct KeyedPage {
  std::vector<KeyedRecord> Records;
  /// Offset of the newest record of the stream; 0 if there has never been one.
  base::LogOffset End;
};

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
  Done,
  /// The call had no effect.
  Unavailable,
  /// The records asked for are no longer retained.
  Gone,
  /// The stream did not end at the offset that the append named.
  Conflict,
  /// The call may have had its effect, or may have it later.
  Unknown,
};

/// Name of a status for logs.
std::string_view storeStatusName(StoreStatus Status);

struct StoreResult {
  StoreStatus Status = StoreStatus::Unavailable;
  KeyedPage Page;
  /// Description of a failure for logs.
  std::string Detail;
};

/// Keyed streams of the platform's store. Calls return at once; their callback
/// runs later on the same thread.
class KeyedStore {
public:
  using Callback = std::function<void(StoreResult)>;

  virtual ~KeyedStore() = default;

  /// Reads the newest record of every key.
  virtual void newest(const std::string &Stream, Callback Done) = 0;

  /// Reads records behind `After`; waits up to `Wait` for one and returns an
  /// empty page if none came.
  virtual void read(const std::string &Stream, base::LogOffset After,
                    base::Duration Wait, Callback Done) = 0;

  /// Appends a record. With `OnlyAfter`, it is appended only if that is the
  /// offset of the newest record.
  virtual void append(const std::string &Stream, const KeyedRecord &Record,
                      std::optional<base::LogOffset> OnlyAfter,
                      Callback Done) = 0;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_KEYEDSTORE_H
