#include "platformlog/streamfollower.h"

#include <algorithm>
#include <utility>

namespace platformlog {

namespace {

using namespace std::chrono_literals;

/// Delay before a failed read is retried. It doubles up to the maximum. A short
/// initial delay lets changes take effect soon after a single failure.
constexpr base::Duration kInitialRetryDelay = 50ms;
constexpr base::Duration kMaxRetryDelay = 500ms;
/// Longest delay before the newest records are read again from a store that has
/// refused the end of the last ones.
constexpr base::Duration kMaxGoneDelay = 8s;
/// Minimum time between two reads for offsets that other daemons have reported.
/// It grows by this factor, up to the maximum, until one succeeds, since each
/// of them returns the same records.
constexpr base::Duration kMinExtraReadInterval = 200ms;
constexpr base::Duration kMaxExtraReadInterval = 1600ms;
constexpr int kExtraReadFactor = 4;

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
      Listener(Listener), RetryDelay(kInitialRetryDelay),
      ExtraReadInterval(kMinExtraReadInterval), GoneDelay(kInitialRetryDelay) {}

void StreamFollower::start() { readNewest(); }

void StreamFollower::startFrom(const KeyedPage &Known) { adoptNewest(Known); }

void StreamFollower::startReadTimer(base::Duration Delay,
                                    std::function<void()> Action) {
  Loop.cancelTimer(ReadTimer);
  ReadTimer = Loop.startTimer(Delay, std::move(Action));
}

void StreamFollower::restart() {
  if (!Synced && NewestReads == 0)
    return;
  dropPosition();
  std::uniform_int_distribution<base::Duration::rep> Delay(
      0, Settings.RestartSpread.count());
  startReadTimer(base::Duration(Delay(Random)), [this, Restart = Restarts] {
    if (Restart == Restarts)
      readNewest();
  });
}

void StreamFollower::dropPosition() {
  ++Restarts;
  ++LatestRead;
  ScheduledAfter = 0;
  NewestReads = 0;
  Synced = false;
  Position = {};
  Listener.onHistoryReplaced();
}

void StreamFollower::readNewest() {
  ++NewestReads;
  Store.readNewestRecords(Settings.Stream,
                          [this, ReadId = ++LatestRead, Restart = Restarts,
                           SentAt = Position](const StoreResult &Result) {
                            if (Restart != Restarts)
                              return;
                            --NewestReads;
                            onNewest(ReadId, SentAt, Result);
                          });
}

void StreamFollower::readNext() { read(Settings.Timing.MaxWait); }

void StreamFollower::readNow() {
  if (Synced)
    read(base::Duration::zero());
}

void StreamFollower::read(base::Duration Wait) {
  ScheduledAfter = 0;
  Store.read(Settings.Stream, Position, Wait,
             [this, ReadId = ++LatestRead,
              Restart = Restarts](const StoreResult &Result) {
               if (Restart == Restarts)
                 onRead(ReadId, Result);
             });
}

void StreamFollower::scheduleNextRead() {
  if (Behind || Settings.Timing.Interval <= base::Duration::zero())
    return readNext();
  ScheduledAfter = LatestRead;
  startReadTimer(Settings.Timing.Interval, [this, ReadId = LatestRead] {
    if (ReadId == ScheduledAfter)
      readNext();
  });
}

void StreamFollower::setPollTiming(const PollTiming &NewTiming) {
  if (NewTiming == Settings.Timing)
    return;
  Settings.Timing = NewTiming;
  if (ScheduledAfter != 0 && NewTiming.Interval <= base::Duration::zero())
    readNext();
}

void StreamFollower::catchUpTo(base::LogOffset Offset) {
  const base::BootTime Now = Loop.clock().now();
  // The newest records replace those that another read would return.
  if (!Synced || Offset <= Position || Now < ExtraReadAllowedAt ||
      NewestReads > 0)
    return;
  ExtraReadAllowedAt = Now + ExtraReadInterval;
  ExtraReadInterval =
      std::min(ExtraReadInterval * kExtraReadFactor, kMaxExtraReadInterval);
  readNext();
}

void StreamFollower::onNewest(std::uint64_t ReadId, base::LogOffset SentAt,
                              const StoreResult &Result) {
  // Reads are linearizable, so an end before the position that was known when
  // the read was sent shows an older copy. That covers platforms without eras.
  if (Result.Status == StoreStatus::Done && Result.Page.End < SentAt) {
    dropPosition();
    return adoptNewest(Result.Page);
  }
  // A superseded read is still worth its records: the one after it may take as
  // long.
  if (ReadId != LatestRead) {
    if (Result.Status == StoreStatus::Done)
      deliverNewest(Result.Page);
    return;
  }
  if (Result.Status != StoreStatus::Done)
    return retry(Result, true);
  adoptNewest(Result.Page);
}

void StreamFollower::adoptNewest(const KeyedPage &Page) {
  deliverNewest(Page);
  scheduleNextRead();
}

void StreamFollower::deliverNewest(KeyedPage Page) {
  Synced = true;
  // A record behind the end was appended while the pages were read, and may
  // follow others that the pages don't have. The next read returns them all.
  std::erase_if(Page.Records, [&Page](const KeyedRecord &Each) {
    return Each.Offset > Page.End;
  });
  deliver(Page);
  // The next read starts at the end of the stream, since the store may not
  // retain the records after the newest one of a key.
  Position = std::max(Position, Page.End);
}

void StreamFollower::onRead(std::uint64_t ReadId, const StoreResult &Result) {
  // A slow store may respond to a read after the next one has been sent. Its
  // records are still delivered.
  if (ReadId != LatestRead) {
    if (Result.Status == StoreStatus::Done)
      deliver(Result.Page);
    return;
  }
  if (Result.Status == StoreStatus::Gone) {
    // A store that refuses the end that it has just stated is not asked without
    // a pause.
    if (std::exchange(GoneAfterNewest, true)) {
      RetryDelay = GoneDelay;
      GoneDelay = std::min(GoneDelay * 2, kMaxGoneDelay);
      return retry(Result, true);
    }
    return readNewest();
  }
  if (Result.Status != StoreStatus::Done)
    return retry(Result, false);
  GoneAfterNewest = false;
  GoneDelay = kInitialRetryDelay;
  deliver(Result.Page);
  scheduleNextRead();
}

void StreamFollower::deliver(const KeyedPage &Page) {
  setReachable(true, "");
  RetryDelay = kInitialRetryDelay;
  ExtraReadInterval = kMinExtraReadInterval;
  const base::LogOffset Previous = Position;
  for (const KeyedRecord &Each : Page.Records) {
    if (Each.Offset <= Previous)
      continue;
    Listener.onRecord(Each);
    Position = std::max(Position, Each.Offset);
  }
  Behind = Position > Previous && Position < Page.End;
  if (!Behind)
    Listener.onCaughtUp(Position);
}

void StreamFollower::retry(const StoreResult &Result, bool Newest) {
  setReachable(false, std::string(storeStatusName(Result.Status)) + ": " +
                          Result.Detail);
  const std::uint64_t ReadId = LatestRead;
  startReadTimer(RetryDelay, [this, ReadId, Newest] {
    if (ReadId != LatestRead)
      return;
    if (Newest)
      readNewest();
    else
      readNext();
  });
  RetryDelay = std::min(RetryDelay * 2, kMaxRetryDelay);
}

void StreamFollower::setReachable(bool NewState, const std::string &Detail) {
  if (std::exchange(ReachabilityReported, true) && NewState == Reachable)
    return;
  Reachable = NewState;
  Listener.onReachabilityChanged(NewState, Detail);
}

} // namespace platformlog
