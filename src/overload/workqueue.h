#ifndef JACKDAW_OVERLOAD_WORKQUEUE_H
#define JACKDAW_OVERLOAD_WORKQUEUE_H

#include "overload/fairqueue.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace overload {

/// Whether an entry is a new request or a call of a request in progress.
enum class WorkKind : std::uint8_t { New, Ongoing };

/// Queue in front of a backend server that serves both external callers and
/// calls of other backend servers. Calls of requests in progress run first,
/// because refusing them wastes the work done so far, and among them those of
/// the most urgent requests: a request needs all of its calls, so one class
/// that gets all of them completes more than several that share. Every third
/// slot goes to waiting new requests; otherwise requests that wait for a slow
/// downstream service could occupy all slots and starve requests that don't
/// need it.
class WorkQueue {
public:
  WorkQueue(const base::Clock &Clock, QueueSettings Settings)
      : New(Clock, Settings), Ongoing(Clock, Settings) {}

  /// Like `FairQueue::push`; an entry never evicts one of the other kind.
  std::optional<DequeuedEntry> push(QueueEntry Entry, WorkKind Kind);

  /// Removes and returns the next entry to run, never one that has expired.
  /// Returns no value if the queue is empty.
  std::optional<DequeuedEntry> pop();

  /// Estimates how many queued entries would run before a new one.
  std::size_t sizeAhead(WorkKind Kind, base::PriorityClass Class,
                        const base::WorkspaceName &Workspace) const;

  /// Removes a cancelled entry.
  void cancel(const base::CallId &Id);

  /// Entries that have expired since the last call. Must be called on each
  /// tick.
  std::vector<DequeuedEntry> takeExpired();

  std::size_t size() const { return New.size() + Ongoing.size(); }

private:
  FairQueue New;
  FairQueue Ongoing;
  /// Number of ongoing entries that ran since the last new one.
  std::size_t ConsecutiveOngoing = 0;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_WORKQUEUE_H
