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
  base::RequestId Id;
  base::WorkspaceName Workspace;
  base::PriorityClass Class = base::PriorityClass::Normal;
  base::BootTime Deadline;
  /// Time spent in queues at earlier hops. Within a workspace, the entry with
  /// the longest total wait runs first, so that admitted work takes precedence
  /// over new work.
  base::Duration PriorWait{};
  /// Share of the backend server's time, in units of one ordinary request.
  std::uint32_t Cost = 1;
};

/// Why an entry left the queue.
enum class DequeueReason : std::uint8_t {
  /// It runs now.
  Started,
  /// The queue was full.
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

/// Queue in front of a backend server, bounded in length and time: strict
/// priority among classes, deficit round robin among the workspaces of a
/// class.
class FairQueue {
public:
  FairQueue(const base::Clock &Time, QueueSettings Settings);

  /// Sets how many units of cost the workspace may use per round; 1 if not
  /// set.
  void setWeight(const base::WorkspaceName &Workspace, std::uint32_t Weight);

  /// Queues the entry. Returns the entry that had to leave for lack of room,
  /// or `Entry` itself if its deadline has passed or if nothing of less
  /// importance is queued. The id must not be queued already.
  std::optional<DequeuedEntry> push(QueueEntry Entry);

  /// Takes the next entry to run; never one that has expired.
  std::optional<DequeuedEntry> pop();

  /// Removes a cancelled entry; false if the id is not queued.
  bool cancel(const base::RequestId &Id);

  /// Entries that have expired since the last call, to be answered as not run.
  /// Must be called on each tick.
  std::vector<DequeuedEntry> takeExpired();

  std::size_t size() const { return Places.size(); }
  std::size_t size(base::PriorityClass Class) const;

  /// Longest wait in this queue among the entries of each class; zero for an
  /// empty class.
  std::array<base::Duration, base::kPriorityClassCount> oldestWaits() const;

private:
  /// Order within a workspace: start of the total wait, then arrival.
  using EntryOrder = std::pair<base::BootTime, std::uint64_t>;

  struct Queued {
    QueueEntry Entry;
    base::BootTime Since;
    base::BootTime ExpiresAt;
  };

  /// The entries of one workspace in one class.
  struct Flow {
    std::map<EntryOrder, Queued> Entries;
    std::uint32_t Deficit = 0;
    /// Whether this flow has had its quantum in the current visit.
    bool Visited = false;
  };

  struct ClassQueue {
    std::map<base::WorkspaceName, Flow> Flows;
    /// Workspaces with entries, in the order of the rounds.
    std::deque<base::WorkspaceName> Rounds;
    /// Arrival times in this queue, oldest first.
    std::set<std::pair<base::BootTime, std::uint64_t>> Arrivals;
  };

  struct Place {
    base::PriorityClass Class;
    base::WorkspaceName Workspace;
    EntryOrder Order;
  };

  ClassQueue &queueOf(base::PriorityClass Class);
  std::uint32_t weightOf(const base::WorkspaceName &Workspace) const;
  void insert(QueueEntry Entry);
  Queued remove(const base::RequestId &Id);
  base::RequestId nextInRounds(ClassQueue &Queue);
  /// The entry to shed when the queue is over its length.
  base::RequestId victim() const;
  void expire();
  DequeuedEntry departed(Queued Left, DequeueReason Reason) const;

  const base::Clock &Time;
  const QueueSettings Settings;
  std::uint64_t LastSequence = 0;
  std::array<ClassQueue, base::kPriorityClassCount> Classes;
  std::unordered_map<base::RequestId, Place> Places;
  std::set<std::pair<base::BootTime, base::RequestId>> Expiries;
  std::unordered_map<base::WorkspaceName, std::uint32_t> Weights;
  std::vector<DequeuedEntry> Expired;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_FAIRQUEUE_H
