#include "execution/executiontable.h"

#include <algorithm>

namespace execution {

namespace {

// A scan of all senders each second would cost more than it frees.
constexpr base::Duration kSenderScanInterval = std::chrono::minutes(1);

} // namespace

base::BootTime deadlineOf(const CallContext &Call, base::BootTime Now) {
  const auto Limit = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(kMaxTimeLeft)
          .count());
  return Now + std::chrono::microseconds(std::min(Call.TimeLeftMicros, Limit));
}

ExecutionTable::ExecutionTable(const base::Clock &Time, base::ProcessId Self,
                               ExecutionLimits Limits)
    : Time(Time), Self(std::move(Self)), Limits(Limits),
      NextSenderScan(Time.now() + kSenderScanInterval) {}

ExecutionTable::SenderState *
ExecutionTable::senderOf(const CallIdentity &Call) {
  auto Found = Senders.find(Call.Sender);
  if (Found == Senders.end()) {
    if (Senders.size() >= Limits.Senders)
      return nullptr;
    Found = Senders.emplace(Call.Sender, SenderState{}).first;
  }
  Found->second.LastSeen = Time.now();
  return &Found->second;
}

ExecutionTable::Record *ExecutionTable::insert(const CallIdentity &Call,
                                               SenderState &Sender) {
  Record &Entry = Calls[Call.Id];
  Entry.Sequence = Call.Sequence;
  Entry.Sender = &Sender;
  ++Sender.Records;
  ++Open;
  return &Entry;
}

AdmitResult ExecutionTable::admit(const CallContext &Call,
                                  ConnectionId ReplyTo) {
  if (Call.Identity.Target != Self) {
    ++Counters.WrongTarget;
    return AdmitResult::Discarded;
  }
  if (const auto Known = Calls.find(Call.Identity.Id); Known != Calls.end()) {
    ++(Known->second.Phase == State::Tombstone ? Counters.AfterTombstone
                                               : Counters.Duplicates);
    return AdmitResult::Discarded;
  }
  SenderState *Sender = senderOf(Call.Identity);
  if (Sender == nullptr || Call.Identity.Sequence <= Sender->Floor) {
    ++Counters.BelowFloor;
    return AdmitResult::Discarded;
  }
  const bool Full = Open >= Limits.OpenCalls;
  Record *Entry = insert(Call.Identity, *Sender);
  Entry->Deadline = deadlineOf(Call, Time.now());
  Entry->ReplyTo = ReplyTo;
  if (Full) {
    ++Counters.Refused;
    settle(Call.Identity.Id, *Entry, State::Tombstone);
    return AdmitResult::Refused;
  }
  ++Counters.Admitted;
  return AdmitResult::Queued;
}

StartResult ExecutionTable::start(const base::RequestId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Queued)
    return StartResult::Stopped;
  Record &Entry = Found->second;
  if (Entry.Deadline <= Time.now()) {
    ++Counters.Expired;
    settle(Id, Entry, State::Tombstone);
    return StartResult::Expired;
  }
  Entry.Phase = State::Running;
  return StartResult::Started;
}

bool ExecutionTable::withdraw(const base::RequestId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Queued)
    return false;
  settle(Id, Found->second, State::Tombstone);
  return true;
}

bool ExecutionTable::finish(const base::RequestId &Id, ResponsePtr Answer) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Running)
    return false;
  Record &Entry = Found->second;
  Entry.What = Answer->Outcome;
  settle(Id, Entry, State::Finished);
  keepResponse(Id, Entry, std::move(Answer));
  return true;
}

