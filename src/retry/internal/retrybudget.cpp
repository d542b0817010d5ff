#include "retry/retrybudget.h"

#include <algorithm>

namespace retry {

RetryBudget::Slot &RetryBudget::advanceTo(base::BootTime Now) {
  const auto Count = static_cast<std::int64_t>(Slots.size());
  const std::int64_t Index = Now.time_since_epoch() / kSlotLength;
  const std::int64_t Steps =
      std::clamp<std::int64_t>(Index - Current, 0, Count);
  Current = std::max(Current, Index);
  for (std::int64_t Back = 0; Back < Steps; ++Back)
    Slots[static_cast<std::size_t>((Current - Back) % Count)] = Slot{};
  return Slots[static_cast<std::size_t>(Current % Count)];
}

void RetryBudget::recordFirstAttempt(base::BootTime Now) {
  ++advanceTo(Now).FirstAttempts;
}

bool RetryBudget::allows(base::BootTime Now) {
  advanceTo(Now);
  const auto Oldest = static_cast<std::size_t>(Current + 1) % Slots.size();
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
    Retries += Slots[Index].Retries;
    if (Index != Oldest)
      FirstAttempts += Slots[Index].FirstAttempts;
  }
  return Retries < Settings.Floor + FirstAttempts * Settings.Percent / 100;
}

bool RetryBudget::consume(base::BootTime Now) {
  if (!allows(Now))
    return false;
  ++advanceTo(Now).Retries;
  return true;
}

bool RetryBudget::isIdle(base::BootTime Now) const {
  const auto Count = static_cast<std::int64_t>(Slots.size());
  return Now.time_since_epoch() / kSlotLength - Current >= Count;
}

} // namespace retry
