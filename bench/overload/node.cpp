#include "node.h"

#include "overload/adaptivelimit.h"
#include "overload/fixedlimit.h"

#include <algorithm>

namespace bench {

namespace {

std::unique_ptr<overload::ConcurrencyLimit> makeLimit(const base::Clock &Time,
                                                      bool Adaptive) {
  if (Adaptive)
    return std::make_unique<overload::AdaptiveLimit>(Time, kSlots);
  return std::make_unique<overload::FixedLimit>(kSlots);
}

} // namespace

Node::Node(const base::Clock &Time, const Variant &Mechanisms)
    : Admission(Time, {}), Levels(Time), Time(Time), Mechanisms(Mechanisms),
      Limit(makeLimit(Time, Mechanisms.Limit)), Queue(Time, {}) {}

std::optional<base::RequestId> Node::push(const overload::QueueEntry &Entry) {
  if (!Mechanisms.Queue) {
    PlainQueue.push_back(Entry);
    return std::nullopt;
  }
  const auto Left = Queue.push(Entry);
  return Left ? std::optional(Left->Entry.Id) : std::nullopt;
}

std::optional<overload::DequeuedEntry> Node::next() {
  if (!Limit->hasFreeSlot())
    return std::nullopt;
  if (Mechanisms.Queue)
    return Queue.pop();
  if (PlainQueue.empty())
    return std::nullopt;
  overload::DequeuedEntry Result{PlainQueue.front()};
  PlainQueue.pop_front();
  return Result;
}

std::vector<base::RequestId> Node::takeExpired() {
  std::vector<base::RequestId> Result;
  for (const overload::DequeuedEntry &Left : Queue.takeExpired())
    Result.push_back(Left.Entry.Id);
  return Result;
}

void Node::start(const base::RequestId &Id, double WorkMs) {
  Admission.recordStart();
  Limit->callStarted();
  Calls.emplace(Id, Call{Time.now(), {}});
  Active.push_back({Id, WorkMs});
}

// Time that a call no longer needs within the step goes to the others in the
// next one; otherwise the step length would cost capacity.
std::vector<base::RequestId> Node::work() {
  const double Speed =
      std::min(1.0, (kCores + UnusedMs) / double(Active.size()));
  UnusedMs = 0;
  std::vector<base::RequestId> Done;
  std::erase_if(Active, [&](Working &Each) {
    Each.WorkLeftMs -= Speed;
    if (Each.WorkLeftMs > 0)
      return false;
    UnusedMs -= Each.WorkLeftMs;
    Done.push_back(Each.Id);
    return true;
  });
  for (const base::RequestId &Id : Done)
    Calls.at(Id).OwnTime = Time.now() - Calls.at(Id).Since;
  return Done;
}

void Node::finish(const base::RequestId &Id, overload::CallCompletion End) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Limit->callCompleted(End, Found->second.OwnTime);
  Calls.erase(Found);
  std::erase_if(Active, [&](const Working &Each) { return Each.Id == Id; });
}

void Node::tick() {
  Limit->tick();
  Admission.tick(Queue.oldestWaits());
}

std::size_t Node::load() const {
  return Limit->inFlight() + Queue.size() + PlainQueue.size();
}

overload::AdmissionLevel
Node::responseLevel(const overload::RouteName &Route) const {
  return Levels.responseLevel(Route, Admission.level());
}

} // namespace bench
