#include "execution/calltracker.h"

namespace execution {

CallTracker::CallTracker(const base::Clock &Time, base::ProcessId Self)
    : Time(Time), Self(std::move(Self)) {}

CallIdentity CallTracker::open(const CallSpec &Spec) {
  Call Entry;
  Entry.Identity.Id = base::makeRandomId<base::RequestId>();
  Entry.Identity.Sender = Self;
  Entry.Identity.Sequence = CallSequence(++LastSequence);
  Entry.Identity.Target = Spec.Target;
  Entry.Idempotent = Spec.Idempotent;
  Entry.OpenedAt = Time.now();
  Entry.Deadline = Spec.Deadline;
  Entry.FencesLeft = fenceAttempts(Entry);
  ++Counters.Opened;
  CallIdentity Identity = Entry.Identity;
  Calls.emplace(Identity.Id, std::move(Entry));
  return Identity;
}

std::uint32_t CallTracker::fenceAttempts(const Call &Entry) {
  return Entry.Idempotent ? kIdempotentFenceAttempts : kFenceAttempts;
}

bool CallTracker::beginSend(const base::RequestId &Id,
                            ConnectionId Connection) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Opened)
    return false;
  Found->second.Phase = State::Waiting;
  Found->second.Connection = Connection;
  return true;
}

void CallTracker::onConnectFailed(const base::RequestId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Call &Entry = Found->second;
  if (Entry.Phase == State::Opened)
    settle(Entry, {base::Outcome::NotRun, base::ErrorKind::NoUpstream, {}});
  else if (Entry.Phase == State::Fencing)
    fenceFailed(Entry);
}

void CallTracker::onFenceSent(const base::RequestId &Id,
                              ConnectionId Connection) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Found->second.Connection = Connection;
}

void CallTracker::onConnectionLost(ConnectionId Connection) {
  std::vector<Call *> Affected;
  for (auto &Entry : Calls)
    if (Entry.second.Connection == Connection)
      Affected.push_back(&Entry.second);
  for (Call *Entry : Affected) {
    if (Entry->Phase == State::Waiting)
      sendFence(*Entry);
    else if (Entry->Phase == State::Fencing)
      fenceFailed(*Entry);
  }
}

bool CallTracker::onResponse(const base::RequestId &Id, ResponsePtr Answer) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end()) {
    ++Counters.Unmatched;
    return false;
  }
  const base::Outcome What = Answer->Outcome;
  const std::optional<base::ErrorKind> Error = Answer->Error;
  settle(Found->second, {What, Error, std::move(Answer)});
  return true;
}

bool CallTracker::onFenceReply(const FenceReply &Reply) {
  const auto Found = Calls.find(Reply.Id);
  if (Found == Calls.end()) {
    ++Counters.Unmatched;
    return false;
  }
  Call &Entry = Found->second;
  switch (Reply.State) {
  case FenceState::NotRun:
    confirmNotRun(Entry);
    return true;
  case FenceState::Running:
    // Without a connection this is a late reply to an earlier fence, and the
    // pending one has yet to tell the target where to respond.
    if (Entry.Phase == State::Fencing && Entry.Connection != ConnectionId()) {
      Entry.Phase = State::Waiting;
      Entry.FencesLeft = fenceAttempts(Entry);
    }
    return true;
  case FenceState::Finished:
    if (Reply.StoredResponse)
      return onResponse(
          Reply.Id, std::make_shared<const Response>(*Reply.StoredResponse));
    break;
  case FenceState::ResponseNotHeld:
    settle(Entry, {base::Outcome::Ran, base::ErrorKind::AnswerNotHeld, {}});
    return true;
  case FenceState::Indeterminate:
    break;
  }
  settleUnknown(Entry);
  return true;
}

void CallTracker::cancel(const base::RequestId &Id) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end() && !Found->second.GivenUp)
    giveUp(Found->second, base::ErrorKind::Cancelled);
}

void CallTracker::giveUp(Call &Entry, base::ErrorKind Kind) {
  if (Entry.Phase == State::Opened) {
    settle(Entry, {base::Outcome::NotRun, Kind, {}});
    return;
  }
  Entry.GivenUp = Kind;
  Entry.SettleBy = Time.now() + kSettleGrace;
  Entry.FencesLeft = fenceAttempts(Entry);
  sendFence(Entry);
}

void CallTracker::sendFence(Call &Entry) {
  if (Entry.FencesLeft == 0) {
    settleUnknown(Entry);
    return;
  }
  --Entry.FencesLeft;
  ++Counters.Fences;
  Entry.Phase = State::Fencing;
  Entry.Connection = ConnectionId();
  Entry.TimerAt = Time.now() + kFenceTimeout;
  Actions.emplace_back(SendFence{{Entry.Identity, Entry.GivenUp.has_value()}});
}

void CallTracker::fenceFailed(Call &Entry) {
  if (Entry.FencesLeft == 0) {
    settleUnknown(Entry);
    return;
  }
  const std::uint32_t Failed = fenceAttempts(Entry) - Entry.FencesLeft;
  Entry.Phase = State::Pausing;
  Entry.TimerAt = Time.now() + kFencePause * (1U << Failed);
}

void CallTracker::tick() {
  const base::BootTime Now = Time.now();
  std::vector<Call *> Due;
  for (auto &Each : Calls) {
    Call &Entry = Each.second;
    const bool HasTimer =
        Entry.Phase == State::Fencing || Entry.Phase == State::Pausing;
    const base::BootTime End = Entry.GivenUp ? Entry.SettleBy : Entry.Deadline;
    if (End <= Now || (HasTimer && Entry.TimerAt <= Now))
      Due.push_back(&Entry);
  }
  for (Call *Entry : Due)
    runTimers(*Entry, Now);
}

void CallTracker::runTimers(Call &Entry, base::BootTime Now) {
  if (Entry.GivenUp && Entry.SettleBy <= Now)
    settleUnknown(Entry);
  else if (!Entry.GivenUp && Entry.Deadline <= Now)
    giveUp(Entry, base::ErrorKind::DeadlineExceeded);
  else if (Entry.Phase == State::Fencing)
    fenceFailed(Entry);
  else
    sendFence(Entry);
}

void CallTracker::confirmNotRun(Call &Entry) {
  if (Time.now() - Entry.OpenedAt > kNotRunTrusted) {
    ++Counters.NotRunTooOld;
    settleUnknown(Entry);
    return;
  }
  const base::ErrorKind Kind =
      Entry.GivenUp.value_or(base::ErrorKind::NoUpstream);
  settle(Entry, {base::Outcome::NotRun, Kind, {}});
}

void CallTracker::settleUnknown(Call &Entry) {
  const base::ErrorKind Kind =
      Entry.GivenUp.value_or(base::ErrorKind::OutcomeUnknown);
  ++Counters.SettledUnknown;
  settle(Entry, {base::Outcome::Unknown, Kind, {}});
}

void CallTracker::settle(Call &Entry, CallCompletion Verdict) {
  Verdict.MayRetry =
      Verdict.Outcome != base::Outcome::Ran &&
      (Entry.Idempotent || Verdict.Outcome == base::Outcome::NotRun);
  const base::RequestId Id = Entry.Identity.Id;
  Calls.erase(Id);
  Actions.emplace_back(CallCompleted{Id, std::move(Verdict)});
}

std::vector<CallAction> CallTracker::takeActions() {
  return std::exchange(Actions, {});
}

} // namespace execution
