#ifndef JACKDAW_OVERLOAD_WORKQUEUE_H
#define JACKDAW_OVERLOAD_WORKQUEUE_H

#include "overload/fairqueue.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace overload {

/// Whether an entry begins something or belongs to a request under way.
enum class WorkKind : std::uint8_t { New, Ongoing };

/// Queue in front of a backend server that serves callers and calls of other
/// backend servers. Calls of requests under way run first, since refusing them
/// wastes the work done so far. But every third slot goes to new requests that
/// wait, or a service further down that is slow would take all slots here and
/// starve requests that don't need it.
class WorkQueue {
public:
  WorkQueue(const base::Clock &Time, QueueSettings Settings)
      : New(Time, Settings), Ongoing(Time, Settings) {}

  /// Like `FairQueue::push`; entries of one kind never push out the other's.
  std::optional<DequeuedEntry> push(QueueEntry Entry, WorkKind Kind);

  /// Takes the next entry to run; never one that has expired.
  std::optional<DequeuedEntry> pop();

  /// Removes a cancelled entry.
  void cancel(const base::RequestId &Id);

  /// Entries that have expired since the last call. Must be called on each
  /// tick.
  std::vector<DequeuedEntry> takeExpired();

  std::size_t size() const { return New.size() + Ongoing.size(); }

private:
  FairQueue New;
  FairQueue Ongoing;
  /// Ongoing entries that ran since the last new one.
  int OngoingInRow = 0;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_WORKQUEUE_H
