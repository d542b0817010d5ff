#ifndef JACKDAW_OVERLOAD_FAIRQUEUE_H
#define JACKDAW_OVERLOAD_FAIRQUEUE_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/types.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace overload {

struct QueueSettings {
  std::size_t MaxLength = 128;
  /// Longest wait in this queue.
  base::Duration MaxWait = std::chrono::milliseconds(100);
};

/// A request that waits for a slot of the backend server.
struct QueueEntry {
  base::CallId Id;
  base::WorkspaceName Workspace;
  base::PriorityClass Class = base::PriorityClass::Normal;
  base::BootTime Deadline;
  /// Time spent in queues at earlier hops. Within a workspace the entry with
  /// the longest total wait runs first, so that admitted requests take
  /// precedence over new ones.
  base::Duration PriorWait{};
  /// Backend server time that it uses, in units of one ordinary request.
  std::uint32_t Cost = 1;
};

/// Why an entry left the queue.
enum class DequeueReason : std::uint8_t {
  /// It was taken to run.
  Started,
  /// It was evicted because the queue was full.
  QueueFull,
  /// It waited for `QueueSettings::MaxWait`.
  MaxWaitExceeded,
  DeadlineExpired,
};

/// An entry that has left the queue.
struct DequeuedEntry {
  QueueEntry Entry;
  DequeueReason Reason = DequeueReason::Started;
  /// Time spent in this queue.
  base::Duration WaitTime{};
};

/// Queue in front of a backend server, bounded in length and waiting time, with
/// strict priority among classes and deficit round robin among the workspaces
/// of a class.
class FairQueue {
public:
  FairQueue(const base::Clock &Clock, QueueSettings Settings);

  /// Sets the quantum of the workspace: units of cost per round; 1 if not set.
  void setWeight(const base::WorkspaceName &Workspace, std::uint32_t Weight);

  /// Queues the entry. Returns the entry that was evicted because the queue was
  /// full, which is `Entry` itself if nothing less important is queued, or
  /// `Entry` if its deadline has expired. The id must not be queued already.
  std::optional<DequeuedEntry> push(QueueEntry Entry);

  /// Removes and returns the next entry to run, never one that has expired.
  /// Returns no value if the queue is empty.
  std::optional<DequeuedEntry> pop();

  /// Removes a cancelled entry; false if the id is not queued.
  bool cancel(const base::CallId &Id);

  /// Entries that have expired since the last call; their callers must get a
  /// response that they were not run. Must be called on each tick.
  std::vector<DequeuedEntry> takeExpired();

  std::size_t size() const { return Locations.size(); }
  std::size_t size(base::PriorityClass Class) const;

  /// Estimates how many queued entries would run before a new entry of this
  /// class and workspace: those of more urgent classes, and from each workspace
  /// of the class as many as of the entry's own, which runs last among them.
  std::size_t sizeAhead(base::PriorityClass Class,
                        const base::WorkspaceName &Workspace) const;

  /// Longest wait in this queue among the entries of each class; zero for an
  /// empty class.
  std::array<base::Duration, base::kPriorityClassCount> oldestWaits() const;

private:
  /// Order within a workspace: start of the total wait, then order of arrival.
  using EntryOrder = std::pair<base::BootTime, std::uint64_t>;

  struct WaitingEntry {
    QueueEntry Entry;
    base::BootTime EnqueuedAt;
    base::BootTime ExpiresAt;
  };

  /// The entries of one workspace in one class.
  struct Flow {
    std::map<EntryOrder, WaitingEntry> Entries;
    /// Units of cost that the flow may still use in this round.
    std::uint32_t Deficit = 0;
    /// Whether the flow has received its quantum in the current round.
    bool QuantumGranted = false;
  };

  struct ClassQueue {
    std::map<base::WorkspaceName, Flow> Flows;
    /// Workspaces with entries, in round-robin order.
    std::deque<base::WorkspaceName> RoundRobin;
    /// Time and sequence number of each arrival, oldest first.
    std::set<std::pair<base::BootTime, std::uint64_t>> Arrivals;
  };

  struct Location {
    base::PriorityClass Class;
    base::WorkspaceName Workspace;
    EntryOrder Order;
  };

  ClassQueue &queueOf(base::PriorityClass Class);
  std::uint32_t weightOf(const base::WorkspaceName &Workspace) const;
  void insert(QueueEntry Entry);
  WaitingEntry remove(const base::CallId &Id);
  base::CallId nextRoundRobin(ClassQueue &Queue);
  /// The entry to evict when the queue exceeds its length: the last one of the
  /// workspace with the most entries in the lowest class.
  base::CallId entryToEvict() const;
  void expire();
  DequeuedEntry makeDequeued(WaitingEntry Removed, DequeueReason Reason) const;

  const base::Clock &Clock;
  const QueueSettings Settings;
  std::uint64_t LastSequence = 0;
  std::array<ClassQueue, base::kPriorityClassCount> Classes;
  std::unordered_map<base::CallId, Location> Locations;
  std::set<std::pair<base::BootTime, base::CallId>> Expiries;
  std::unordered_map<base::WorkspaceName, std::uint32_t> Weights;
  std::vector<DequeuedEntry> Expired;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_FAIRQUEUE_H
