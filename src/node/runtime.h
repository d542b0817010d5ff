#ifndef JACKDAW_NODE_RUNTIME_H
#define JACKDAW_NODE_RUNTIME_H

#include "base/clock.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include "base/types.h"

#include <string>

namespace node {

/// Number of events kept in the timeline of a daemon.
inline constexpr std::size_t kTimelineCapacity = 4096;

/// Clock, identity, metrics and timeline that all services of a daemon share.
class Runtime {
public:
  Runtime(const base::Clock &Clock, base::ProcessId Self,
          base::DataCentreId DataCentre, base::RegionId Region)
      : Clock(Clock), Self(std::move(Self)), DataCentre(std::move(DataCentre)),
        Region(std::move(Region)),
        Events(Clock, this->Self.Instance, kTimelineCapacity) {}

  /// Records an event in the timeline and writes it to the process log.
  void recordEvent(const std::string &Kind, const std::string &Detail);

  const base::Clock &Clock;
  const base::ProcessId Self;
  const base::DataCentreId DataCentre;
  const base::RegionId Region;
  base::MetricsRegistry Metrics;
  base::Timeline Events;
};

} // namespace node

#endif // JACKDAW_NODE_RUNTIME_H
