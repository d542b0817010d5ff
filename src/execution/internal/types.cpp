#include "execution/types.h"

namespace execution {

std::size_t Response::size() const {
  std::size_t Bytes = sizeof(Response) + Body.size();
  for (const Header &Each : Headers)
    Bytes += sizeof(Header) + Each.Name.size() + Each.Value.size();
  return Bytes;
}

Response errorResponse(base::ErrorKind Kind, base::Outcome What) {
  Response Answer;
  Answer.Outcome = What;
  Answer.Error = Kind;
  Answer.Status = base::answerFor(Kind).Status;
  return Answer;
}

base::Outcome combineOutcomes(base::Outcome Earlier, base::Outcome Latest) {
  return Latest == base::Outcome::NotRun ? Earlier : Latest;
}

} // namespace execution
