#include "execution/executiontable.h"

#include <algorithm>

namespace execution {

namespace {

// Scanning all senders every second would cost more than it frees.
constexpr base::Duration kSenderScanInterval = std::chrono::minutes(1);

} // namespace

base::BootTime deadlineOf(const CallContext &Call, base::BootTime Now) {
  const auto MaxMicros = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(kMaxTimeLeft)
          .count());
  return Now +
         std::chrono::microseconds(std::min(Call.TimeLeftMicros, MaxMicros));
}

ExecutionTable::ExecutionTable(const base::Clock &Clock, base::ProcessId Self,
                               ExecutionLimits Limits)
    : Clock(Clock), Self(std::move(Self)), Limits(Limits),
      NextSenderScan(Clock.now() + kSenderScanInterval) {}

ExecutionTable::SenderState *
ExecutionTable::findOrAddSender(const CallIdentity &Call) {
  auto Found = Senders.find(Call.Sender);
  if (Found == Senders.end()) {
    if (Senders.size() >= Limits.Senders)
      return nullptr;
    Found = Senders.emplace(Call.Sender, SenderState{}).first;
  }
  Found->second.LastSeen = Clock.now();
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
  SenderState *Sender = findOrAddSender(Call.Identity);
  if (Sender == nullptr || Call.Identity.Sequence <= Sender->Floor) {
    ++Counters.BelowFloor;
    return AdmitResult::Discarded;
  }
  const bool Full = Open >= Limits.OpenCalls;
  Record *Entry = insert(Call.Identity, *Sender);
  Entry->Deadline = deadlineOf(Call, Clock.now());
  Entry->ReplyTo = ReplyTo;
  if (Full) {
    ++Counters.Refused;
    complete(Call.Identity.Id, *Entry, State::Tombstone);
    return AdmitResult::Refused;
  }
  ++Counters.Admitted;
  return AdmitResult::Queued;
}

StartResult ExecutionTable::start(const base::CallId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Queued)
    return StartResult::Stopped;
  Record &Entry = Found->second;
  if (Entry.Deadline <= Clock.now()) {
    ++Counters.Expired;
    complete(Id, Entry, State::Tombstone);
    return StartResult::Expired;
  }
  Entry.Phase = State::Running;
  return StartResult::Started;
}

bool ExecutionTable::withdraw(const base::CallId &Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Queued)
    return false;
  complete(Id, Found->second, State::Tombstone);
  return true;
}

bool ExecutionTable::finish(const base::CallId &Id, ResponsePtr CallResponse) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || Found->second.Phase != State::Running)
    return false;
  Record &Entry = Found->second;
  Entry.Outcome = CallResponse->Outcome;
  complete(Id, Entry, State::Finished);
  storeResponse(Id, Entry, std::move(CallResponse));
  return true;
}

FenceResult ExecutionTable::fence(const Fence &Request, ConnectionId ReplyTo) {
  if (Request.Identity.Target != Self)
    return {FenceState::Indeterminate, nullptr, false};
  const auto Found = Calls.find(Request.Identity.Id);
  if (Found == Calls.end())
    return fenceWithoutRecord(Request);
  Record &Entry = Found->second;
  Entry.Sender->LastSeen = Clock.now();
  switch (Entry.Phase) {
  case State::Queued:
    complete(Request.Identity.Id, Entry, State::Tombstone);
    return {FenceState::NotRun, nullptr, true};
  case State::Running:
    Entry.ReplyTo = ReplyTo;
    return {FenceState::Running, nullptr, false};
  case State::Tombstone:
    return {FenceState::NotRun, nullptr, false};
  case State::Finished:
    break;
  }
  if (Entry.StoredResponse)
    return {FenceState::Finished, Entry.StoredResponse, false};
  if (Entry.Outcome == base::Outcome::NotRun)
    return {FenceState::NotRun, nullptr, false};
  if (Entry.Outcome == base::Outcome::Ran)
    return {FenceState::ResponseNotStored, nullptr, false};
  return {FenceState::Indeterminate, nullptr, false};
}

FenceResult ExecutionTable::fenceWithoutRecord(const Fence &Request) {
  SenderState *Sender = findOrAddSender(Request.Identity);
  if (Sender == nullptr || Request.Identity.Sequence <= Sender->Floor)
    return {FenceState::Indeterminate, nullptr, false};
  Record *Entry = insert(Request.Identity, *Sender);
  complete(Request.Identity.Id, *Entry, State::Tombstone);
  return {FenceState::NotRun, nullptr, false};
}

std::optional<ConnectionId>
ExecutionTable::replyConnection(const base::CallId &Id) const {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  return Found->second.ReplyTo;
}

void ExecutionTable::complete(const base::CallId &Id, Record &Entry,
                              State Phase) {
  Entry.Phase = Phase;
  --Open;
  Completed.push_back({Id, Clock.now() + Limits.OutcomeRetention});
  while (Completed.size() > std::max<std::size_t>(Limits.CompletedCalls, 1))
    removeOldestCompleted();
}

void ExecutionTable::storeResponse(const base::CallId &Id, Record &Entry,
                                   ResponsePtr CallResponse) {
  const std::size_t Size = CallResponse->size();
  if (Size > Limits.ResponseBytes) {
    ++Counters.ResponsesDropped;
    return;
  }
  while (ResponseBytes + Size > Limits.ResponseBytes) {
    ++Counters.ResponsesDropped;
    dropOldestResponse();
  }
  Entry.StoredResponse = std::move(CallResponse);
  ResponseBytes += Size;
  Responses.push_back({Id, Clock.now() + Limits.ResponseRetention});
}

void ExecutionTable::dropOldestResponse() {
  const auto Found = Calls.find(Responses.front().Id);
  Responses.pop_front();
  // The record may have been removed before its response expired.
  if (Found == Calls.end() || !Found->second.StoredResponse)
    return;
  ResponseBytes -= Found->second.StoredResponse->size();
  Found->second.StoredResponse.reset();
}

void ExecutionTable::removeOldestCompleted() {
  const auto Found = Calls.find(Completed.front().Id);
  Completed.pop_front();
  Record &Entry = Found->second;
  if (Entry.StoredResponse)
    ResponseBytes -= Entry.StoredResponse->size();
  Entry.Sender->Floor = std::max(Entry.Sender->Floor, Entry.Sequence);
  Entry.Sender->LastSeen = Clock.now();
  --Entry.Sender->Records;
  Calls.erase(Found);
}

void ExecutionTable::tick() {
  const base::BootTime Now = Clock.now();
  while (!Responses.empty() && Responses.front().At <= Now)
    dropOldestResponse();
  while (!Completed.empty() && Completed.front().At <= Now)
    removeOldestCompleted();
  if (NextSenderScan <= Now) {
    NextSenderScan = Now + kSenderScanInterval;
    removeIdleSenders();
  }
}

void ExecutionTable::removeIdleSenders() {
  const base::BootTime Oldest = Clock.now() - kSenderRetention;
  std::erase_if(Senders, [Oldest](const auto &Entry) {
    return Entry.second.Records == 0 && Entry.second.LastSeen <= Oldest;
  });
}

} // namespace execution
