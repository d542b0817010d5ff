#ifndef JACKDAW_RELAY_REFUSALREASON_H
#define JACKDAW_RELAY_REFUSALREASON_H

#include "base/errors.h"

#include <cstdint>
#include <string_view>

namespace relay {

/// Why a serving daemon refuses a call that has not reached its backend server.
/// The list is complete; each refusal has exactly one reason, in the log and in
/// `calls_refused_total`.
enum class RefusalReason : std::uint8_t {
  /// The backend server has not reported, or it is shutting down.
  ServerUnavailable,
  /// The backend server began to shut down while the call was queued.
  ServerLeft,
  /// This daemon is shutting down.
  DaemonStopping,
  /// The daemon has as many open calls as it may have.
  TooManyOpenCalls,
  /// The queue is full, and nothing less important is in it.
  QueueFull,
  /// No slot came free within the queue time of the call.
  NoSlotInTime,
  /// The rate limit that the backend server states allows no further call
  /// within the queue time of the call.
  StatedLimit,
  /// The deadline of the call has expired.
  DeadlineExpired,
  /// The daemon had no memory for the body of the request.
  NoMemory,
};

struct RefusalDescription {
  /// Value of `reason` in logs and metrics.
  std::string_view Name;
  /// Error that the calling daemon gets.
  base::ErrorKind Kind;
  /// Whether the refusal shows that the service is congested.
  bool Congestion = false;
};

const RefusalDescription &describe(RefusalReason Reason);

} // namespace relay

#endif // JACKDAW_RELAY_REFUSALREASON_H
