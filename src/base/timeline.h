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

/// A state change, as recorded in the timeline of a process.
struct Event {
  WallTime At;
  /// Number of the event within its process, from 1; orders events with the
  /// same wall-clock time.
  std::uint64_t Sequence = 0;
  InstanceId Instance;
  /// Kind of event, such as `config_adopted`.
  std::string Kind;
  std::string Detail;
};

/// The most recent events of one process, kept in memory because instances have
/// no disks, and therefore limited in number. Safe to use from any thread.
class Timeline {
public:
  Timeline(const base::Clock &Clock, InstanceId Instance, std::size_t Capacity);

  /// Appends an event with the current time; drops the oldest one above the
  /// capacity.
  void record(std::string Kind, std::string Detail);

  /// Returns the events with a sequence above `After`, oldest first.
  std::vector<Event> eventsAfter(std::uint64_t After) const;

private:
  const base::Clock &Clock;
  const InstanceId Instance;
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::uint64_t LastSequence = 0;
  std::deque<Event> Events;
};

/// Merges the timelines of several processes, ordered by wall-clock time, then
/// by instance and sequence.
std::vector<Event> mergeTimelines(std::vector<std::vector<Event>> Parts);

} // namespace base

#endif // JACKDAW_BASE_TIMELINE_H
