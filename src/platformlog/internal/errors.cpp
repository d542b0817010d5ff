#include "platformlog/errors.h"

namespace platformlog {

std::string_view logErrorName(LogErrorKind Kind) {
  switch (Kind) {
  case LogErrorKind::Unavailable:
    return "unavailable";
  case LogErrorKind::AppendOutcomeUnknown:
    return "append outcome unknown";
  case LogErrorKind::MalformedResponse:
    return "malformed response";
  case LogErrorKind::RecordTooLarge:
    return "record too large";
  }
  return "unavailable";
}

} // namespace platformlog
