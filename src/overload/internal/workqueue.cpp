#include "overload/workqueue.h"

#include <iterator>
#include <utility>

namespace overload {

namespace {

/// Ongoing entries that run before a waiting new entry.
constexpr int kOngoingPerNew = 2;

} // namespace

std::optional<DequeuedEntry> WorkQueue::push(QueueEntry Entry, WorkKind Kind) {
  if (Kind == WorkKind::New)
    return New.push(std::move(Entry));
  // A request in progress was already admitted by its class at the entry, so
  // the class no longer matters.
  Entry.Class = base::PriorityClass::Normal;
  return Ongoing.push(std::move(Entry));
}

std::optional<DequeuedEntry> WorkQueue::pop() {
  if (ConsecutiveOngoing >= kOngoingPerNew) {
    ConsecutiveOngoing = 0;
    if (auto Next = New.pop())
      return Next;
  }
  if (auto Next = Ongoing.pop()) {
    ++ConsecutiveOngoing;
    return Next;
  }
  ConsecutiveOngoing = 0;
  return New.pop();
}

void WorkQueue::cancel(const base::CallId &Id) {
  if (!New.cancel(Id))
    Ongoing.cancel(Id);
}

std::vector<DequeuedEntry> WorkQueue::takeExpired() {
  std::vector<DequeuedEntry> Result = New.takeExpired();
  std::vector<DequeuedEntry> More = Ongoing.takeExpired();
  std::move(More.begin(), More.end(), std::back_inserter(Result));
  return Result;
}

} // namespace overload
