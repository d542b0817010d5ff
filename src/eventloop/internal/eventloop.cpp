#include "eventloop/eventloop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace eventloop {

namespace {

/// Maximum number of events that one call of epoll_wait returns.
constexpr std::size_t kMaxEventsPerWait = 64;
/// Longest wait. The timeout of epoll_wait leaves out time for which the
/// instance was suspended; the limit makes the loop notice such a time soon
/// afterwards.
constexpr int kMaxWaitMilliseconds = 1000;

} // namespace

EventLoop::EventLoop(const base::Clock &Clock)
    : Clock(Clock), Epoll(epoll_create1(EPOLL_CLOEXEC)),
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

void EventLoop::watch(int Descriptor, std::uint32_t Events,
                      EventHandler Handler) {
  const bool Known = Watches.contains(Descriptor);
  const std::uint64_t Serial = NextSerial++;
  Watches[Descriptor] =
      std::make_shared<Watch>(Watch{Serial, std::move(Handler)});
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

TimerId EventLoop::startTimer(base::Duration Delay, Task OnExpiry) {
  const std::uint64_t Serial = NextSerial++;
  const base::BootTime Deadline = Clock.now() + Delay;
  Timers.emplace(TimerKey{Deadline, Serial}, std::move(OnExpiry));
  TimerDeadlines.emplace(Serial, Deadline);
  return TimerId(Serial);
}

void EventLoop::cancelTimer(TimerId Id) {
  const auto Found = TimerDeadlines.find(Id.value());
  if (Found == TimerDeadlines.end())
    return;
  Timers.erase(TimerKey{Found->second, Id.value()});
  TimerDeadlines.erase(Found);
}

void EventLoop::post(Task Work) {
  bool First = false;
  {
    std::lock_guard Lock(Mutex);
    First = PostedTasks.empty();
    PostedTasks.push_back(std::move(Work));
  }
  if (!First)
    return;
  const std::uint64_t One = 1;
  (void)!write(Wakeup, &One, sizeof(One));
}

void EventLoop::atIterationEnd(Task Work) {
  IterationEndTasks.push_back(std::move(Work));
}

void EventLoop::stop() {
  post([this] { Stopping = true; });
}

int EventLoop::waitMilliseconds() const {
  if (Timers.empty())
    return kMaxWaitMilliseconds;
  const base::Duration Remaining = Timers.begin()->first.first - Clock.now();
  if (Remaining <= base::Duration::zero())
    return 0;
  const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Remaining);
  return static_cast<int>(
      std::min<std::int64_t>(Rounded.count(), kMaxWaitMilliseconds));
}

void EventLoop::runTimers() {
  const base::BootTime Now = Clock.now();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto Next = Timers.extract(Timers.begin());
    TimerDeadlines.erase(Next.key().second);
    Next.mapped()();
  }
}

void EventLoop::runPostedTasks() {
  std::vector<Task> Work;
  {
    std::lock_guard Lock(Mutex);
    Work.swap(PostedTasks);
  }
  for (Task &Each : Work)
    Each();
}

void EventLoop::run() {
  std::array<epoll_event, kMaxEventsPerWait> Events;
  while (!Stopping) {
    const int Count =
        epoll_wait(Epoll, Events.data(), static_cast<int>(Events.size()),
                   waitMilliseconds());
    // A watch that an earlier handler in this batch replaced belongs to another
    // use of the descriptor, so the event is not for it.
    const std::uint64_t FirstNewSerial = NextSerial;
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto Found = Watches.find(Event.data.fd);
      if (Found == Watches.end() || Found->second->Serial >= FirstNewSerial)
        continue;
      const std::shared_ptr<Watch> Active = Found->second;
      Active->Handler(Event.events);
    }
    runPostedTasks();
    runTimers();
    for (const Task &Each : IterationEndTasks)
      Each();
  }
  Stopping = false;
}

} // namespace eventloop
