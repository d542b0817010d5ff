#ifndef JACKDAW_BASE_ERRORS_H
#define JACKDAW_BASE_ERRORS_H

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace base {

/// Every way in which a request can fail. The list is closed: an answer to a
/// caller or peer carries one of these and nothing else.
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
  AnswerNotHeld,
  HandleUnknown,
  OutcomeUnknown,
  Cancelled,
  Internal,
};

/// What an answer claims about the execution of the request.
enum class Outcome : std::uint8_t {
  /// The request and everything below it did not run.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The request ran; the answer is the backend server's.
  Ran,
};

/// How an error kind is answered.
struct ErrorAnswer {
  ErrorKind Kind;
  /// Value of the `Jackdaw-Error` header.
  std::string_view Name;
  /// HTTP status.
  std::uint16_t Status;
  Outcome DefaultOutcome;
  /// Whether the same request may succeed if the caller repeats it later.
  bool RepeatMayHelp;
  /// Text for the caller; it names no internals.
  std::string_view Text;
};

/// The row for `Kind`.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// The kind whose header value is `Name`.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

/// Value of the `Jackdaw-Outcome` header.
std::string_view outcomeName(Outcome Value);

/// A failure inside the process. `Detail` is for logs, not for callers.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

template <typename T> using Result = boost::leaf::result<T>;

/// Makes a failed result that carries an `Error`.
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Detail) {
  return boost::leaf::new_error(Error{Kind, std::move(Detail)});
}

} // namespace base

#endif // JACKDAW_BASE_ERRORS_H
