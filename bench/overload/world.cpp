#include "world.h"

#include "overload/requestrank.h"

#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace bench {

namespace {

constexpr std::size_t kEntries = 2;
constexpr int kTickMs = 10;
constexpr int kStaleMs = 1000;

constexpr int kLastOfShortRoute = 1;

overload::RouteName routeEndingAt(int LastService) {
  return overload::RouteName("to" + std::to_string(LastService));
}

overload::RouteKey keyOf(int Service, int LastService) {
  return {base::ServiceName("service" + std::to_string(Service)),
          routeEndingAt(LastService)};
}

base::WorkspaceName nameOf(std::size_t Owner) {
  return base::WorkspaceName("workspace" + std::to_string(Owner));
}

} // namespace

World::World(const Scenario &Case, const Variant &Mechanisms,
             std::uint32_t Seed)
    : Case(Case), Mechanisms(Mechanisms), Engine(Seed), Services(kServices) {
  for (auto &Service : Services)
    for (int Index = 0; Index < kNodesPerService; ++Index)
      Service.push_back(std::make_unique<Node>(Clock, Mechanisms));
  for (std::size_t Index = 0; Index < kEntries; ++Index)
    Entries.push_back(std::make_unique<EntryDaemon>(Clock));
}

Observations World::run() {
  for (NowMs = 0; NowMs < kEndMs; ++NowMs) {
    Clock.advance(std::chrono::milliseconds(1));
    arrive();
    passDeadlines();
    for (int Service = 0; Service < kServices; ++Service) {
      for (auto &Daemon : Services[Service]) {
        for (const base::RequestId &Id : Daemon->work())
          workDone(Id);
        for (const base::RequestId &Id : Daemon->takeExpired())
          refuse(Id);
        startCalls(Service, *Daemon);
        if (NowMs % kTickMs == 0)
          Daemon->tick();
        if (NowMs % kStaleMs == 0)
          Daemon->Levels.removeStale();
      }
    }
  }
  return Seen;
}

bool World::triggered() const {
  return NowMs >= kTriggerStartMs && NowMs < kTriggerEndMs;
}

double World::unit() { return boost::random::uniform_01<double>()(Engine); }

void World::arrive() {
  for (std::size_t Owner = 0; Owner < kWorkspaces; ++Owner) {
    for (std::size_t Class = 0; Class < kClassShares.size(); ++Class) {
      const double PerMs = demandOf(Case, triggered(), Owner, Class) / 1000;
      int Count = boost::random::poisson_distribution<int>(PerMs)(Engine);
      for (; Count > 0; --Count)
        begin({Owner, static_cast<base::PriorityClass>(Class), NowMs,
               Case.MaxRetries,
               unit() < Case.ShortShare ? kLastOfShortRoute : kServices - 1});
    }
  }
  const auto Due = Retries.upper_bound(NowMs);
  const std::vector<std::pair<int, Request>> Again(Retries.begin(), Due);
  Retries.erase(Retries.begin(), Due);
  for (const auto &[Time, Origin] : Again)
    begin(Origin);
}

void World::begin(const Request &Origin) {
  base::RequestId Id;
  base::RootId Root;
  ++LastId;
  std::memcpy(Id.Bytes.data(), &LastId, sizeof(LastId));
  Root.Bytes = Id.Bytes;
  Attempt New;
  New.Origin = Origin;
  New.DeepCallsLeft = Case.DeepCalls;
  New.Deadline = Clock.now() + std::chrono::milliseconds(kDeadlineMs);
  New.Entry = std::min<std::size_t>(kEntries * unit(), kEntries - 1);
  EntryDaemon &Entry = *Entries[New.Entry];
  const base::WorkspaceName Name = nameOf(Origin.Owner);
  New.Value =
      overload::requestRank(Root, Name, overload::rankPeriod(Clock.wallNow()));
  if (Mechanisms.Correction)
    New.Value = Entry.Demand.adjustedRank(Name, Origin.Class, New.Value);
  if (Mechanisms.Admission && !Entry.Table.admits(keyOf(0, Origin.LastService),
                                                  Origin.Class, New.Value)) {
    lose(Origin);
    return;
  }
  Deadlines.emplace(New.Deadline, Id);
  Attempts.emplace(Id, New);
  call(Id);
}

// Better of two random choices.
std::size_t World::choose(int Service) {
  const auto &Nodes = Services[Service];
  const auto First = static_cast<std::size_t>(Nodes.size() * unit());
  const auto Second = static_cast<std::size_t>(Nodes.size() * unit());
  return Nodes[First]->load() <= Nodes[Second]->load() ? First : Second;
}

