#ifndef JACKDAW_RELAY_CALLCORRELATOR_H
#define JACKDAW_RELAY_CALLCORRELATOR_H

#include "base/clock.h"
#include "execution/messages.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace relay {

/// Matches the calls that a backend server makes with the requests that it is
/// running. Backend servers don't pass an identifier of the request on to its
/// calls, but a call expires when its request does, so the deadline identifies
/// the request.
class CallCorrelator {
public:
  /// A request that the backend server is running.
  struct ActiveRequest {
    /// The call between daemons by which the request arrived.
    base::CallId CallId;
    execution::RequestScope Scope;
    /// A call that it made was congested; see `CallResponseFrame::Congested`.
    bool Congested = false;
  };

  /// Records that the backend server has started to run `CallId`, which expires
  /// at `Deadline`.
  void add(const base::CallId &CallId, base::BootTime Deadline,
           const execution::RequestScope &Scope);

  /// Removes a request that has completed. Returns whether a call that it made
  /// was congested; false for an unknown request.
  bool remove(const base::CallId &CallId);

  /// The request that made a call with this deadline; an empty optional if
  /// there is none. Of two requests with nearly the same deadline the wrong one
  /// may be found, so only its priority should be relied on.
  std::optional<ActiveRequest> findParent(base::BootTime Deadline) const;

  /// Records that a call made by request `CallId` was congested.
  void markCongested(const base::CallId &CallId);

  /// Records that the backend server has made a call.
  void onCallMade(base::BootTime Now) { LastCallAt = Now; }

  /// When the backend server last made a call; empty if it never did.
  std::optional<base::BootTime> lastCallAt() const { return LastCallAt; }

private:
  using DeadlineMap = std::multimap<base::BootTime, ActiveRequest>;

  DeadlineMap Requests;
  std::unordered_map<base::CallId, DeadlineMap::iterator> ById;
  std::optional<base::BootTime> LastCallAt;
};

} // namespace relay

#endif // JACKDAW_RELAY_CALLCORRELATOR_H
