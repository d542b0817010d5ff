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
      Listener(Listener), RetryPause(kFirstPause) {}

void StreamFollower::start() { readNewest(); }

void StreamFollower::readNewest() {
  Store.newest(Settings.Stream,
               [this, Current = ++Round](const StoreResult &Result) {
                 onNewest(Current, Result);
               });
}

void StreamFollower::readOn() {
  Pausing = 0;
  Store.read(Settings.Stream, Position, Settings.Pace.Wait,
             [this, Current = ++Round](const StoreResult &Result) {
               onRead(Current, Result);
             });
}

void StreamFollower::pause() {
  if (Settings.Pace.Pause <= base::Duration::zero())
    return readOn();
  Pausing = Round;
  Loop.startTimer(Settings.Pace.Pause, [this, Current = Round] {
    if (Current == Pausing)
      readOn();
  });
}

void StreamFollower::setPace(const FollowerPace &New) {
  if (New == Settings.Pace)
    return;
  Settings.Pace = New;
  if (Pausing != 0 && New.Pause <= base::Duration::zero())
    readOn();
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
  pause();
}

void StreamFollower::onRead(std::uint64_t Current, const StoreResult &Result) {
  // A slow store answers a read after the next one has been sent.
  if (Current != Round) {
    if (Result.Status == StoreStatus::Done)
      take(Result.Page);
    return;
  }
  if (Result.Status == StoreStatus::Gone)
    return readNewest();
  if (Result.Status != StoreStatus::Done)
    return retry(Result, false);
  take(Result.Page);
  pause();
}

void StreamFollower::take(const KeyedPage &Page) {
  setReachable(true, "");
  RetryPause = kFirstPause;
  const base::LogOffset Seen = Position;
  for (const KeyedRecord &Each : Page.Records) {
    if (Each.Offset <= Seen)
      continue;
    Listener.onRecord(Each);
    Position = std::max(Position, Each.Offset);
  }
  Listener.onCaughtUp(Position);
}

void StreamFollower::retry(const StoreResult &Result, bool Newest) {
  setReachable(false, std::string(storeStatusName(Result.Status)) + ": " +
                          Result.Detail);
  const std::uint64_t Current = Round;
  Loop.startTimer(RetryPause, [this, Current, Newest] {
    if (Current != Round)
      return;
    if (Newest)
      readNewest();
    else
      readOn();
  });
  RetryPause = std::min(RetryPause * 2, kLongestPause);
}

void StreamFollower::setReachable(bool New, const std::string &Detail) {
  if (std::exchange(EverReported, true) && New == Reachable)
    return;
  Reachable = New;
  Listener.onStoreState(New, Detail);
}

} // namespace platformlog
