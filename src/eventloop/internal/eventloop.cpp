#include "eventloop/eventloop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace eventloop {

namespace {

/// Events that one system call returns at most.
constexpr std::size_t kEventBatch = 64;
/// Longest sleep, so that a process that was suspended notices it soon.
constexpr int kMaxWaitMilliseconds = 1000;

} // namespace

EventLoop::EventLoop(const base::Clock &Time)
    : Time(Time), Epoll(epoll_create1(EPOLL_CLOEXEC)),
      Wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  watch(Wakeup, EPOLLIN, [this](std::uint32_t) {
    std::uint64_t Ignored = 0;
    (void)!read(Wakeup, &Ignored, sizeof(Ignored));
  });
}

EventLoop::~EventLoop() {
  close(Wakeup);
  close(Epoll);
}

void EventLoop::watch(int Descriptor, std::uint32_t Events, Watcher Ready) {
  const bool Known = Watches.contains(Descriptor);
  const std::uint64_t Serial = NextSerial++;
  Watches[Descriptor] =
      std::make_shared<Watched>(Watched{Serial, std::move(Ready)});
  epoll_event Entry{};
  Entry.events = Events;
  Entry.data.fd = Descriptor;
  // A descriptor number may have been closed and reused without `unwatch`.
  if (epoll_ctl(Epoll, Known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Descriptor,
                &Entry) != 0)
    epoll_ctl(Epoll, Known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, Descriptor, &Entry);
}

void EventLoop::unwatch(int Descriptor) {
  if (Watches.erase(Descriptor) == 0)
    return;
  epoll_event Ignored{};
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Descriptor, &Ignored);
}

TimerId EventLoop::startTimer(base::Duration Delay, Task Due) {
  const std::uint64_t Serial = NextSerial++;
  const base::BootTime At = Time.now() + Delay;
  Timers.emplace(TimerKey{At, Serial}, std::move(Due));
  TimerTimes.emplace(Serial, At);
  return TimerId(Serial);
}

void EventLoop::cancelTimer(TimerId Id) {
  const auto Found = TimerTimes.find(Id.value());
  if (Found == TimerTimes.end())
    return;
  Timers.erase(TimerKey{Found->second, Id.value()});
  TimerTimes.erase(Found);
}

void EventLoop::post(Task Work) {
  bool First = false;
  {
    std::lock_guard Lock(Mutex);
    First = Posted.empty();
    Posted.push_back(std::move(Work));
  }
  if (!First)
    return;
  const std::uint64_t One = 1;
  (void)!write(Wakeup, &One, sizeof(One));
}

void EventLoop::atTurnEnd(Task Work) { TurnEnd.push_back(std::move(Work)); }

void EventLoop::stop() {
  post([this] { Stopping = true; });
}

int EventLoop::waitMilliseconds() const {
  if (Timers.empty())
    return kMaxWaitMilliseconds;
  const base::Duration Left = Timers.begin()->first.first - Time.now();
  if (Left <= base::Duration::zero())
    return 0;
  const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Left);
  return static_cast<int>(
      std::min<std::int64_t>(Rounded.count(), kMaxWaitMilliseconds));
}

void EventLoop::runTimers() {
  const base::BootTime Now = Time.now();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto Next = Timers.extract(Timers.begin());
    TimerTimes.erase(Next.key().second);
    Next.mapped()();
  }
}

void EventLoop::runPosted() {
  std::vector<Task> Work;
  {
    std::lock_guard Lock(Mutex);
    Work.swap(Posted);
  }
  for (Task &Each : Work)
    Each();
}

void EventLoop::run() {
  std::array<epoll_event, kEventBatch> Events;
  while (!Stopping) {
    const int Count =
        epoll_wait(Epoll, Events.data(), static_cast<int>(Events.size()),
                   waitMilliseconds());
    // A watch that an earlier event of this batch replaced belongs to another
    // use of the descriptor.
    const std::uint64_t Newest = NextSerial;
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto Found = Watches.find(Event.data.fd);
      if (Found == Watches.end() || Found->second->Serial >= Newest)
        continue;
      const std::shared_ptr<Watched> Held = Found->second;
      Held->Ready(Event.events);
    }
    runPosted();
    runTimers();
    for (const Task &Each : TurnEnd)
      Each();
  }
  Stopping = false;
}

} // namespace eventloop
