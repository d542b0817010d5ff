#include "overload/fairqueue.h"

#include <algorithm>
#include <iterator>

namespace overload {

namespace {

/// Largest cost of an entry; bounds the number of rounds in one `pop`.
constexpr std::uint32_t kMaxCost = 64;

} // namespace

FairQueue::FairQueue(const base::Clock &Clock, QueueSettings Settings)
    : Clock(Clock), Settings(Settings) {}

void FairQueue::setWeight(const base::WorkspaceName &Workspace,
                          std::uint32_t Weight) {
  Weights[Workspace] = std::max<std::uint32_t>(Weight, 1);
}

std::optional<DequeuedEntry> FairQueue::push(QueueEntry Entry) {
  const base::BootTime Now = Clock.now();
  if (Entry.Deadline <= Now)
    return DequeuedEntry{std::move(Entry), DequeueReason::DeadlineExpired, {}};
  expire();
  Entry.Cost = std::clamp<std::uint32_t>(Entry.Cost, 1, kMaxCost);
  insert(std::move(Entry));
  if (size() <= Settings.MaxLength)
    return std::nullopt;
  return makeDequeued(remove(entryToEvict()), DequeueReason::QueueFull);
}

std::optional<DequeuedEntry> FairQueue::pop() {
  expire();
  for (ClassQueue &Queue : Classes) {
    if (Queue.RoundRobin.empty())
      continue;
    const base::CallId Next = nextRoundRobin(Queue);
    return makeDequeued(remove(Next), DequeueReason::Started);
  }
  return std::nullopt;
}

bool FairQueue::cancel(const base::CallId &Id) {
  if (!Locations.contains(Id))
    return false;
  remove(Id);
  return true;
}

std::vector<DequeuedEntry> FairQueue::takeExpired() {
  expire();
  return std::exchange(Expired, {});
}

std::size_t FairQueue::size(base::PriorityClass Class) const {
  return Classes[static_cast<std::size_t>(Class)].Arrivals.size();
}

std::size_t FairQueue::sizeAhead(base::PriorityClass Class,
                                 const base::WorkspaceName &Workspace) const {
  const auto ClassIndex = static_cast<std::size_t>(Class);
  std::size_t Ahead = 0;
  for (std::size_t Index = 0; Index < ClassIndex; ++Index)
    Ahead += Classes[Index].Arrivals.size();
  const auto &Flows = Classes[ClassIndex].Flows;
  const auto Own = Flows.find(Workspace);
  const std::size_t OwnSize =
      Own == Flows.end() ? 0 : Own->second.Entries.size();
  for (const auto &[Name, Other] : Flows)
    Ahead += Name == Workspace ? OwnSize
                               : std::min(Other.Entries.size(), OwnSize + 1);
  return Ahead;
}

std::array<base::Duration, base::kPriorityClassCount>
FairQueue::oldestWaits() const {
  const base::BootTime Now = Clock.now();
  std::array<base::Duration, base::kPriorityClassCount> Waits{};
  for (std::size_t Index = 0; Index < Classes.size(); ++Index) {
    const auto &Arrivals = Classes[Index].Arrivals;
    if (!Arrivals.empty())
      Waits[Index] = Now - Arrivals.begin()->first;
  }
  return Waits;
}

FairQueue::ClassQueue &FairQueue::queueOf(base::PriorityClass Class) {
  return Classes[static_cast<std::size_t>(Class)];
}

std::uint32_t FairQueue::weightOf(const base::WorkspaceName &Workspace) const {
  const auto Found = Weights.find(Workspace);
  return Found == Weights.end() ? 1 : Found->second;
}

void FairQueue::insert(QueueEntry Entry) {
  const base::BootTime Now = Clock.now();
  const base::BootTime ExpiresAt =
      std::min(Now + Settings.MaxWait, Entry.Deadline);
  const EntryOrder Order{Now - Entry.PriorWait, ++LastSequence};
  ClassQueue &Queue = queueOf(Entry.Class);
  Flow &Target = Queue.Flows[Entry.Workspace];
  if (Target.Entries.empty())
    Queue.RoundRobin.push_back(Entry.Workspace);
  Queue.Arrivals.emplace(Now, Order.second);
  Expiries.emplace(ExpiresAt, Entry.Id);
  Locations.emplace(Entry.Id, Location{Entry.Class, Entry.Workspace, Order});
  Target.Entries.emplace(Order, WaitingEntry{std::move(Entry), Now, ExpiresAt});
}

FairQueue::WaitingEntry FairQueue::remove(const base::CallId &Id) {
  const auto Found = Locations.find(Id);
  const Location At = std::move(Found->second);
  Locations.erase(Found);
  ClassQueue &Queue = queueOf(At.Class);
  const auto Target = Queue.Flows.find(At.Workspace);
  auto Node = Target->second.Entries.extract(At.Order);
  WaitingEntry Result = std::move(Node.mapped());
  Expiries.erase({Result.ExpiresAt, Id});
  Queue.Arrivals.erase({Result.EnqueuedAt, At.Order.second});
  if (Target->second.Entries.empty()) {
    Queue.Flows.erase(Target);
    std::erase(Queue.RoundRobin, At.Workspace);
  }
  return Result;
}

base::CallId FairQueue::nextRoundRobin(ClassQueue &Queue) {
  for (;;) {
    const base::WorkspaceName Workspace = Queue.RoundRobin.front();
    Flow &Candidate = Queue.Flows.at(Workspace);
    if (!Candidate.QuantumGranted) {
      Candidate.QuantumGranted = true;
      Candidate.Deficit += weightOf(Workspace);
    }
    const QueueEntry &First = Candidate.Entries.begin()->second.Entry;
    if (First.Cost <= Candidate.Deficit) {
      Candidate.Deficit -= First.Cost;
      return First.Id;
    }
    Candidate.QuantumGranted = false;
    Queue.RoundRobin.pop_front();
    Queue.RoundRobin.push_back(Workspace);
  }
}

base::CallId FairQueue::entryToEvict() const {
  const auto Lowest = std::find_if(
      Classes.rbegin(), Classes.rend(),
      [](const ClassQueue &Queue) { return !Queue.Flows.empty(); });
  const auto Largest = std::max_element(
      Lowest->Flows.begin(), Lowest->Flows.end(),
      [](const auto &First, const auto &Second) {
        return First.second.Entries.size() < Second.second.Entries.size();
      });
  return Largest->second.Entries.rbegin()->second.Entry.Id;
}

void FairQueue::expire() {
  const base::BootTime Now = Clock.now();
  while (!Expiries.empty() && Expiries.begin()->first <= Now) {
    const base::CallId Id = Expiries.begin()->second;
    WaitingEntry Removed = remove(Id);
    const DequeueReason Reason = Removed.Entry.Deadline <= Now
                                     ? DequeueReason::DeadlineExpired
                                     : DequeueReason::MaxWaitExceeded;
    Expired.push_back(makeDequeued(std::move(Removed), Reason));
  }
}

DequeuedEntry FairQueue::makeDequeued(WaitingEntry Removed,
                                      DequeueReason Reason) const {
  return {std::move(Removed.Entry), Reason, Clock.now() - Removed.EnqueuedAt};
}

} // namespace overload
