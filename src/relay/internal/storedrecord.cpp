#include "relay/storedrecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kInitialBackoff = 100ms;
constexpr base::Duration kMaxBackoff = 2s;

} // namespace

StoredRecord::StoredRecord(eventloop::EventLoop &Loop,
                           platformlog::KeyedStore &Store, StructuredLog &Log,
                           std::string Stream, std::string Key,
                           std::function<void()> OnStored)
    : Loop(Loop), Store(Store), Log(Log), Stream(std::move(Stream)),
      Key(std::move(Key)), OnStored(std::move(OnStored)),
      Backoff(kInitialBackoff) {}

void StoredRecord::write(std::string NewValue) {
  Value = std::move(NewValue);
  ++LatestNumber;
  Backoff = kInitialBackoff;
  Loop.cancelTimer(RetryTimer);
  append();
}

void StoredRecord::adopt(const std::string &StoredValue) {
  Value = StoredValue;
  Stored = StoredValue;
}

bool StoredRecord::restore() {
  if (!Value || Stored == Value)
    return false;
  write(*Value);
  return true;
}

void StoredRecord::append() {
  Store.append(
      Stream, {{}, Key, *Value}, std::nullopt,
      [this, Number = LatestNumber](const platformlog::StoreResult &Result) {
        onCompleted(Number, Result);
      });
}

void StoredRecord::onCompleted(std::uint64_t Number,
                               const platformlog::StoreResult &Result) {
  if (Number != LatestNumber)
    return;
  if (Result.Status == platformlog::StoreStatus::Done) {
    Stored = Value;
    return OnStored();
  }
  Log.state("record_not_stored",
            {{"key", Key},
             {"status", platformlog::storeStatusName(Result.Status)},
             {"detail", Result.Detail}});
  RetryTimer = Loop.startTimer(Backoff, [this] { append(); });
  Backoff = std::min(Backoff * 2, kMaxBackoff);
}

} // namespace relay
