#include "execution/types.h"

namespace execution {

std::size_t Response::size() const {
  std::size_t Bytes = sizeof(Response) + Body.size();
  for (const Header &Entry : Headers)
    Bytes += sizeof(Header) + Entry.Name.size() + Entry.Value.size();
  return Bytes;
}

Response errorResponse(base::ErrorKind Kind, base::Outcome Outcome) {
  Response Result;
  Result.Outcome = Outcome;
  Result.Error = Kind;
  Result.Status = base::errorResponseFor(Kind).Status;
  return Result;
}

base::Outcome combineOutcomes(base::Outcome Earlier, base::Outcome Latest) {
  return Latest == base::Outcome::NotRun ? Earlier : Latest;
}

} // namespace execution