void World::call(const base::RequestId &Id) {
  Attempt &Each = Attempts.at(Id);
  Each.Nodes[Each.Depth] = choose(Each.Depth);
  Node &Daemon = *Services[Each.Depth][Each.Nodes[Each.Depth]];
  if (Mechanisms.Admission &&
      !Daemon.Admission.admit(Each.Origin.Class, Each.Value)) {
    refuse(Id);
    return;
  }
  overload::QueueEntry Entry{Id, nameOf(Each.Origin.Owner), Each.Origin.Class,
                             Each.Deadline, Each.Waited};
  if (const auto Left = Daemon.push(Entry))
    refuse(*Left);
}

void World::startCalls(int Service, Node &Daemon) {
  const bool Deep = Service == kServices - 1;
  const double Slowdown = Deep && triggered() ? Case.DeepSlowdown : 1;
  const double MeanMs = Slowdown * kMeanWorkMs / (Deep ? Case.DeepCalls : 1);
  while (const auto Next = Daemon.next()) {
    const auto Found = Attempts.find(Next->Entry.Id);
    if (Found != Attempts.end())
      Found->second.Waited += Next->WaitTime;
    Daemon.start(Next->Entry.Id, MeanMs * (0.5 + unit()));
  }
}

void World::workDone(const base::RequestId &Id) {
  Attempt &Each = Attempts.at(Id);
  if (Each.Depth < Each.Origin.LastService) {
    ++Each.Depth;
    call(Id);
  } else if (Each.Depth == kServices - 1 && --Each.DeepCallsLeft > 0) {
    Services[Each.Depth][Each.Nodes[Each.Depth]]->finish(
        Id, overload::CallCompletion::Responded);
    reportLevel(Each, Each.Depth);
    call(Id);
  } else {
    respond(Id);
  }
}

void World::respond(const base::RequestId &Id) {
  const Attempt Each = Attempts.at(Id);
  unwind(Id, Each.Depth, overload::CallCompletion::Responded);
  if (Clock.now() <= Each.Deadline)
    record(Each.Origin, true);
}

/// The call at the attempt's depth did not run; the calls above it end.
void World::refuse(const base::RequestId &Id) {
  const Attempt Each = Attempts.at(Id);
  reportLevel(Each, Each.Depth);
  unwind(Id, Each.Depth - 1, overload::CallCompletion::Responded);
  if (Clock.now() < Each.Deadline || Mechanisms.Queue)
    lose(Each.Origin);
}

void World::unwind(const base::RequestId &Id, int From,
                   overload::CallCompletion End) {
  const Attempt Each = Attempts.at(Id);
  for (int Depth = From; Depth >= 0; --Depth) {
    Services[Depth][Each.Nodes[Depth]]->finish(Id, End);
    reportLevel(Each, Depth);
  }
  Attempts.erase(Id);
}

void World::reportLevel(const Attempt &Each, int Depth) {
  const overload::RouteName Route = routeEndingAt(Each.Origin.LastService);
  const overload::RouteKey Key = keyOf(Depth, Each.Origin.LastService);
  const overload::AdmissionLevel Reported =
      Services[Depth][Each.Nodes[Depth]]->responseLevel(Route);
  if (Depth == 0)
    Entries[Each.Entry]->Table.record(Key, Reported);
  else
    Services[Depth - 1][Each.Nodes[Depth - 1]]->Levels.record(Route, Key,
                                                              Reported);
}

// Without the mechanisms the caller gives up, but the work goes on.
void World::passDeadlines() {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Clock.now()) {
    const base::RequestId Id = Deadlines.begin()->second;
    Deadlines.erase(Deadlines.begin());
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      continue;
    const Attempt Each = Found->second;
    lose(Each.Origin);
    if (!Mechanisms.Queue)
      continue;
    Services[Each.Depth][Each.Nodes[Each.Depth]]->cancel(Id);
    unwind(Id, Each.Depth, overload::CallCompletion::Cancelled);
  }
}

void World::lose(const Request &Origin) {
  const int RetryAt = NowMs + Case.RetryAfterMs;
  if (Origin.RetriesLeft == 0 || RetryAt >= Origin.BornMs + kPatienceMs) {
    record(Origin, false);
    return;
  }
  Request Again = Origin;
  --Again.RetriesLeft;
  Retries.emplace(RetryAt, Again);
}

void World::record(const Request &Origin, bool Completed) {
  if (Completed)
    Seen.Goodput[NowMs / 100] += 1;
  if (Origin.BornMs < kTriggerStartMs ||
      Origin.BornMs >= kTriggerEndMs - kPatienceMs)
    return;
  Counts &Table = Completed ? Seen.Completed : Seen.Lost;
  Table[Origin.Owner][static_cast<std::size_t>(Origin.Class)] += 1;
}

} // namespace bench
