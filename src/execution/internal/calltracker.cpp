#include "execution/calltracker.h"

namespace execution {

CallTracker::CallTracker(const base::Clock &Clock, base::ProcessId Self)
    : Clock(Clock), Self(std::move(Self)) {}

CallIdentity CallTracker::open(const CallSpec &Spec) {
  Call Entry;
  Entry.Identity.Id = base::makeRandomId<base::CallId>();
  Entry.Identity.Sender = Self;
  Entry.Identity.Sequence = CallSequence(++LastSequence);
  Entry.Identity.Target = Spec.Target;
  Entry.Idempotent = Spec.Idempotent;
  Entry.OpenedAt = Clock.now();
  Entry.Deadline = Spec.Deadline;
  Entry.FencesLeft = maxFences(Entry);
  ++Counters.Opened;
  CallIdentity Identity = Entry.Identity;
  Calls.emplace(Identity.Id, std::move(Entry));
  return Identity;
}

std::uint32_t CallTracker::maxFences(const Call &Entry) {
  return Entry.Idempotent ? kMaxIdempotentFences : kMaxFences;
}

bool CallTracker::beginSend(const base::CallId &Id, ConnectionId Connection) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Opened)
    return false;
  Found->second.Phase = State::AwaitingResponse;
  Found->second.Connection = Connection;
  return true;
}

void CallTracker::onConnectFailed(const base::CallId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Call &Entry = Found->second;
  if (Entry.Phase == State::Opened)
    complete(Entry, {base::Outcome::NotRun, base::ErrorKind::NoUpstream, {}});
  else if (Entry.Phase == State::AwaitingFenceReply)
    fenceFailed(Entry);
}

void CallTracker::onFenceSent(const base::CallId &Id, ConnectionId Connection) {
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
    if (Entry->Phase == State::AwaitingResponse)
      sendFence(*Entry);
    else if (Entry->Phase == State::AwaitingFenceReply)
      fenceFailed(*Entry);
  }
}

bool CallTracker::onResponse(const base::CallId &Id, ResponsePtr CallResponse) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end()) {
    ++Counters.Unmatched;
    return false;
  }
  const base::Outcome Outcome = CallResponse->Outcome;
  const std::optional<base::ErrorKind> Error = CallResponse->Error;
  complete(Found->second, {Outcome, Error, std::move(CallResponse)});
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
    onNotRunReported(Entry);
    return true;
  case FenceState::Running:
    // If no connection is set, this is a late reply to an earlier fence. The
    // response would be lost: the pending fence has yet to tell the target
    // which connection to respond on.
    if (Entry.Phase == State::AwaitingFenceReply &&
        Entry.Connection != ConnectionId()) {
      Entry.Phase = State::AwaitingResponse;
      Entry.FencesLeft = maxFences(Entry);
    }
    return true;
  case FenceState::Finished:
    if (Reply.StoredResponse)
      return onResponse(
          Reply.Id, std::make_shared<const Response>(*Reply.StoredResponse));
    break;
  case FenceState::ResponseNotStored:
    complete(Entry,
             {base::Outcome::Ran, base::ErrorKind::ResponseNotStored, {}});
    return true;
  case FenceState::Indeterminate:
    break;
  }
  completeUnknown(Entry);
  return true;
}

void CallTracker::cancel(const base::CallId &Id) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end() && !Found->second.AbandonReason)
    abandon(Found->second, base::ErrorKind::Cancelled);
}

void CallTracker::abandon(Call &Entry, base::ErrorKind Kind) {
  if (Entry.Phase == State::Opened) {
    complete(Entry, {base::Outcome::NotRun, Kind, {}});
    return;
  }
  Entry.AbandonReason = Kind;
  Entry.CompleteBy = Clock.now() + kCompletionGrace;
  Entry.FencesLeft = maxFences(Entry);
  sendFence(Entry);
}

void CallTracker::sendFence(Call &Entry) {
  if (Entry.FencesLeft == 0) {
    completeUnknown(Entry);
    return;
  }
  --Entry.FencesLeft;
  ++Counters.Fences;
  Entry.Phase = State::AwaitingFenceReply;
  Entry.Connection = ConnectionId();
  Entry.TimerAt = Clock.now() + kFenceTimeout;
  Actions.emplace_back(
      SendFence{{Entry.Identity, Entry.AbandonReason.has_value()}});
}

void CallTracker::fenceFailed(Call &Entry) {
  if (Entry.FencesLeft == 0) {
    completeUnknown(Entry);
    return;
  }
  const std::uint32_t Failed = maxFences(Entry) - Entry.FencesLeft;
  Entry.Phase = State::AwaitingFenceRetry;
  Entry.TimerAt = Clock.now() + kFenceRetryDelay * (1U << Failed);
}

void CallTracker::tick() {
  const base::BootTime Now = Clock.now();
  std::vector<Call *> Due;
  for (auto &Tracked : Calls) {
    Call &Entry = Tracked.second;
    const bool HasTimer = Entry.Phase == State::AwaitingFenceReply ||
                          Entry.Phase == State::AwaitingFenceRetry;
    const base::BootTime EndsAt =
        Entry.AbandonReason ? Entry.CompleteBy : Entry.Deadline;
    if (EndsAt <= Now || (HasTimer && Entry.TimerAt <= Now))
      Due.push_back(&Entry);
  }
  for (Call *Entry : Due)
    runTimers(*Entry, Now);
}

void CallTracker::runTimers(Call &Entry, base::BootTime Now) {
  if (Entry.AbandonReason && Entry.CompleteBy <= Now)
    completeUnknown(Entry);
  else if (!Entry.AbandonReason && Entry.Deadline <= Now)
    abandon(Entry, base::ErrorKind::DeadlineExceeded);
  else if (Entry.Phase == State::AwaitingFenceReply)
    fenceFailed(Entry);
  else
    sendFence(Entry);
}

void CallTracker::onNotRunReported(Call &Entry) {
  if (Clock.now() - Entry.OpenedAt > kMaxNotRunAge) {
    ++Counters.NotRunTooOld;
    completeUnknown(Entry);
    return;
  }
  const base::ErrorKind Kind =
      Entry.AbandonReason.value_or(base::ErrorKind::NoUpstream);
  complete(Entry, {base::Outcome::NotRun, Kind, {}});
}

void CallTracker::completeUnknown(Call &Entry) {
  const base::ErrorKind Kind =
      Entry.AbandonReason.value_or(base::ErrorKind::OutcomeUnknown);
  ++Counters.CompletedUnknown;
  complete(Entry, {base::Outcome::Unknown, Kind, {}});
}

void CallTracker::complete(Call &Entry, CallCompletion Completion) {
  Completion.MayRetry =
      Completion.Outcome != base::Outcome::Ran &&
      (Entry.Idempotent || Completion.Outcome == base::Outcome::NotRun);
  const base::CallId Id = Entry.Identity.Id;
  Calls.erase(Id);
  Actions.emplace_back(CallCompleted{Id, std::move(Completion)});
}

std::vector<CallAction> CallTracker::takeActions() {
  return std::exchange(Actions, {});
}

} // namespace execution
