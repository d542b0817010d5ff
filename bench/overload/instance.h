#ifndef JACKDAW_BENCH_OVERLOAD_INSTANCE_H
#define JACKDAW_BENCH_OVERLOAD_INSTANCE_H

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

/// A simulated instance: a daemon and its backend server. The active calls
/// share the cores of the backend server.
class Instance {
public:
  Instance(const base::Clock &Clock, const Variant &Mechanisms);

  /// Queues a call. Returns the call that the queue dropped, which may be
  /// the new one, or no value if it dropped none.
  std::optional<base::CallId> push(const overload::QueueEntry &Entry);

  /// Removes the next call to run from the queue, with its time in the queue.
  /// Returns no value if the concurrency limit leaves no slot free or no call
  /// is queued.
  std::optional<overload::DequeuedEntry> next();

  /// Removes and returns the calls whose deadline or maximum waiting time in
  /// the queue has passed.
  std::vector<base::CallId> takeExpired();

  /// Starts a call at the backend server.
  void start(const base::CallId &Id, double WorkMs);

  /// Runs the backend server for one millisecond; returns the calls that have
  /// completed their own work.
  std::vector<base::CallId> work();

  /// Removes a queued call.
  void cancel(const base::CallId &Id) { Queue.cancel(Id); }

  /// Completes the call and frees its slot.
  void finish(const base::CallId &Id, overload::CompletionStatus Completion);

  /// Updates the concurrency limit and the admission level; must be called
  /// about every 10 ms.
  void tick();
  /// Number of calls that are queued or running.
  std::size_t load() const;
  overload::AdmissionLevel
  responseLevel(const overload::RouteName &Route) const;

  overload::AdmissionController Admission;
  overload::RouteLevels Levels;

private:
  struct Call {
    base::BootTime StartTime;
    /// Time at this service, without its calls to the next one.
    base::Duration OwnTime;
  };

  struct ActiveCall {
    base::CallId Id;
    double RemainingWorkMs;
  };

  const base::Clock &Clock;
  const Variant Mechanisms;
  std::unique_ptr<overload::ConcurrencyLimit> Limit;
  overload::FairQueue Queue;
  /// Used instead of `Queue` if the variant has no fair queue.
  std::deque<overload::QueueEntry> FifoQueue;
  std::vector<ActiveCall> Active;
  /// Core time that completed calls left unused in the previous step of `work`.
  double UnusedCoreMs = 0;
  std::unordered_map<base::CallId, Call> Calls;
};

} // namespace bench

#endif // JACKDAW_BENCH_OVERLOAD_INSTANCE_H
