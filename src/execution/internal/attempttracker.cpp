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
    return {Outcome::Ran, AnswerNotHeld, {}};
  case IdempotencyDecision::ResponseNotHeld:
    return {Outcome::Ran, AnswerNotHeld, {}};
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
  Entry &Value = Attempts[Id];
  Value.Begin = {std::move(Request), Digest, Id};
  ask(Value);
  return Id;
}

void AttemptTracker::ask(Entry &Value) {
  ++Value.Tries;
  Value.TimerAt = Time.now() + kBeginTimeout;
  Actions.emplace_back(SendBegin{Value.Begin});
}

void AttemptTracker::onReply(const IdempotencyReply &Reply) {
  const auto Found = Attempts.find(Reply.Attempt);
  if (Found == Attempts.end() || Found->second.Phase != State::Asking)
    return;
  if (Reply.Decision == IdempotencyDecision::Run) {
    Found->second.Phase = State::Running;
    Actions.emplace_back(AttemptDecided{Reply.Attempt, std::nullopt});
    return;
  }
  Attempts.erase(Found);
  Actions.emplace_back(AttemptDecided{Reply.Attempt, refusalFor(Reply)});
}

void AttemptTracker::finish(const AttemptId &Attempt, base::Outcome What,
                            std::optional<Response> Answer) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end() || Found->second.Phase != State::Running)
    return;
  Entry &Value = Found->second;
  Value.Finish = {Value.Begin.Request, Attempt, What, std::move(Answer)};
  Value.Tries = 0;
  report(Value);
}

void AttemptTracker::report(Entry &Value) {
  Value.Phase = State::Reporting;
  Value.TimerAt = Time.now() + kFinishPause * (1U << Value.Tries);
  ++Value.Tries;
  Actions.emplace_back(SendFinish{Value.Finish});
}

void AttemptTracker::onFinishAck(const AttemptId &Attempt) {
  const auto Found = Attempts.find(Attempt);
  if (Found != Attempts.end() && Found->second.Phase == State::Reporting)
    Attempts.erase(Found);
}

void AttemptTracker::giveUp(Entry &Value) {
  const AttemptId Id = Value.Begin.Attempt;
  Value.Finish = {Value.Begin.Request, Id, base::Outcome::NotRun, {}};
  Value.Tries = 0;
  Actions.emplace_back(AttemptDecided{
      Id, refusalFor({Id, IdempotencyDecision::Indeterminate, {}})});
  report(Value);
}

void AttemptTracker::tick() {
  const base::BootTime Now = Time.now();
  for (auto Each = Attempts.begin(); Each != Attempts.end();) {
    Entry &Value = Each->second;
    const bool Due = Value.Phase != State::Running && Value.TimerAt <= Now;
    if (Due && Value.Phase == State::Reporting && Value.Tries >= kFinishTries) {
      Each = Attempts.erase(Each);
      continue;
    }
    if (Due && Value.Phase == State::Reporting)
      report(Value);
    else if (Due && Value.Tries < kBeginTries)
      ask(Value);
    else if (Due)
      giveUp(Value);
    ++Each;
  }
}

std::vector<AttemptAction> AttemptTracker::takeActions() {
  return std::exchange(Actions, {});
}

} // namespace execution
