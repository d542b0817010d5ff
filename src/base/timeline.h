#ifndef JACKDAW_BASE_TIMELINE_H
#define JACKDAW_BASE_TIMELINE_H

#include "base/clock.h"
#include "base/types.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace base {

/// One change of state, as it appears on the merged time line of all
/// processes.
struct Event {
  WallTime At;
  /// Position in the process's own order; breaks ties of the wall clock.
  std::uint64_t Sequence = 0;
  InstanceId Instance;
  /// Kind of event, such as `config_adopted`.
  std::string Kind;
  std::string Detail;
};

/// The most recent events of one process, bounded in number because instances
/// have no disks. Safe to use from any thread.
class Timeline {
public:
  Timeline(const Clock &Time, InstanceId Instance, std::size_t Capacity);

  void record(std::string Kind, std::string Detail);

  /// Events with a sequence above `After`, oldest first.
  std::vector<Event> eventsAfter(std::uint64_t After) const;

private:
  const Clock &Time;
  const InstanceId Instance;
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::uint64_t LastSequence = 0;
  std::deque<Event> Events;
};

/// Merges the time lines of several processes into one, ordered by wall clock,
/// then by instance and sequence.
std::vector<Event> mergeTimelines(std::vector<std::vector<Event>> Parts);

} // namespace base

#endif // JACKDAW_BASE_TIMELINE_H
