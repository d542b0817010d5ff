#include "base/timeline.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace base {

Timeline::Timeline(const base::Clock &Clock, InstanceId Instance,
                   std::size_t Capacity)
    : Clock(Clock), Instance(std::move(Instance)), Capacity(Capacity) {}

void Timeline::record(std::string Kind, std::string Detail) {
  std::lock_guard Lock(Mutex);
  Events.push_back({Clock.wallNow(), ++LastSequence, Instance, std::move(Kind),
                    std::move(Detail)});
  if (Events.size() > Capacity)
    Events.pop_front();
}

std::vector<Event> Timeline::eventsAfter(std::uint64_t After) const {
  std::lock_guard Lock(Mutex);
  std::vector<Event> Result;
  std::copy_if(Events.begin(), Events.end(), std::back_inserter(Result),
               [After](const Event &E) { return E.Sequence > After; });
  return Result;
}

std::vector<Event> mergeTimelines(std::vector<std::vector<Event>> Parts) {
  std::vector<Event> Merged;
  for (std::vector<Event> &Part : Parts)
    std::move(Part.begin(), Part.end(), std::back_inserter(Merged));
  std::sort(Merged.begin(), Merged.end(), [](const Event &A, const Event &B) {
    return std::tie(A.At, A.Instance, A.Sequence) <
           std::tie(B.At, B.Instance, B.Sequence);
  });
  return Merged;
}

} // namespace base
