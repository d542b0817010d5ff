#include "routing/types.h"

namespace routing {

CallResult resultForError(base::ErrorKind Kind, base::Outcome RunOutcome) {
  using base::ErrorKind;
  switch (Kind) {
  case ErrorKind::Overloaded:
    return CallResult::Overloaded;
  case ErrorKind::Draining:
    return CallResult::Draining;
  case ErrorKind::Cancelled:
    return CallResult::Abandoned;
  case ErrorKind::DeadlineExceeded:
    // A call that expired in the queue indicates an overloaded upstream.
    return RunOutcome == base::Outcome::NotRun ? CallResult::Overloaded
                                               : CallResult::Failed;
  case ErrorKind::NoUpstream:
    return CallResult::ConnectionFailed;
  default:
    return CallResult::Failed;
  }
}

} // namespace routing
