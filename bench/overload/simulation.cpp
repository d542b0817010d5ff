#include "simulation.h"

#include "overload/requestrank.h"

#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace bench {

namespace {

constexpr std::size_t kEntryDaemons = 2;
constexpr int kTickIntervalMs = 10;
constexpr int kRemoveStaleIntervalMs = 1000;

/// Index of the service at which the short route ends.
constexpr int kLastServiceOfShortRoute = 1;

overload::RouteName routeEndingAt(int LastService) {
  return overload::RouteName("to" + std::to_string(LastService));
}

overload::RouteKey keyOf(int Service, int LastService) {
  return {base::ServiceName("service" + std::to_string(Service)),
          routeEndingAt(LastService)};
}

base::WorkspaceName workspaceName(std::size_t Workspace) {
  return base::WorkspaceName("workspace" + std::to_string(Workspace));
}

} // namespace

Simulation::Simulation(const Scenario &Case, const Variant &Mechanisms,
                       std::uint32_t Seed)
    : Case(Case), Mechanisms(Mechanisms), RandomEngine(Seed),
      Services(kServices) {
  for (auto &Service : Services)
    for (int Index = 0; Index < kInstancesPerService; ++Index)
      Service.push_back(std::make_unique<Instance>(Clock, Mechanisms));
  for (std::size_t Index = 0; Index < kEntryDaemons; ++Index)
    EntryDaemons.push_back(std::make_unique<EntryDaemon>(Clock));
}

Observations Simulation::run() {
  for (NowMs = 0; NowMs < kEndMs; ++NowMs) {
    Clock.advance(std::chrono::milliseconds(1));
    generateArrivals();
    expireDeadlines();
    for (int Service = 0; Service < kServices; ++Service) {
      for (auto &Target : Services[Service]) {
        for (const base::CallId &Id : Target->work())
          onWorkDone(Id);
        for (const base::CallId &Id : Target->takeExpired())
          refuse(Id);
        startCalls(Service, *Target);
        if (NowMs % kTickIntervalMs == 0)
          Target->tick();
        if (NowMs % kRemoveStaleIntervalMs == 0)
          Target->Levels.removeStale();
      }
    }
  }
  return Results;
}

bool Simulation::triggered() const {
  return NowMs >= kTriggerStartMs && NowMs < kTriggerEndMs;
}

double Simulation::uniformRandom() {
  return boost::random::uniform_01<double>()(RandomEngine);
}

void Simulation::generateArrivals() {
  for (std::size_t Workspace = 0; Workspace < kWorkspaces; ++Workspace) {
    for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
      const double PerMs = demandOf(Case, triggered(), Workspace, Class) / 1000;
      int Count = boost::random::poisson_distribution<int>(PerMs)(RandomEngine);
      for (; Count > 0; --Count)
        startAttempt({Workspace, static_cast<base::PriorityClass>(Class), NowMs,
                      Case.MaxRetries,
                      uniformRandom() < Case.ShortRouteFraction
                          ? kLastServiceOfShortRoute
                          : kServices - 1});
    }
  }
  const auto Due = Retries.upper_bound(NowMs);
  const std::vector<std::pair<int, Request>> Retried(Retries.begin(), Due);
  Retries.erase(Retries.begin(), Due);
  for (const auto &[Time, Origin] : Retried)
    startAttempt(Origin);
}

void Simulation::startAttempt(const Request &Origin) {
  base::CallId Id;
  base::RootId Root;
  ++LastId;
  std::memcpy(Id.Bytes.data(), &LastId, sizeof(LastId));
  Root.Bytes = Id.Bytes;
  Attempt New;
  New.Origin = Origin;
  New.LastServiceCallsLeft = Case.LastServiceCalls;
  New.Deadline = Clock.now() + std::chrono::milliseconds(kAttemptTimeoutMs);
  New.Entry =
      std::min<std::size_t>(kEntryDaemons * uniformRandom(), kEntryDaemons - 1);
  EntryDaemon &Entry = *EntryDaemons[New.Entry];
  const base::WorkspaceName Name = workspaceName(Origin.Workspace);
  New.Rank =
      overload::requestRank(Root, Name, overload::rankPeriod(Clock.wallNow()));
  if (Mechanisms.RankAdjustment)
    New.Rank = Entry.Demand.adjustedRank(Name, Origin.Class, New.Rank);
  if (Mechanisms.Admission && !Entry.Table.admits(keyOf(0, Origin.LastService),
                                                  Origin.Class, New.Rank)) {
    failAttempt(Origin);
    return;
  }
  Deadlines.emplace(New.Deadline, Id);
  Attempts.emplace(Id, New);
  callService(Id);
}

// Power of two choices: takes the less loaded of two random instances.
std::size_t Simulation::chooseInstance(int Service) {
  const auto &Instances = Services[Service];
  const auto First =
      static_cast<std::size_t>(Instances.size() * uniformRandom());
  const auto Second =
      static_cast<std::size_t>(Instances.size() * uniformRandom());
  return Instances[First]->load() <= Instances[Second]->load() ? First : Second;
}

