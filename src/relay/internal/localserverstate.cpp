#include "relay/localserverstate.h"

#include <algorithm>
#include <utility>

namespace relay {

namespace {

/// Number of processes and deregistrations that are remembered.
constexpr std::size_t kMaxRemembered = 16;

template <typename T> void addBounded(std::deque<T> &List, T Added) {
  List.push_back(std::move(Added));
  if (List.size() > kMaxRemembered)
    List.pop_front();
}

std::uint64_t toMillis(base::WallTime Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.time_since_epoch())
          .count());
}

} // namespace

LocalServerState::Process *
LocalServerState::find(const ServerIncarnation &Named) {
  if (isCurrent(Named))
    return &*Current;
  const auto Found =
      std::find_if(Others.begin(), Others.end(), [&](const Process &Each) {
        return Each.Latest.Server == Named;
      });
  return Found == Others.end() ? nullptr : &*Found;
}

ReportResult LocalServerState::apply(const ServerReport &Received) {
  Process *Known = find(Received.Server);
  return Known == nullptr ? applyFirst(Received) : applyNext(*Known, Received);
}

ReportResult LocalServerState::applyFirst(const ServerReport &Received) {
  const base::BootTime Now = Clock->now();
  const bool Leaving = Received.Draining || leavesFromStart(Received.Server);
  const bool WasAvailable = available();
  addBounded(Others, Process{Received, false, Now, Now});
  if (Leaving)
    setLeaving(Others.back());
  if (!Current ||
      Received.Server.StartTimeMillis > Current->Latest.Server.StartTimeMillis)
    return makeCurrent(Received.Server);
  return WasAvailable == available() ? ReportResult::Undecided
                                     : ReportResult::Changed;
}

ReportResult LocalServerState::applyNext(Process &Known,
                                         const ServerReport &Received) {
  if (Received.Sequence <= Known.Latest.Sequence)
    return ReportResult::Stale;
  const bool WasAvailable = available();
  const std::uint32_t Slots = Known.Latest.Slots;
  Known.Latest = Received;
  if (Received.Draining)
    setLeaving(Known);
  Known.LastReportAt = Clock->now();
  if (!isCurrent(Received.Server) && succeeds(Known))
    return makeCurrent(Received.Server);
  if (WasAvailable != available())
    return ReportResult::Changed;
  if (!isCurrent(Received.Server))
    return ReportResult::Stale;
  return Slots == Received.Slots ? ReportResult::Unchanged
                                 : ReportResult::Changed;
}

/// Whether another process than the current one has taken its place.
bool LocalServerState::succeeds(const Process &Candidate) const {
  const base::Duration Needed =
      Current->Leaving ? kLeavingSuccessionTime : kSuccessionTime;
  const base::BootTime ReportingSince =
      std::max(Candidate.FirstReportAt, Current->LastReportAt);
  return Candidate.LastReportAt - ReportingSince >= Needed;
}

void LocalServerState::setLeaving(Process &Target) {
  const ServerIncarnation &Named = Target.Latest.Server;
  const bool IsKept =
      LastShutdown && LastShutdown->WithEarlier &&
      LastShutdown->Process.Id == Named.Id &&
      Named.StartTimeMillis <= LastShutdown->Process.StartTimeMillis;
  if (!std::exchange(Target.Leaving, true) && !IsKept)
    LastShutdown = {Named, false};
}

ReportResult LocalServerState::makeCurrent(const ServerIncarnation &Named) {
  const auto Found =
      std::find_if(Others.begin(), Others.end(), [&](const Process &Each) {
        return Each.Latest.Server == Named;
      });
  Process Successor = std::move(*Found);
  Others.erase(Found);
  if (Current)
    addBounded(Others, std::move(*Current));
  Current = std::move(Successor);
  return ReportResult::Changed;
}

bool LocalServerState::leaving() const {
  if (!Current)
    return false;
  // A caller can't tell processes with the same id apart.
  return Current->Leaving ||
         std::any_of(Others.begin(), Others.end(), [this](const Process &Each) {
           return Each.Leaving &&
                  Each.Latest.Server.Id == Current->Latest.Server.Id &&
                  Each.LastReportAt > Current->LastReportAt;
         });
}

bool LocalServerState::markLeaving(const std::string &Id) {
  const bool IsCurrent = Current && Current->Latest.Server.Id == Id;
  std::uint64_t LatestStart = toMillis(Clock->wallNow());
  // A process that has reported may have a later start time than the clock
  // shows now.
  if (IsCurrent)
    LatestStart = std::max(LatestStart, Current->Latest.Server.StartTimeMillis);
  addBounded(Deregistrations, {Id, Clock->now(), Clock->wallNow()});
  for (Process &Each : Others)
    if (Each.Latest.Server.Id == Id)
      Each.Leaving = true;
  if (IsCurrent)
    Current->Leaving = true;
  LastShutdown = {{Id, LatestStart}, true};
  return IsCurrent;
}

bool LocalServerState::markLeaving(const ServerIncarnation &Named) {
  if (Process *Known = find(Named))
    setLeaving(*Known);
  else
    addBounded(LeavingUnseen, Named);
  return isCurrent(Named);
}

void LocalServerState::restore(const ServerShutdown &Known) {
  markLeaving(Known.Process);
  if (Known.WithEarlier) {
    const base::WallTime At{
        std::chrono::milliseconds(Known.Process.StartTimeMillis)};
    const auto Ago =
        std::max(base::Duration::zero(), base::Duration(Clock->wallNow() - At));
    addBounded(Deregistrations, {Known.Process.Id, Clock->now() - Ago, At});
    if (Current && leavesFromStart(Current->Latest.Server))
      Current->Leaving = true;
  }
  LastShutdown = Known;
}

bool LocalServerState::leavesFromStart(const ServerIncarnation &Named) const {
  return std::find(LeavingUnseen.begin(), LeavingUnseen.end(), Named) !=
             LeavingUnseen.end() ||
         std::any_of(Deregistrations.begin(), Deregistrations.end(),
                     [&](const Deregistration &Each) {
                       return Each.Id == Named.Id &&
                              !startedAfter(Each, Named.StartTimeMillis);
                     });
}

/// Compares with the time of the deregistration as the wall clock showed it
/// then, or shows it now if it was set back.
bool LocalServerState::startedAfter(const Deregistration &Earlier,
                                    std::uint64_t StartTimeMillis) const {
  const base::WallTime AtNow =
      Clock->wallNow() - std::chrono::duration_cast<base::WallTime::duration>(
                             Clock->now() - Earlier.At);
  return StartTimeMillis > toMillis(std::min(Earlier.WallAt, AtNow));
}

} // namespace relay
