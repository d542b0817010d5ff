#include "instance.h"

#include "overload/adaptivelimit.h"
#include "overload/fixedlimit.h"

#include <algorithm>

namespace bench {

namespace {

std::unique_ptr<overload::ConcurrencyLimit> makeLimit(const base::Clock &Clock,
                                                      bool Adaptive) {
  if (Adaptive)
    return std::make_unique<overload::AdaptiveLimit>(Clock, kSlots);
  return std::make_unique<overload::FixedLimit>(kSlots);
}

} // namespace

Instance::Instance(const base::Clock &Clock, const Variant &Mechanisms)
    : Admission(Clock, {}), Levels(Clock), Clock(Clock), Mechanisms(Mechanisms),
      Limit(makeLimit(Clock, Mechanisms.Limit)), Queue(Clock, {}) {}

std::optional<base::CallId> Instance::push(const overload::QueueEntry &Entry) {
  if (!Mechanisms.Queue) {
    FifoQueue.push_back(Entry);
    return std::nullopt;
  }
  const auto Removed = Queue.push(Entry);
  return Removed ? std::optional(Removed->Entry.Id) : std::nullopt;
}

std::optional<overload::DequeuedEntry> Instance::next() {
  if (!Limit->hasFreeSlot())
    return std::nullopt;
  if (Mechanisms.Queue)
    return Queue.pop();
  if (FifoQueue.empty())
    return std::nullopt;
  overload::DequeuedEntry Result{FifoQueue.front()};
  FifoQueue.pop_front();
  return Result;
}

std::vector<base::CallId> Instance::takeExpired() {
  std::vector<base::CallId> Result;
  for (const overload::DequeuedEntry &Removed : Queue.takeExpired())
    Result.push_back(Removed.Entry.Id);
  return Result;
}

void Instance::start(const base::CallId &Id, double WorkMs) {
  Admission.recordStart();
  Limit->callStarted();
  Calls.emplace(Id, Call{Clock.now(), {}});
  Active.push_back({Id, WorkMs});
}

// Core time that a completed call did not use within the step is given to the
// other calls in the next step. Otherwise the simulated capacity would depend
// on the step length.
std::vector<base::CallId> Instance::work() {
  const double Speed =
      std::min(1.0, (kCores + UnusedCoreMs) / double(Active.size()));
  UnusedCoreMs = 0;
  std::vector<base::CallId> Done;
  std::erase_if(Active, [&](ActiveCall &Each) {
    Each.RemainingWorkMs -= Speed;
    if (Each.RemainingWorkMs > 0)
      return false;
    UnusedCoreMs -= Each.RemainingWorkMs;
    Done.push_back(Each.Id);
    return true;
  });
  for (const base::CallId &Id : Done)
    Calls.at(Id).OwnTime = Clock.now() - Calls.at(Id).StartTime;
  return Done;
}

void Instance::finish(const base::CallId &Id,
                      overload::CompletionStatus Completion) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Limit->callCompleted(Completion, Found->second.OwnTime);
  Calls.erase(Found);
  std::erase_if(Active, [&](const ActiveCall &Each) { return Each.Id == Id; });
}

void Instance::tick() {
  Limit->tick();
  Admission.tick(Queue.oldestWaits());
}

std::size_t Instance::load() const {
  return Limit->inFlight() + Queue.size() + FifoQueue.size();
}

overload::AdmissionLevel
Instance::responseLevel(const overload::RouteName &Route) const {
  return Levels.responseLevel(Route, Admission.level());
}

} // namespace bench
