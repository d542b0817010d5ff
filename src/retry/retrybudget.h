#ifndef JACKDAW_RETRY_RETRYBUDGET_H
#define JACKDAW_RETRY_RETRYBUDGET_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace retry {

/// Length of the sliding window over which a budget counts.
inline constexpr base::Duration kBudgetWindow = std::chrono::seconds(10);

/// Retries that a budget grants in a window without any first attempts.
inline constexpr std::uint64_t kBudgetFloor = 10;

/// Further retries per hundred first attempts in the window.
inline constexpr std::uint64_t kBudgetPercent = 10;

/// How many retries a budget grants.
struct RetryBudgetSettings {
  std::uint64_t Floor = kBudgetFloor;
  std::uint64_t Percent = kBudgetPercent;
};

/// Limits the retries of one (service, workspace) at one daemon. Within every
/// stretch of time as long as the window, retries are at most
/// `Percent` of the first attempts plus `Floor`.
class RetryBudget {
public:
  RetryBudget() = default;
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}

  void configure(RetryBudgetSettings New) { Settings = New; }

  void recordFirstAttempt(base::BootTime Now);

  /// Whether a retry fits now; takes nothing.
  bool allows(base::BootTime Now);

  /// Takes one retry. False if none is left in the window.
  [[nodiscard]] bool consume(base::BootTime Now);

  /// Whether the window holds neither first attempts nor retries.
  bool idle(base::BootTime Now) const;

private:
  struct Slot {
    std::uint64_t FirstAttempts = 0;
    std::uint64_t Retries = 0;
  };

  static constexpr std::size_t kSlots = 10;
  static constexpr base::Duration kSlotLength = kBudgetWindow / kSlots;

  Slot &currentSlot(base::BootTime Now);

  RetryBudgetSettings Settings;

  /// One slot more than the window has. Retries count over all of them and
  /// first attempts without the oldest, so that rounding to slots never
  /// grants more than the exact window would.
  std::array<Slot, kSlots + 1> Slots{};
  std::int64_t Current = 0;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYBUDGET_H
