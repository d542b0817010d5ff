#ifndef JACKDAW_BENCH_OVERLOAD_NODE_H
#define JACKDAW_BENCH_OVERLOAD_NODE_H

#include "overload/admissioncontroller.h"
#include "overload/concurrencylimit.h"
#include "overload/fairqueue.h"
#include "overload/routelevels.h"
#include "scenario.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bench {

/// A daemon with its backend server, whose cores the active calls share.
class Node {
public:
  Node(const base::Clock &Time, const Variant &Mechanisms);

  /// Queues a call; returns the one that had to leave, perhaps itself.
  std::optional<base::RequestId> push(const overload::QueueEntry &Entry);

  /// The next call to run, if a slot is free. Its time in the queue is in
  /// `Waited`.
  std::optional<overload::DequeuedEntry> next();

  /// Calls that have expired in the queue.
  std::vector<base::RequestId> takeExpired();

  /// Passes a call to the backend server.
  void start(const base::RequestId &Id, double WorkMs);

  /// Runs the backend server for a millisecond; returns the calls whose own
  /// work is done.
  std::vector<base::RequestId> work();

  /// Removes a call that waits in the queue.
  void cancel(const base::RequestId &Id) { Queue.cancel(Id); }

  /// Ends the call and frees its slot.
  void finish(const base::RequestId &Id, overload::CallCompletion End);

  void tick();
  std::size_t load() const;
  overload::AdmissionLevel
  responseLevel(const overload::RouteName &Route) const;

  overload::AdmissionController Admission;
  overload::RouteLevels Levels;

private:
  struct Call {
    base::BootTime Since;
    /// Time without that spent in calls to the next service.
    base::Duration OwnTime;
  };

  struct Working {
    base::RequestId Id;
    double WorkLeftMs;
  };

  const base::Clock &Time;
  const Variant Mechanisms;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  overload::FairQueue Queue;
  std::deque<overload::QueueEntry> PlainQueue;
  std::vector<Working> Active;
  double UnusedMs = 0;
  std::unordered_map<base::RequestId, Call> Calls;
};

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_NODE_H
