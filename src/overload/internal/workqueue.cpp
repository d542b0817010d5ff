#include "overload/workqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace overload {

namespace {

/// Ongoing entries that run before a waiting new entry.
constexpr std::size_t kOngoingPerNew = 2;

} // namespace

std::optional<DequeuedEntry> WorkQueue::push(QueueEntry Entry, WorkKind Kind) {
  return (Kind == WorkKind::New ? New : Ongoing).push(std::move(Entry));
}

std::size_t WorkQueue::sizeAhead(WorkKind Kind, base::PriorityClass Class,
                                 const base::WorkspaceName &Workspace) const {
  if (Kind == WorkKind::New) {
    const std::size_t Same = New.sizeAhead(Class, Workspace);
    return Same + std::min(Ongoing.size(), kOngoingPerNew * (Same + 1));
  }
  const std::size_t Same = Ongoing.sizeAhead(Class, Workspace);
  return Same + std::min(New.size(), (Same + 1) / kOngoingPerNew);
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
