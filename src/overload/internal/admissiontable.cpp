#include "overload/admissiontable.h"

#include <cmath>

namespace overload {

namespace {

/// Time for which an unconfirmed level keeps its strictness.
constexpr std::chrono::milliseconds kHoldTime{500};

/// Increase of the index per second after the hold time. The strictest level
/// is open again after 2 s in all.
constexpr double kLooseningPerSecond = kLevelCount / 1.5;

/// Weight of a new report in the moving average.
constexpr double kReportWeight = 0.3;

constexpr double kOpenIndex = kLevelCount - 1;

} // namespace

void AdmissionTable::record(const RouteKey &Route,
                            const AdmissionLevel &Reported) {
  if (!Reported.valid())
    return;
  const base::BootTime Now = Clock.now();
  const double Index = Reported.index();
  const auto [Found, New] =
      LearnedLevels.try_emplace(Route, LearnedLevel{kOpenIndex, Now});
  LearnedLevel &Learned = Found->second;
  const double Previous = New ? kOpenIndex : currentIndex(Learned);
  Learned.Index = Previous + kReportWeight * (Index - Previous);
  Learned.RecordedAt = Now;
}

AdmissionLevel AdmissionTable::level(const RouteKey &Route) const {
  const auto Found = LearnedLevels.find(Route);
  if (Found == LearnedLevels.end())
    return {};
  return AdmissionLevel::fromIndex(
      static_cast<std::uint32_t>(std::lround(currentIndex(Found->second))));
}

bool AdmissionTable::admits(const RouteKey &Route, base::PriorityClass Class,
                            std::uint8_t Rank) const {
  return level(Route).admits(Class, Rank);
}

void AdmissionTable::removeStale() {
  std::erase_if(LearnedLevels, [this](const auto &Item) {
    return currentIndex(Item.second) >= kOpenIndex;
  });
}

double AdmissionTable::currentIndex(const LearnedLevel &Learned) const {
  const base::Duration Age = Clock.now() - Learned.RecordedAt;
  if (Age <= kHoldTime)
    return Learned.Index;
  const double LooseningSeconds =
      std::chrono::duration<double>(Age - kHoldTime).count();
  return std::min(kOpenIndex,
                  Learned.Index + kLooseningPerSecond * LooseningSeconds);
}

} // namespace overload
