#include "overload/admissioncontroller.h"

#include <algorithm>

namespace overload {

namespace {

/// Weight of older intervals in the numbers of requests.
constexpr double kHistoryWeight = 0.7;

/// Admitted requests after a raise, relative to what the backend server takes;
/// the rest of its capacity drains the queue.
constexpr double kLoadAfterRaise = 0.92;
constexpr double kLargestCut = 0.5;

/// Below this ratio of admitted requests to those that the backend server took,
/// the queue drains and the level is kept.
constexpr double kDrainingLoad = 0.97;

/// Intervals after a raise in which its effect is awaited.
constexpr int kIntervalsPerRaise = 3;

/// Part of the way to the sustainable level that one calm interval covers.
constexpr double kApproach = 0.5;

/// First step beyond the sustainable level, and its growth per calm interval.
constexpr double kFirstStep = 0.3;
constexpr double kStepGrowth = 1.3;

/// Part of the target delay that must be unused for steps to grow.
constexpr double kAmpleRoom = 0.75;

constexpr double kOpenPosition = kLevelCount - 1;

} // namespace

AdmissionController::AdmissionController(const base::Clock &Time,
                                         AdmissionSettings Settings)
    : Time(Time), Settings(Settings), Step(kFirstStep),
      IntervalStart(Time.now()) {}

bool AdmissionController::admit(base::PriorityClass Class, std::uint8_t Value) {
  const std::uint8_t Bounded = std::min<std::uint8_t>(Value, kRankCount - 1);
  Offered[AdmissionLevel{Class, Bounded}.index()] += 1;
  if (!level().admits(Class, Bounded))
    return false;
  Admitted += 1;
  return true;
}

void AdmissionController::tick(const ClassWaits &OldestWaits) {
  for (std::size_t Class = 0; Class < OldestWaits.size(); ++Class) {
    base::Duration &Shortest = ShortestWaits[Class];
    Shortest =
        Ticks > 0 ? std::min(Shortest, OldestWaits[Class]) : OldestWaits[Class];
  }
  ++Ticks;
  WaitSum += *std::max_element(OldestWaits.begin(), OldestWaits.end());
  if (Time.now() - IntervalStart >= Settings.Interval)
    finishInterval();
}

void AdmissionController::finishInterval() {
  ++IntervalsSinceRaise;
  const auto Delayed = std::find_if(
      ShortestWaits.begin(), ShortestWaits.end(),
      [this](base::Duration Wait) { return Wait > Settings.Target; });
  if (Delayed == ShortestWaits.end()) {
    loosen();
  } else {
    tighten(static_cast<base::PriorityClass>(Delayed - ShortestWaits.begin()));
  }
  for (double &Count : Offered)
    Count *= kHistoryWeight;
  Admitted *= kHistoryWeight;
  Started *= kHistoryWeight;
  Ticks = 0;
  WaitSum = {};
  IntervalStart = Time.now();
}

void AdmissionController::tighten(base::PriorityClass Delayed) {
  Step = kFirstStep;
  if (IntervalsSinceRaise < kIntervalsPerRaise ||
      Admitted < kDrainingLoad * Started)
    return;
  IntervalsSinceRaise = 0;
  const double Load = Admitted == 0 ? 1.0 : std::min(1.0, Started / Admitted);
  const double Kept = std::max(kLoadAfterRaise * Load, kLargestCut);
  const std::uint32_t Index = level().index();
  const std::uint32_t Floor =
      std::min(AdmissionLevel{Delayed, 0}.index(), Index);
  Sustainable = std::max(Floor, indexWithout(1 - Load));
  Position = std::max(Floor, indexWithout(1 - Kept));
  // Requests admitted before the raise would make the next one too strict.
  Admitted = 0;
  Started = 0;
}

void AdmissionController::loosen() {
  if (Position + 1 < Sustainable) {
    Position += kApproach * (Sustainable - Position);
    return;
  }
  // A queue that begins to build up shows that the level is nearly right.
  const double MeanWait = double(WaitSum.count()) / Ticks;
  const double Room = 1 - MeanWait / double(Settings.Target.count());
  Step = Room > kAmpleRoom ? Step * kStepGrowth : kFirstStep;
  Position = std::min(Position + Step * std::max(Room, 0.0), kOpenPosition);
}

std::uint32_t AdmissionController::indexWithout(double Share) const {
  const std::uint32_t Index = level().index();
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
