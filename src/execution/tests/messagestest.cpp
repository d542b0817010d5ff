#include "execution/handletable.h"
#include "execution/idempotencymessages.h"

#include <cereal/archives/binary.hpp>
#include <doctest/doctest.h>

#include <sstream>

using namespace execution;
using namespace std::chrono_literals;

namespace {

template <typename Message> std::string encoded(Message Value) {
  std::ostringstream Out;
  cereal::BinaryOutputArchive Archive(Out);
  Archive(Value);
  return Out.str();
}

/// Whether the message still has the same bytes after a round trip.
template <typename Message> bool survives(const Message &Value) {
  std::istringstream In(encoded(Value));
  Message Copy;
  cereal::BinaryInputArchive Archive(In);
  Archive(Copy);
  return encoded(Copy) == encoded(Value) && encoded(Message{}) != encoded(Copy);
}

} // namespace

TEST_CASE("no field of a message is lost between two daemons") {
  const auto Id = base::makeRandomId<base::RequestId>();
  const auto Attempt = base::makeRandomId<AttemptId>();
  const CallIdentity Identity{
      Id, {base::InstanceId("e"), base::Incarnation(2)}, CallSequence(3), {}};
  Response Answer =
      errorResponse(base::ErrorKind::Draining, base::Outcome::NotRun);
  Answer.Headers = {{"name", "value"}};
  const RequestKey Key{base::ServiceName("pay"), base::WorkspaceName("a"), {}};
  CHECK(survives(Fence{Identity, true}));
  CHECK(survives(FenceReply{Id, FenceState::Finished, Answer}));
  CHECK(survives(IdempotencyBegin{Key, digestRequest("", "", ""), Attempt}));
  CHECK(survives(
      IdempotencyReply{Attempt, IdempotencyDecision::Finished, Answer}));
  CHECK(survives(IdempotencyFinish{Key, Attempt, base::Outcome::Ran, Answer}));
  CHECK(survives(IdempotencyAck{Attempt}));
  RequestContext Parent;
  Parent.Scope.Workspace = base::WorkspaceName("a");
  Parent.Scope.AdmissionValue = 9;
  Parent.Depth = 4;
  Parent.Deadline += 7ms;
  const ChildSpec Spec{base::ServiceName("pay"), true, 2};
  const CallContext Call = childCall(Parent, Spec, Identity, {});
  CHECK(survives(Call));
  CHECK(Call.TimeLeftMicros == 7000);
  CHECK(Call.Depth == 5);
  CHECK(Call.Scope.AdmissionValue == 9);
  // A deadline that has passed must not turn into a very late one.
  const base::BootTime Late = Parent.Deadline + 1s;
  CHECK(childCall(Parent, Spec, Identity, Late).TimeLeftMicros == 0);
}
