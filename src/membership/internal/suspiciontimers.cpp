#include "membership/internal/suspiciontimers.h"

#include <algorithm>
#include <cmath>

namespace membership {

namespace {

// Per power of ten of the number of members: a claim reaches the suspected
// member within about this time, and the refutation returns faster.
constexpr base::Duration kBaseSuspicionTimeout = std::chrono::seconds(4);

} // namespace

base::Duration SuspicionTimers::timeout() const {
  const double Size = double(Core.Table.presentCount()) + 1;
  const double Factor = std::max(1.0, std::log10(Size));
  const auto Timeout =
      std::chrono::duration<double>(kBaseSuspicionTimeout) * Factor;
  return Core.Health.scale(std::chrono::duration_cast<base::Duration>(Timeout));
}

void SuspicionTimers::start(const StateClaim &Claim) {
  const base::InstanceId &Instance = Claim.Process.Instance;
  const auto Found = Timers.find(Instance);
  if (Found != Timers.end() && Found->second.Claim == Claim)
    return;
  stop(Instance);
  const base::BootTime Deadline = Core.Now + timeout();
  Timers[Instance] = {Claim, Deadline};
  Deadlines.emplace(Deadline, Instance);
}

void SuspicionTimers::stop(const base::InstanceId &Instance) {
  const auto Found = Timers.find(Instance);
  if (Found == Timers.end())
    return;
  Deadlines.erase({Found->second.Deadline, Instance});
  Timers.erase(Found);
}

std::vector<StateClaim> SuspicionTimers::takeExpired() {
  std::vector<StateClaim> Result;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Core.Now) {
    const base::InstanceId Instance = Deadlines.begin()->second;
    StateClaim Claim = Timers.at(Instance).Claim;
    stop(Instance);
    const MemberEntry *Entry = Core.Table.find(Instance);
    if (!Entry || claimOf(Entry->Record) != Claim)
      continue;
    Claim.State = MemberState::Dead;
    Result.push_back(Claim);
  }
  return Result;
}

} // namespace membership
