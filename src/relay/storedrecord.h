#ifndef JACKDAW_RELAY_STOREDRECORD_H
#define JACKDAW_RELAY_STOREDRECORD_H

#include "eventloop/eventloop.h"
#include "platformlog/keyedstore.h"
#include "relay/structuredlog.h"

#include <functional>
#include <optional>
#include <string>

namespace relay {

/// A record that a daemon must have in the store. It is written until the store
/// has accepted it, and again if the store comes back from an older copy that
/// lacks it. Only this daemon writes the key.
class StoredRecord {
public:
  /// `OnStored` is called each time that the newest value has been accepted.
  StoredRecord(eventloop::EventLoop &Loop, platformlog::KeyedStore &Store,
               StructuredLog &Log, std::string Stream, std::string Key,
               std::function<void()> OnStored);
  ~StoredRecord() { Loop.cancelTimer(RetryTimer); }

  StoredRecord(const StoredRecord &) = delete;
  StoredRecord &operator=(const StoredRecord &) = delete;

  const std::string &key() const { return Key; }

  /// Writes a value in place of the one before.
  void write(std::string NewValue);

  /// The store holds this value, which an earlier process of the daemon has
  /// written.
  void adopt(const std::string &StoredValue);

  /// The store has been read and holds this value.
  void onRead(const std::optional<std::string> &StoredValue) {
    Stored = StoredValue;
  }

  /// The store has come back from an older copy that hasn't been read yet.
  void onHistoryReplaced() { Stored.reset(); }

  /// Writes the value again if the store, as last read, doesn't hold it.
  /// Returns whether it does so.
  bool restore();

private:
  void append();
  void onCompleted(std::uint64_t Number,
                   const platformlog::StoreResult &Result);

  eventloop::EventLoop &Loop;
  platformlog::KeyedStore &Store;
  StructuredLog &Log;
  const std::string Stream;
  const std::string Key;
  const std::function<void()> OnStored;
  /// The value that the store must hold, and the one that it holds.
  std::optional<std::string> Value;
  std::optional<std::string> Stored;
  /// Counts values, so that the outcome of an earlier one is ignored.
  std::uint64_t LatestNumber = 0;
  base::Duration Backoff;
  eventloop::TimerId RetryTimer;
};

} // namespace relay

#endif // JACKDAW_RELAY_STOREDRECORD_H
