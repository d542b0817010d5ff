#ifndef JACKDAW_OVERLOAD_CONCURRENCYLIMIT_H
#define JACKDAW_OVERLOAD_CONCURRENCYLIMIT_H

#include "base/clock.h"

#include <cstdint>

namespace overload {

/// How a call to the backend server completed, as seen by the daemon.
enum class CompletionStatus : std::uint8_t {
  /// The backend server responded; application errors count as responses.
  Responded,
  /// The backend server refused the call for lack of capacity, did not accept
  /// the connection, or exceeded the deadline.
  Failed,
  /// The call was cancelled, which says nothing about the backend server.
  Cancelled,
};

/// Limit on the number of calls in flight to one backend server.
class ConcurrencyLimit {
public:
  virtual ~ConcurrencyLimit() = default;

  /// Number of calls that may be in flight now, at least 1.
  virtual std::uint32_t limit() const = 0;

  std::uint32_t inFlight() const { return InFlight; }
  bool hasFreeSlot() const { return InFlight < limit(); }

  /// Must be called when a call is passed to the backend server.
  void callStarted();

  /// Must be called once for each started call. `Latency` is the time since
  /// the call was passed to the backend server, less the time during which the
  /// backend server waited for its own downstream calls made for this call;
  /// otherwise a slow downstream service would look like lack of capacity.
  void callCompleted(CompletionStatus Completion, base::Duration Latency);

  /// Must be called about every 10 ms.
  virtual void tick() {}

protected:
  /// Called before the number of calls in flight changes.
  virtual void beforeInFlightChange() {}
  /// Called after the slot of a completed call has been released.
  virtual void onCallCompleted(CompletionStatus, base::Duration) {}

private:
  std::uint32_t InFlight = 0;
};

} // namespace overload

#endif // JACKDAW_OVERLOAD_CONCURRENCYLIMIT_H