FenceResult ExecutionTable::fence(const Fence &Request, ConnectionId ReplyTo) {
  if (Request.Identity.Target != Self)
    return {FenceState::Indeterminate, nullptr, false};
  const auto Found = Calls.find(Request.Identity.Id);
  if (Found == Calls.end())
    return fenceUnknown(Request);
  Record &Entry = Found->second;
  Entry.Sender->LastSeen = Time.now();
  switch (Entry.Phase) {
  case State::Queued:
    settle(Request.Identity.Id, Entry, State::Tombstone);
    return {FenceState::NotRun, nullptr, true};
  case State::Running:
    Entry.ReplyTo = ReplyTo;
    return {FenceState::Running, nullptr, false};
  case State::Tombstone:
    return {FenceState::NotRun, nullptr, false};
  case State::Finished:
    break;
  }
  if (Entry.Answer)
    return {FenceState::Finished, Entry.Answer, false};
  if (Entry.What == base::Outcome::NotRun)
    return {FenceState::NotRun, nullptr, false};
  if (Entry.What == base::Outcome::Ran)
    return {FenceState::ResponseNotHeld, nullptr, false};
  return {FenceState::Indeterminate, nullptr, false};
}

FenceResult ExecutionTable::fenceUnknown(const Fence &Request) {
  SenderState *Sender = senderOf(Request.Identity);
  if (Sender == nullptr || Request.Identity.Sequence <= Sender->Floor)
    return {FenceState::Indeterminate, nullptr, false};
  Record *Entry = insert(Request.Identity, *Sender);
  settle(Request.Identity.Id, *Entry, State::Tombstone);
  return {FenceState::NotRun, nullptr, false};
}

std::optional<ConnectionId>
ExecutionTable::replyConnection(const base::RequestId &Id) const {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  return Found->second.ReplyTo;
}

void ExecutionTable::settle(const base::RequestId &Id, Record &Entry,
                            State Phase) {
  Entry.Phase = Phase;
  --Open;
  Settled.push_back({Id, Time.now() + Limits.OutcomeRetention});
  while (Settled.size() > std::max<std::size_t>(Limits.SettledCalls, 1))
    forgetOldest();
}

void ExecutionTable::keepResponse(const base::RequestId &Id, Record &Entry,
                                  ResponsePtr Answer) {
  const std::size_t Size = Answer->size();
  if (Size > Limits.ResponseBytes) {
    ++Counters.ResponsesDropped;
    return;
  }
  while (ResponseBytes + Size > Limits.ResponseBytes) {
    ++Counters.ResponsesDropped;
    dropOldestResponse();
  }
  Entry.Answer = std::move(Answer);
  ResponseBytes += Size;
  Responses.push_back({Id, Time.now() + Limits.ResponseRetention});
}

void ExecutionTable::dropOldestResponse() {
  const auto Found = Calls.find(Responses.front().Id);
  Responses.pop_front();
  // The whole record may have been forgotten before its response expired.
  if (Found == Calls.end() || !Found->second.Answer)
    return;
  ResponseBytes -= Found->second.Answer->size();
  Found->second.Answer.reset();
}

void ExecutionTable::forgetOldest() {
  const auto Found = Calls.find(Settled.front().Id);
  Settled.pop_front();
  Record &Entry = Found->second;
  if (Entry.Answer)
    ResponseBytes -= Entry.Answer->size();
  Entry.Sender->Floor = std::max(Entry.Sender->Floor, Entry.Sequence);
  Entry.Sender->LastSeen = Time.now();
  --Entry.Sender->Records;
  Calls.erase(Found);
}

void ExecutionTable::tick() {
  const base::BootTime Now = Time.now();
  while (!Responses.empty() && Responses.front().At <= Now)
    dropOldestResponse();
  while (!Settled.empty() && Settled.front().At <= Now)
    forgetOldest();
  if (NextSenderScan <= Now) {
    NextSenderScan = Now + kSenderScanInterval;
    forgetIdleSenders();
  }
}

void ExecutionTable::forgetIdleSenders() {
  const base::BootTime Oldest = Time.now() - kSenderRetention;
  std::erase_if(Senders, [Oldest](const auto &Entry) {
    return Entry.second.Records == 0 && Entry.second.LastSeen <= Oldest;
  });
}

} // namespace execution
