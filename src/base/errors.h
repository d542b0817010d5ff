#ifndef JACKDAW_BASE_ERRORS_H
#define JACKDAW_BASE_ERRORS_H

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace base {

/// The reasons for which a request can fail. The list is complete: every error
/// response to a caller or peer carries exactly one of these. New ones are
/// added at the end, since daemons of different versions exchange the values.
enum class ErrorKind : std::uint8_t {
  KeyMissing,
  KeyUnknown,
  KeyUnverified,
  RouteUnknown,
  RequestMalformed,
  BodyTooLarge,
  RateExceeded,
  LimitUnavailable,
  Overloaded,
  DeadlineExceeded,
  NoUpstream,
  Draining,
  IdempotencyKeyInvalid,
  IdempotencyInProgress,
  ResponseNotStored,
  HandleUnknown,
  OutcomeUnknown,
  Cancelled,
  Internal,
  PolicyOutdated,
};

/// What a response states about the execution of the request.
enum class Outcome : std::uint8_t {
  /// Neither the request nor any downstream call ran.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The request ran; the response is the backend server's.
  Ran,
};

/// The HTTP response for an error kind.
struct ErrorResponse {
  ErrorKind Kind;
  /// Value of the `Jackdaw-Error` header.
  std::string_view Name;
  /// HTTP status.
  std::uint16_t Status;
  Outcome DefaultOutcome;
  /// Whether the same request may succeed on a later retry.
  bool Retryable;
  /// Response body; reveals no internals to the caller.
  std::string_view Text;
};

/// Looks up the response for `Kind`.
const ErrorResponse &errorResponseFor(ErrorKind Kind);

/// Looks up the kind by its `Jackdaw-Error` value. Returns no value if there is
/// none.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

/// Value of the `Jackdaw-Outcome` header.
std::string_view outcomeName(Outcome Value);

/// An error inside the process. `Detail` is for logs and not sent to callers.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

template <typename T> using Result = boost::leaf::result<T>;

/// Returns a failed `Result` with an `Error`.
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Detail) {
  return boost::leaf::new_error(Error{Kind, std::move(Detail)});
}

} // namespace base

#endif // JACKDAW_BASE_ERRORS_H
