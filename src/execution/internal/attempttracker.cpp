#include "execution/attempttracker.h"

namespace execution {

CallCompletion refusalFor(const IdempotencyReply &Reply) {
  using enum base::ErrorKind;
  using base::Outcome;
  switch (Reply.Decision) {
  case IdempotencyDecision::Finished:
    if (Reply.StoredResponse)
      return {Outcome::Ran, Reply.StoredResponse->Error,
              std::make_shared<const Response>(*Reply.StoredResponse)};
    return {Outcome::Ran, ResponseNotStored, {}};
  case IdempotencyDecision::ResponseNotStored:
    return {Outcome::Ran, ResponseNotStored, {}};
  case IdempotencyDecision::InProgress:
    return {Outcome::Unknown, IdempotencyInProgress, {}};
  case IdempotencyDecision::OtherRequest:
    return {Outcome::NotRun, RequestMalformed, {}};
  case IdempotencyDecision::Full:
    return {Outcome::NotRun, Overloaded, {}};
  case IdempotencyDecision::Run:
  case IdempotencyDecision::OutcomeUnknown:
  case IdempotencyDecision::Indeterminate:
  case IdempotencyDecision::AttemptOver:
    break;
  }
  return {Outcome::Unknown, OutcomeUnknown, {}};
}

AttemptId AttemptTracker::begin(RequestKey Request,
                                const RequestDigest &Digest) {
  const auto Id = base::makeRandomId<AttemptId>();
  Entry &Tracked = Attempts[Id];
  Tracked.Begin = {std::move(Request), Digest, Id};
  sendBegin(Tracked);
  return Id;
}

void AttemptTracker::sendBegin(Entry &Tracked) {
  ++Tracked.SendCount;
  Tracked.TimerAt = Clock.now() + kBeginTimeout;
  Actions.emplace_back(SendBegin{Tracked.Begin});
}

void AttemptTracker::onReply(const IdempotencyReply &Reply) {
  const auto Found = Attempts.find(Reply.Attempt);
  if (Found == Attempts.end() || Found->second.Phase != State::AwaitingDecision)
    return;
  if (Reply.Decision == IdempotencyDecision::Run) {
    Found->second.Phase = State::Running;
    Actions.emplace_back(AttemptDecided{Reply.Attempt, std::nullopt});
    return;
  }
  Attempts.erase(Found);
  Actions.emplace_back(AttemptDecided{Reply.Attempt, refusalFor(Reply)});
}

void AttemptTracker::finish(const AttemptId &Attempt, base::Outcome Outcome,
                            std::optional<Response> ResponseToStore) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end() || Found->second.Phase != State::Running)
    return;
  Entry &Tracked = Found->second;
  Tracked.Finish = {Tracked.Begin.Request, Attempt, Outcome,
                    std::move(ResponseToStore)};
  Tracked.SendCount = 0;
  sendFinish(Tracked);
}

void AttemptTracker::sendFinish(Entry &Tracked) {
  Tracked.Phase = State::Reporting;
  Tracked.TimerAt = Clock.now() + kFinishRetryDelay * (1U << Tracked.SendCount);
  ++Tracked.SendCount;
  Actions.emplace_back(SendFinish{Tracked.Finish});
}

void AttemptTracker::onFinishAck(const AttemptId &Attempt) {
  const auto Found = Attempts.find(Attempt);
  if (Found != Attempts.end() && Found->second.Phase == State::Reporting)
    Attempts.erase(Found);
}

void AttemptTracker::abandon(Entry &Tracked) {
  const AttemptId Id = Tracked.Begin.Attempt;
  Tracked.Finish = {Tracked.Begin.Request, Id, base::Outcome::NotRun, {}};
  Tracked.SendCount = 0;
  Actions.emplace_back(AttemptDecided{
      Id, refusalFor({Id, IdempotencyDecision::Indeterminate, {}})});
  sendFinish(Tracked);
}

void AttemptTracker::tick() {
  const base::BootTime Now = Clock.now();
  for (auto Next = Attempts.begin(); Next != Attempts.end();) {
    Entry &Tracked = Next->second;
    const bool Due = Tracked.Phase != State::Running && Tracked.TimerAt <= Now;
    if (Due && Tracked.Phase == State::Reporting &&
        Tracked.SendCount >= kMaxFinishSends) {
      Next = Attempts.erase(Next);
      continue;
    }
    if (Due && Tracked.Phase == State::Reporting)
      sendFinish(Tracked);
    else if (Due && Tracked.SendCount < kMaxBeginSends)
      sendBegin(Tracked);
    else if (Due)
      abandon(Tracked);
    ++Next;
  }
}

std::vector<AttemptAction> AttemptTracker::takeActions() {
  return std::exchange(Actions, {});
}

} // namespace execution
