#include "overload/admissioncontroller.h"

#include <algorithm>
#include <optional>

namespace overload {

namespace {

/// Weight of older intervals in the numbers of offered requests.
constexpr double kHistoryWeight = 0.7;

/// Admitted requests after a raise, relative to those that the backend server
/// took in the interval; the rest of its capacity drains the queue.
constexpr double kLoadAfterRaise = 0.95;
constexpr double kSmallestCut = 0.05;
constexpr double kLargestCut = 0.5;

/// A wait that has fallen to this share shows that the last raise works.
constexpr double kFallingWait = 0.9;

/// Part of the way to the last overload that one calm interval covers.
constexpr std::uint32_t kApproachDivisor = 4;

} // namespace

AdmissionController::AdmissionController(const base::Clock &Time,
                                         AdmissionSettings Settings)
    : Time(Time), Settings(Settings), IntervalStart(Time.now()) {}

bool AdmissionController::admit(base::PriorityClass Class, std::uint8_t Value) {
  const std::uint8_t Bounded = std::min<std::uint8_t>(Value, kValueCount - 1);
  Offered[Level{Class, Bounded}.index()] += 1;
  if (!level().admits(Class, Bounded))
    return false;
  ++Admitted;
  return true;
}

void AdmissionController::tick(const ClassWaits &OldestWaits) {
  for (std::size_t Class = 0; Class < OldestWaits.size(); ++Class) {
    base::Duration &Shortest = ShortestWaits[Class];
    Shortest =
        AnyTick ? std::min(Shortest, OldestWaits[Class]) : OldestWaits[Class];
  }
  AnyTick = true;
  if (Time.now() - IntervalStart >= Settings.Interval)
    finishInterval();
}

void AdmissionController::finishInterval() {
  const auto Delayed = std::find_if(
      ShortestWaits.begin(), ShortestWaits.end(),
      [this](base::Duration Wait) { return Wait > Settings.Target; });
  if (Delayed == ShortestWaits.end()) {
    WaitBefore = {};
    loosen();
  } else {
    const auto Class =
        static_cast<base::PriorityClass>(Delayed - ShortestWaits.begin());
    tighten(Class, *std::max_element(Delayed, ShortestWaits.end()));
  }
  for (double &Count : Offered)
    Count *= kHistoryWeight;
  Admitted = 0;
  Started = 0;
  AnyTick = false;
  IntervalStart = Time.now();
}

void AdmissionController::tighten(base::PriorityClass Delayed,
                                  base::Duration Wait) {
  const bool Falling = Wait < WaitBefore * kFallingWait;
  WaitBefore = Wait;
  if (Falling)
    return;
  const double Load = Admitted == 0 ? 1.0 : double(Started) / Admitted;
  const double Cut =
      std::clamp(1 - kLoadAfterRaise * Load, kSmallestCut, kLargestCut);
  const std::uint32_t Floor = Level{Delayed, 0}.index();
  OverloadIndex = Index;
  Step = 1;
  Index = std::max(std::min(Floor, Index), indexWithout(Cut));
}

void AdmissionController::loosen() {
  if (Index < OverloadIndex) {
    const std::uint32_t Way = (OverloadIndex - Index) / kApproachDivisor;
    Index += std::max<std::uint32_t>(Way, 1);
    return;
  }
  Index = std::min(Index + Step, kLevelCount - 1);
  Step *= 2;
}

std::uint32_t AdmissionController::indexWithout(double Share) const {
  double Total = 0;
  for (std::uint32_t At = 0; At <= Index; ++At)
    Total += Offered[At];
  double Removed = 0;
  std::uint32_t Result = Index;
  while (Result > 0 && Removed < Share * Total) {
    Removed += Offered[Result];
    --Result;
  }
  return Result;
}

} // namespace overload
