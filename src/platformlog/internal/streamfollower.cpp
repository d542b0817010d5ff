#include "platformlog/streamfollower.h"

#include <algorithm>
#include <utility>

namespace platformlog {

namespace {

using namespace std::chrono_literals;

/// Pause after a failed read; it doubles up to the maximum. A short first one
/// keeps the time until a change is in force low after a single failure.
constexpr base::Duration kFirstPause = 50ms;
constexpr base::Duration kLongestPause = 500ms;
/// Least time between two reads that news of other daemons cause.
constexpr base::Duration kExtraReadInterval = 200ms;

} // namespace

std::string_view storeStatusName(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Done:
    return "done";
  case StoreStatus::Unavailable:
    return "unavailable";
  case StoreStatus::Gone:
    return "gone";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::Unknown:
    break;
  }
  return "unknown";
}

StreamFollower::StreamFollower(FollowerSettings Settings,
                               eventloop::EventLoop &Loop, KeyedStore &Store,
                               StreamListener &Listener)
    : Settings(std::move(Settings)), Loop(Loop), Store(Store),
      Listener(Listener), Pause(kFirstPause) {}

void StreamFollower::start() { readNewest(); }

void StreamFollower::readNewest() {
  Store.newest(Settings.Stream,
               [this, Current = ++Round](const StoreResult &Result) {
                 onNewest(Current, Result);
               });
}

void StreamFollower::readOn() {
  Store.read(Settings.Stream, Position, Settings.Wait,
             [this, Current = ++Round](const StoreResult &Result) {
               onRead(Current, Result);
             });
}

void StreamFollower::expect(base::LogOffset Offset) {
  const base::BootTime Now = Loop.clock().now();
  if (!Synced || Offset <= Position || Now < ExtraReadAllowedAt)
    return;
  ExtraReadAllowedAt = Now + kExtraReadInterval;
  readOn();
}

void StreamFollower::onNewest(std::uint64_t Current,
                              const StoreResult &Result) {
  if (Current != Round)
    return;
  if (Result.Status != StoreStatus::Done)
    return retry(Result, true);
  Synced = true;
  take(Result.Page);
  readOn();
}

void StreamFollower::onRead(std::uint64_t Current, const StoreResult &Result) {
  if (Current != Round)
    return;
  if (Result.Status == StoreStatus::Gone)
    return readNewest();
  if (Result.Status != StoreStatus::Done)
    return retry(Result, false);
  take(Result.Page);
  readOn();
}

void StreamFollower::take(const KeyedPage &Page) {
  setReachable(true, "");
  Pause = kFirstPause;
  for (const KeyedRecord &Each : Page.Records) {
    Listener.onRecord(Each);
    Position = std::max(Position, Each.Offset);
  }
  Listener.onCaughtUp(Position);
}

void StreamFollower::retry(const StoreResult &Result, bool Newest) {
  setReachable(false, std::string(storeStatusName(Result.Status)) + ": " +
                          Result.Detail);
  const std::uint64_t Current = Round;
  Loop.after(Pause, [this, Current, Newest] {
    if (Current != Round)
      return;
    if (Newest)
      readNewest();
    else
      readOn();
  });
  Pause = std::min(Pause * 2, kLongestPause);
}

void StreamFollower::setReachable(bool New, const std::string &Detail) {
  if (std::exchange(EverReported, true) && New == Reachable)
    return;
  Reachable = New;
  Listener.onStoreState(New, Detail);
}

} // namespace platformlog
