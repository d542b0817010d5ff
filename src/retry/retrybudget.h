#ifndef JACKDAW_RETRY_RETRYBUDGET_H
#define JACKDAW_RETRY_RETRYBUDGET_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace retry {

/// Length of the sliding window over which a budget counts attempts.
inline constexpr base::Duration kBudgetWindow = std::chrono::seconds(10);

/// Number of retries that a budget allows per window without any first
/// attempts.
inline constexpr std::uint64_t kBudgetFloor = 10;

/// Additional retries per hundred first attempts in the window.
inline constexpr std::uint64_t kBudgetPercent = 10;

/// Limits of a retry budget; see `kBudgetFloor` and `kBudgetPercent`.
struct RetryBudgetSettings {
  std::uint64_t Floor = kBudgetFloor;
  std::uint64_t Percent = kBudgetPercent;
};

/// Limits the retries of one (service, workspace) pair at one daemon. In every
/// interval of the window's length, the number of retries is at most `Percent`
/// percent of the number of first attempts plus `Floor`.
class RetryBudget {
public:
  RetryBudget() = default;
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}

  void configure(RetryBudgetSettings NewSettings) { Settings = NewSettings; }

  void recordFirstAttempt(base::BootTime Now);

  /// Whether the budget allows a retry now. Consumes nothing.
  bool allows(base::BootTime Now);

  /// Consumes one retry. Returns false if the budget allows none now.
  [[nodiscard]] bool consume(base::BootTime Now);

  /// Whether the window contains neither first attempts nor retries.
  bool isIdle(base::BootTime Now) const;

private:
  struct Slot {
    std::uint64_t FirstAttempts = 0;
    std::uint64_t Retries = 0;
  };

  static constexpr std::size_t kSlots = 10;
  static constexpr base::Duration kSlotLength = kBudgetWindow / kSlots;

  /// Clears the slots that have left the window and returns the slot of `Now`.
  Slot &advanceTo(base::BootTime Now);

  RetryBudgetSettings Settings;

  /// Ring buffer with one slot more than the window. Retries are counted in all
  /// slots, first attempts in all but the oldest, so that rounding to slots
  /// never allows more retries than the exact window would.
  std::array<Slot, kSlots + 1> Slots{};
  /// Number of the latest slot since the clock's epoch.
  std::int64_t Current = 0;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYBUDGET_H
