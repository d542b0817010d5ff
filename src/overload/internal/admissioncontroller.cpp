#include "overload/admissioncontroller.h"

#include <algorithm>

namespace overload {

namespace {

/// Factor by which request counts decay per interval.
constexpr double kCountDecayFactor = 0.7;

/// Admitted load after the level is tightened, relative to the rate at which
/// the backend server takes requests; the rest of its capacity drains the
/// queue.
constexpr double kLoadAfterTightening = 0.92;
/// Least share of the admitted requests that remains after one tightening.
constexpr double kMinKeptShare = 0.5;

/// Below this ratio of admitted to started requests the queue is draining, so
/// the level is not tightened further.
constexpr double kDrainingLoadRatio = 0.97;

/// Intervals to wait for the effect of a tightening before the next one.
constexpr int kMinIntervalsBetweenTightenings = 3;

/// Fraction of the distance to the sustainable level that is recovered in an
/// interval without excess delay.
constexpr double kRecoveryFraction = 0.5;

/// First step beyond the sustainable level, and the growth of the step per
/// interval without excess delay.
constexpr double kInitialStep = 0.3;
constexpr double kStepGrowth = 1.3;

/// Unused fraction of the target delay above which steps grow.
constexpr double kMinHeadroomForGrowth = 0.75;

constexpr double kOpenPosition = kLevelCount - 1;

} // namespace

AdmissionController::AdmissionController(const base::Clock &Clock,
                                         AdmissionSettings Settings)
    : Clock(Clock), Settings(Settings), Step(kInitialStep),
      IntervalStart(Clock.now()) {}

bool AdmissionController::admit(base::PriorityClass Class, std::uint8_t Rank) {
  const std::uint8_t Bounded = std::min<std::uint8_t>(Rank, kRankCount - 1);
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
  if (Clock.now() - IntervalStart >= Settings.Interval)
    finishInterval();
}

void AdmissionController::finishInterval() {
  ++IntervalsSinceTightening;
  const auto Delayed = std::find_if(
      ShortestWaits.begin(), ShortestWaits.end(),
      [this](base::Duration Wait) { return Wait > Settings.Target; });
  if (Delayed == ShortestWaits.end()) {
    loosen();
  } else {
    tighten(static_cast<base::PriorityClass>(Delayed - ShortestWaits.begin()));
  }
  for (double &Count : Offered)
    Count *= kCountDecayFactor;
  Admitted *= kCountDecayFactor;
  Started *= kCountDecayFactor;
  Ticks = 0;
  WaitSum = {};
  IntervalStart = Clock.now();
}

void AdmissionController::tighten(base::PriorityClass Delayed) {
  Step = kInitialStep;
  if (IntervalsSinceTightening < kMinIntervalsBetweenTightenings ||
      Admitted < kDrainingLoadRatio * Started)
    return;
  IntervalsSinceTightening = 0;
  const double StartedShare =
      Admitted == 0 ? 1.0 : std::min(1.0, Started / Admitted);
  const double KeptShare =
      std::max(kLoadAfterTightening * StartedShare, kMinKeptShare);
  const std::uint32_t Index = level().index();
  // Classes above the delayed one stay admitted in full.
  const std::uint32_t LowestIndex =
      std::min(AdmissionLevel{Delayed, 0}.index(), Index);
  SustainablePosition =
      std::max(LowestIndex, indexAfterRemoving(1 - StartedShare));
  Position = std::max(LowestIndex, indexAfterRemoving(1 - KeptShare));
  // Requests admitted under the old level would make the next tightening too
  // strict.
  Admitted = 0;
  Started = 0;
}

void AdmissionController::loosen() {
  if (Position + 1 < SustainablePosition) {
    Position += kRecoveryFraction * (SustainablePosition - Position);
    return;
  }
  // A queue that starts to build up means that the level is close to the
  // sustainable one, so steps become small again.
  const double MeanWait = double(WaitSum.count()) / Ticks;
  const double Headroom = 1 - MeanWait / double(Settings.Target.count());
  Step = Headroom > kMinHeadroomForGrowth ? Step * kStepGrowth : kInitialStep;
  Position = std::min(Position + Step * std::max(Headroom, 0.0), kOpenPosition);
}

std::uint32_t AdmissionController::indexAfterRemoving(double Share) const {
  const std::uint32_t Index = level().index();
  double Total = 0;
  for (std::uint32_t Candidate = 0; Candidate <= Index; ++Candidate)
    Total += Offered[Candidate];
  double Removed = 0;
  std::uint32_t Result = Index;
  while (Result > 0 && Removed < Share * Total) {
    Removed += Offered[Result];
    --Result;
  }
  return Result;
}

} // namespace overload
