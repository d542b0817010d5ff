#include "execution/handletable.h"
#include "execution/idempotencymessages.h"

#include <cereal/archives/binary.hpp>
#include <doctest/doctest.h>

#include <sstream>

using namespace execution;
using namespace std::chrono_literals;

namespace {

template <typename Message> std::string encode(Message Value) {
  std::ostringstream Out;
  cereal::BinaryOutputArchive Archive(Out);
  Archive(Value);
  return Out.str();
}

/// Whether encoding and decoding preserves the message. The message must differ
/// from a default-constructed one.
template <typename Message> bool roundTrips(const Message &Value) {
  std::istringstream In(encode(Value));
  Message Copy;
  cereal::BinaryInputArchive Archive(In);
  Archive(Copy);
  return encode(Copy) == encode(Value) && encode(Message{}) != encode(Copy);
}

} // namespace

TEST_CASE("encoding and decoding preserves every field of a message") {
  const auto Id = base::makeRandomId<base::CallId>();
  const auto Attempt = base::makeRandomId<AttemptId>();
  const CallIdentity Identity{
      Id, {base::InstanceId("e"), base::Incarnation(2)}, CallSequence(3), {}};
  Response StoredResponse =
      errorResponse(base::ErrorKind::Draining, base::Outcome::NotRun);
  StoredResponse.Headers = {{"name", "value"}};
  const RequestKey Key{base::ServiceName("pay"), base::WorkspaceName("a"), {}};
  CHECK(roundTrips(Fence{Identity, true}));
  CHECK(roundTrips(FenceReply{Id, FenceState::Finished, StoredResponse}));
  CHECK(roundTrips(IdempotencyBegin{Key, digestRequest("", "", ""), Attempt}));
  CHECK(roundTrips(IdempotencyReply{Attempt, IdempotencyDecision::Finished,
                                    StoredResponse}));
  CHECK(roundTrips(
      IdempotencyFinish{Key, Attempt, base::Outcome::Ran, StoredResponse}));
  CHECK(roundTrips(IdempotencyAck{Attempt}));
  RequestContext Parent;
  Parent.Scope.Workspace = base::WorkspaceName("a");
  Parent.Scope.AdmissionRank = 9;
  Parent.Depth = 4;
  Parent.Deadline += 7ms;
  const ChildSpec Spec{base::ServiceName("pay"), true, 2};
  const CallContext Call = childCall(Parent, Spec, Identity, {});
  CHECK(roundTrips(Call));
  CHECK(Call.TimeLeftMicros == 7000);
  CHECK(Call.Depth == 5);
  CHECK(Call.Scope.AdmissionRank == 9);
  // A negative time left must not wrap around to a very late deadline.
  const base::BootTime Late = Parent.Deadline + 1s;
  CHECK(childCall(Parent, Spec, Identity, Late).TimeLeftMicros == 0);
}
