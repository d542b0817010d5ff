#include "ratelimit/permitpool.h"

#include "ratelimit/internal/permitstock.h"
#include "ratelimit/internal/sliceestimates.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

namespace ratelimit {

namespace {

// Time of expected demand that a pool holds. At least 200 ms and a round trip
// between regions; more where the burst allows it, so that a daemon with eight
// busy workspaces stays within 5 KB/s of control traffic.
constexpr double kMinHorizonSeconds = 0.25;
constexpr double kMaxHorizonSeconds = 0.6;

// Longest time to the report of a use, within the same bounds of traffic.
constexpr double kMinReportSeconds = 0.1;
constexpr double kMaxReportSeconds = 0.5;

// Part of the time in which the rate fills the burst that pools may hold back,
// since permits held or not yet reported are missing in the bucket.
constexpr double kHeldShare = 0.25;

constexpr base::Duration kPrefetchInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxAttempts = 4;
constexpr double kDemandMemorySeconds = 1;

// If no slice should have a permit, one is asked at most this often, since
// returned permits make the true level higher than the estimate.
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(100);

constexpr base::Duration kIdleTime = std::chrono::seconds(10);

double heldSeconds(const Limit &Whole, double Least, double Most) {
  const double FillSeconds = Whole.Burst / std::max(Whole.RatePerSecond, 1e-9);
  return std::clamp(kHeldShare * FillSeconds, Least, Most);
}

base::Duration reportInterval(const Limit &Whole) {
  const double Seconds =
      heldSeconds(Whole, kMinReportSeconds, kMaxReportSeconds);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

struct PermitPool::Entry {
  PermitStock Stock;
  SliceEstimates Hints;
  /// Requests per second, with a memory of about a second.
  double Demand = 0;
  base::BootTime DemandAt;
  base::BootTime NextPrefetch;
  base::BootTime NextProbe;
  /// Permits asked for and not answered yet.
  std::uint32_t Asked = 0;

  double demand(base::BootTime Now) const {
    const double Age = std::chrono::duration<double>(Now - DemandAt).count();
    return Demand * std::exp(-Age / kDemandMemorySeconds);
  }

  void countRequest(base::BootTime Now) {
    Demand = demand(Now) + 1 / kDemandMemorySeconds;
    DemandAt = Now;
  }
};

struct PermitPool::Pending {
  base::BootTime SentAt;
  std::vector<SliceRequest> Asks;
};

struct PermitPool::Parts {
  Distances Order;
  std::unordered_map<LimitId, Entry> Entries;
  std::map<std::uint64_t, Pending> Waiting;
  std::uint64_t LastSequence = 0;
  /// Messages being built in a tick.
  std::map<ownership::ShardId, PermitRequest> Outbox;
};

PermitPool::PermitPool(const base::Clock &Time, const LimitTable &Limits,
                       base::ProcessId Self,
                       const std::vector<base::DataCentreId> &NearestFirst)
    : Time(Time), Limits(Limits), Self(std::move(Self)),
      Impl(std::make_unique<Parts>()) {
  for (const base::DataCentreId &DataCentre : NearestFirst)
    Impl->Order.emplace(DataCentre, Impl->Order.size());
}

PermitPool::~PermitPool() = default;

PermitPool::Entry &PermitPool::entryFor(LimitId Id, const Limit &Whole,
                                        base::BootTime Now) {
  auto [Found, Fresh] = Impl->Entries.try_emplace(Id);
  if (Fresh)
    Found->second.DemandAt = Now;
  Found->second.Hints.update(Id, Whole, Limits.placement(),
                             Limits.placementVersion(), Impl->Order);
  return Found->second;
}

AcquireResult PermitPool::tryAcquire(const base::ServiceName &Service,
                                     const base::WorkspaceName &Workspace) {
  const base::BootTime Now = Time.now();
  const LimitId Id = limitId(Service, Workspace);
  const Limit *Whole = Limits.find(Id);
  if (!Whole)
    return {};
  Entry &Held = entryFor(Id, *Whole, Now);
  Held.countRequest(Now);
  if (Held.Stock.take(Now))
    return {};
  AcquireResult Result{AcquireStatus::MustRequest, waitFor(Id, Held, Now)};
  if (Result.Wait.Slices.empty())
    Result.Status = Held.Hints.choices(Now).empty()
                        ? AcquireStatus::Unavailable
                        : AcquireStatus::RateExceeded;
  return Result;
}

PermitWait PermitPool::waitFor(LimitId Id, Entry &Held,
                               base::BootTime Now) const {
  PermitWait Wait{Id, {}, 0, false};
  const std::vector<SliceEstimates::Choice> Choices = Held.Hints.choices(Now);
  for (const SliceEstimates::Choice &One : Choices) {
    if (One.Level >= 1 && Wait.Slices.size() < kMaxAttempts)
      Wait.Slices.push_back(One.Slice);
  }
  if (!Wait.Slices.empty() || Choices.empty() || Now < Held.NextProbe)
    return Wait;
  Held.NextProbe = Now + kProbeInterval;
  const auto Best = std::max_element(Choices.begin(), Choices.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.Level < Right.Level;
                                     });
  Wait.Slices.push_back(Best->Slice);
  return Wait;
}

// Permits that are missing for the demand of the horizon.
std::uint16_t PermitPool::missing(const Entry &Held, const Limit &Whole,
                                  base::BootTime Now) const {
  const double Target =
      Held.demand(Now) *
      heldSeconds(Whole, kMinHorizonSeconds, kMaxHorizonSeconds);
  const double Present = Held.Stock.left(Now) + Held.Asked;
  const double Missing = std::floor(Target - Present);
  if (Missing < 1 || Missing < Target / 2)
    return 0;
  return static_cast<std::uint16_t>(std::min(Missing, 10000.0));
}

std::optional<PermitRequest> PermitPool::nextRequest(PermitWait &Wait) {
  auto Found = Impl->Entries.find(Wait.Id);
  const Limit *Whole = Limits.find(Wait.Id);
  if (Found == Impl->Entries.end() || !Whole || Wait.Next >= Wait.Slices.size())
    return std::nullopt;
  const std::uint16_t Slice = Wait.Slices[Wait.Next++];
  if (Slice >= sliceCount(*Whole, Limits.placement()))
    return std::nullopt;
  const base::BootTime Now = Time.now();
  Entry &Held = Found->second;
  const SliceRequest Ask{Wait.Id, Slice, 1, missing(Held, *Whole, Now)};
  Held.Asked += Ask.Want + 1;
  Held.Hints.asked(Slice, 1, Now);
  PermitRequest Request;
  Request.From = Self;
  Request.Shard = sliceAt(Wait.Id, *Whole, Limits.placement(), Slice).Shard;
  Request.Sequence = ++Impl->LastSequence;
  Request.SliceRequests.push_back(Ask);
  Impl->Waiting[Request.Sequence] = {Now, Request.SliceRequests};
  return Request;
}

bool PermitPool::acquireFrom(PermitWait &Wait, const PermitGrant &Grant) {
  Wait.Answered = true;
  addGrant(Grant);
  auto Found = Impl->Entries.find(Wait.Id);
  return Found != Impl->Entries.end() && Found->second.Stock.take(Time.now());
}

AcquireStatus PermitPool::finish(const PermitWait &Wait) {
  auto Found = Impl->Entries.find(Wait.Id);
  if (Found != Impl->Entries.end() && Found->second.Stock.take(Time.now()))
    return AcquireStatus::Acquired;
  return Wait.Answered ? AcquireStatus::RateExceeded
                       : AcquireStatus::Unavailable;
}

std::optional<base::Duration>
PermitPool::timeToNextPermit(const base::ServiceName &Service,
                             const base::WorkspaceName &Workspace) const {
  auto Found = Impl->Entries.find(limitId(Service, Workspace));
  if (Found == Impl->Entries.end())
    return base::Duration();
  return Found->second.Hints.timeToNextPermit(Time.now());
}

PermitRequest &PermitPool::messageTo(const ownership::ShardId &Shard) {
  PermitRequest &Message = Impl->Outbox[Shard];
  if (Message.Sequence == 0) {
    Message.From = Self;
    Message.Shard = Shard;
    Message.Sequence = ++Impl->LastSequence;
  }
  return Message;
}

void PermitPool::prefetch(LimitId Id, const Limit &Whole, Entry &Held,
                          base::BootTime Now) {
  Held.NextPrefetch = Now + kPrefetchInterval;
  std::uint16_t Missing = missing(Held, Whole, Now);
  if (Missing == 0)
    return;
  std::size_t Asked = 0;
  for (const SliceEstimates::Choice &One : Held.Hints.choices(Now)) {
    // A grantor keeps half of its level back from prefetches.
    const double Likely = std::floor(One.Level / 2);
    if (Likely < 1)
      continue;
    const auto Want =
        static_cast<std::uint16_t>(std::min<double>(Missing, Likely));
    const SliceRequest Ask{Id, One.Slice, 0, Want};
    messageTo(sliceAt(Id, Whole, Limits.placement(), One.Slice).Shard)
        .SliceRequests.push_back(Ask);
    Held.Asked += Want;
    Held.Hints.asked(One.Slice, Want, Now);
    Missing -= Want;
    if (Missing == 0 || ++Asked == kMaxAttempts)
      return;
  }
}

// A message to an owner takes all reports for it along.
void PermitPool::collectReports(LimitId Id, const Limit *Whole, Entry &Held,
                                base::BootTime Now) {
  const PermitStock::ReportRule Rule{Held.Hints.sliceBurst(),
                                     Whole ? reportInterval(*Whole)
                                           : base::Duration::zero()};
  const auto HasMessage = [this](const ownership::ShardId &Shard) {
    return Impl->Outbox.count(Shard) != 0;
  };
  for (PermitStock::DueReport &Due :
       Held.Stock.dueReports(Id, Rule, HasMessage, Now))
    messageTo(Due.Shard).Reports.push_back(Due.Report);
}

std::vector<PermitRequest> PermitPool::tick() {
  const base::BootTime Now = Time.now();
  dropLatePending(Now);
  Impl->Outbox.clear();
  for (auto &[Id, Held] : Impl->Entries) {
    const Limit *Whole = Limits.find(Id);
    if (Whole && Now >= Held.NextPrefetch) {
      Held.Hints.update(Id, *Whole, Limits.placement(),
                        Limits.placementVersion(), Impl->Order);
      prefetch(Id, *Whole, Held, Now);
    }
    collectReports(Id, Whole, Held, Now);
  }
  std::erase_if(Impl->Entries, [Now](const auto &Item) {
    return Item.second.Stock.empty() && Now >= Item.second.DemandAt + kIdleTime;
  });
  std::vector<PermitRequest> Messages;
  for (auto &[Shard, Message] : Impl->Outbox) {
    if (!Message.SliceRequests.empty())
      Impl->Waiting[Message.Sequence] = {Now, Message.SliceRequests};
    Messages.push_back(std::move(Message));
  }
  return Messages;
}

void PermitPool::addGrant(const PermitGrant &Grant) {
  auto Found = Impl->Waiting.find(Grant.Sequence);
  if (Grant.To != Self || Found == Impl->Waiting.end())
    return;
  const base::BootTime Now = Time.now();
  for (const SliceGrant &Answer : Grant.SliceGrants) {
    auto Held = Impl->Entries.find(Answer.Limit);
    if (Held == Impl->Entries.end())
      continue;
    Held->second.Hints.heard(Answer.Slice, Answer.LevelHundredths / 100.0, Now);
    if (Answer.Granted > 0)
      Held->second.Stock.add(Grant, Answer, Found->second.SentAt, Now);
  }
  forgetPending(Grant.Sequence, true);
}

void PermitPool::onRequestFailed(std::uint64_t Sequence) {
  forgetPending(Sequence, false);
}

void PermitPool::forgetPending(std::uint64_t Sequence, bool WasAnswered) {
  auto Found = Impl->Waiting.find(Sequence);
  if (Found == Impl->Waiting.end())
    return;
  for (const SliceRequest &Ask : Found->second.Asks) {
    auto Held = Impl->Entries.find(Ask.Limit);
    if (Held == Impl->Entries.end())
      continue;
    Held->second.Asked -=
        std::min<std::uint32_t>(Held->second.Asked, Ask.Need + Ask.Want);
    if (!WasAnswered)
      Held->second.Hints.unanswered(Ask.Slice, Time.now());
  }
  Impl->Waiting.erase(Found);
}

// An answer that comes later than the expiry is of no use.
void PermitPool::dropLatePending(base::BootTime Now) {
  while (!Impl->Waiting.empty()) {
    const auto &[Sequence, First] = *Impl->Waiting.begin();
    if (Now < First.SentAt + kPermitExpiry)
      return;
    forgetPending(Sequence, false);
  }
}

std::size_t PermitPool::size() const { return Impl->Entries.size(); }

} // namespace ratelimit
