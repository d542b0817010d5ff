#ifndef JACKDAW_PLATFORMLOG_ERRORS_H
#define JACKDAW_PLATFORMLOG_ERRORS_H

#include "base/errors.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace platformlog {

/// Kind of failure of a call to the platform log.
enum class LogErrorKind : std::uint8_t {
  /// The call had no effect.
  Unavailable,
  /// The record may or may not have been appended.
  AppendOutcomeUnknown,
  /// The response to a read was not valid.
  MalformedResponse,
  /// The record has not been appended and never can be.
  RecordTooLarge,
};

/// A failed call to the platform log. All failed results of this module carry
/// it.
struct LogError {
  LogErrorKind Kind = LogErrorKind::Unavailable;
  /// Description for logs and operators.
  std::string Detail;
};

/// Name of an error kind for messages: `unavailable`, `append outcome unknown`,
/// `malformed response` or `record too large`.
std::string_view logErrorName(LogErrorKind Kind);

/// Makes a failed result that carries a `LogError`.
inline boost::leaf::error_id fail(LogErrorKind Kind, std::string Detail) {
  return boost::leaf::new_error(LogError{Kind, std::move(Detail)});
}

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_ERRORS_H