void Simulation::callService(const base::CallId &Id) {
  Attempt &Current = Attempts.at(Id);
  Current.Instances[Current.Depth] = chooseInstance(Current.Depth);
  Instance &Target = *Services[Current.Depth][Current.Instances[Current.Depth]];
  if (Mechanisms.Admission &&
      !Target.Admission.admit(Current.Origin.Class, Current.Rank)) {
    refuse(Id);
    return;
  }
  overload::QueueEntry Entry{Id, workspaceName(Current.Origin.Workspace),
                             Current.Origin.Class, Current.Deadline,
                             Current.PriorWait};
  if (const auto Removed = Target.push(Entry))
    refuse(*Removed);
}

void Simulation::startCalls(int Service, Instance &Target) {
  const bool AtLastService = Service == kServices - 1;
  const double Slowdown =
      AtLastService && triggered() ? Case.LastServiceSlowdown : 1;
  const double MeanMs =
      Slowdown * kMeanWorkMs / (AtLastService ? Case.LastServiceCalls : 1);
  while (const auto Next = Target.next()) {
    const auto Found = Attempts.find(Next->Entry.Id);
    if (Found != Attempts.end())
      Found->second.PriorWait += Next->WaitTime;
    Target.start(Next->Entry.Id, MeanMs * (0.5 + uniformRandom()));
  }
}

void Simulation::onWorkDone(const base::CallId &Id) {
  Attempt &Current = Attempts.at(Id);
  if (Current.Depth < Current.Origin.LastService) {
    ++Current.Depth;
    callService(Id);
  } else if (Current.Depth == kServices - 1 &&
             --Current.LastServiceCallsLeft > 0) {
    Services[Current.Depth][Current.Instances[Current.Depth]]->finish(
        Id, overload::CompletionStatus::Responded);
    reportLevel(Current, Current.Depth);
    callService(Id);
  } else {
    respond(Id);
  }
}

void Simulation::respond(const base::CallId &Id) {
  const Attempt Current = Attempts.at(Id);
  finishCalls(Id, Current.Depth, overload::CompletionStatus::Responded);
  if (Clock.now() <= Current.Deadline)
    record(Current.Origin, true);
}

// The call at the depth of the attempt was not run; the calls above it
// complete with a response. Without the fair queue, `expireDeadlines` has
// already failed an attempt whose deadline has passed.
void Simulation::refuse(const base::CallId &Id) {
  const Attempt Current = Attempts.at(Id);
  reportLevel(Current, Current.Depth);
  finishCalls(Id, Current.Depth - 1, overload::CompletionStatus::Responded);
  if (Clock.now() < Current.Deadline || Mechanisms.Queue)
    failAttempt(Current.Origin);
}

void Simulation::finishCalls(const base::CallId &Id, int FromDepth,
                             overload::CompletionStatus Completion) {
  const Attempt Current = Attempts.at(Id);
  for (int Depth = FromDepth; Depth >= 0; --Depth) {
    Services[Depth][Current.Instances[Depth]]->finish(Id, Completion);
    reportLevel(Current, Depth);
  }
  Attempts.erase(Id);
}

void Simulation::reportLevel(const Attempt &Current, int Depth) {
  const overload::RouteName Route = routeEndingAt(Current.Origin.LastService);
  const overload::RouteKey Key = keyOf(Depth, Current.Origin.LastService);
  const overload::AdmissionLevel Reported =
      Services[Depth][Current.Instances[Depth]]->responseLevel(Route);
  if (Depth == 0)
    EntryDaemons[Current.Entry]->Table.record(Key, Reported);
  else
    Services[Depth - 1][Current.Instances[Depth - 1]]->Levels.record(Route, Key,
                                                                     Reported);
}

// Without the fair queue, calls continue after the caller has abandoned the
// attempt.
void Simulation::expireDeadlines() {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Clock.now()) {
    const base::CallId Id = Deadlines.begin()->second;
    Deadlines.erase(Deadlines.begin());
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    const Attempt Current = Found->second;
    failAttempt(Current.Origin);
    if (!Mechanisms.Queue)
      continue;
    Services[Current.Depth][Current.Instances[Current.Depth]]->cancel(Id);
    finishCalls(Id, Current.Depth, overload::CompletionStatus::Cancelled);
  }
}

void Simulation::failAttempt(const Request &Origin) {
  const int RetryAt = NowMs + Case.RetryAfterMs;
  if (Origin.RetriesLeft == 0 ||
      RetryAt >= Origin.StartMs + kRequestTimeoutMs) {
    record(Origin, false);
    return;
  }
  Request Retried = Origin;
  --Retried.RetriesLeft;
  Retries.emplace(RetryAt, Retried);
}

void Simulation::record(const Request &Origin, bool Completed) {
  if (Completed)
    Results.GoodputBins[NowMs / 100] += 1;
  if (Origin.StartMs < kTriggerStartMs ||
      Origin.StartMs >= kTriggerEndMs - kRequestTimeoutMs)
    return;
  PerWorkspaceAndClass &Table = Completed ? Results.Completed : Results.Lost;
  Table[Origin.Workspace][static_cast<std::size_t>(Origin.Class)] += 1;
}

} // namespace bench
