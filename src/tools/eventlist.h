#ifndef JACKDAW_TOOLS_EVENTLIST_H
#define JACKDAW_TOOLS_EVENTLIST_H

#include "base/timeline.h"
#include "base/types.h"

#include <optional>
#include <string>
#include <vector>

namespace tools {

/// Parses the body of a response to `/events`. Returns no value if the text is
/// not a JSON array of complete events.
std::optional<std::vector<base::Event>> parseEvents(const std::string &Json);

/// Formats an event as one line without a line end: UTC time with microseconds,
/// instance, kind and detail. Control characters are replaced by spaces, so
/// that an event can't forge another line.
std::string formatEvent(const base::Event &Event);

/// The merged timeline of several daemons.
struct CollectedTimeline {
  std::vector<base::Event> Events;
  /// One message for each daemon whose events could not be read.
  std::vector<std::string> Errors;
};

/// Reads the events of all daemons concurrently and merges them.
CollectedTimeline collectTimeline(const std::vector<base::Endpoint> &Daemons);

} // namespace tools

#endif // JACKDAW_TOOLS_EVENTLIST_H
