#ifndef JACKDAW_RELAY_CALLCORRELATOR_H
#define JACKDAW_RELAY_CALLCORRELATOR_H

#include "base/clock.h"
#include "execution/messages.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace relay {

/// Connects the calls that a backend server makes with the requests that it
/// works on. Backend servers pass no mark from one to the other, but a call
/// expires when the request does, so the deadline identifies the request.
class CallCorrelator {
public:
  /// A request that the backend server works on.
  struct Work {
    base::RequestId Call;
    execution::RequestScope Scope;
    /// A call that was made for it waited for a slot.
    bool Congested = false;
  };

  /// The backend server works on `Call` until `Deadline`.
  void started(const base::RequestId &Call, base::BootTime Deadline,
               const execution::RequestScope &Scope);

  /// Returns whether a call that was made for it waited for a slot.
  bool ended(const base::RequestId &Call);

  /// The work for which a call with this deadline was made, if there is any.
  /// If two have nearly the same deadline, the wrong one may be found, so only
  /// its urgency should be relied on.
  std::optional<Work> workFor(base::BootTime Deadline) const;

  /// A call that was made for `Call` waited for a slot.
  void noteCongestion(const base::RequestId &Call);

private:
  using ByDeadline = std::multimap<base::BootTime, Work>;

  ByDeadline Underway;
  std::unordered_map<base::RequestId, ByDeadline::iterator> Places;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLCORRELATOR_H
