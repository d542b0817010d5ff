#include "overload/admissiontable.h"

#include <cmath>

namespace overload {

namespace {

/// A level without confirmation keeps its strictness for this long.
constexpr std::chrono::milliseconds kFreshFor{500};

/// Indices per second by which an older level loosens. The strictest level is
/// open after 2 s.
constexpr double kLooseningPerSecond = kLevelCount / 1.5;

/// Weight of one report in the moving average.
constexpr double kReportWeight = 0.3;

constexpr double kOpenIndex = kLevelCount - 1;

} // namespace

void AdmissionTable::record(const RouteKey &Route,
                            const AdmissionLevel &Reported) {
  if (!Reported.valid())
    return;
  const base::BootTime Now = Time.now();
  const double Index = Reported.index();
  const auto [Found, New] = Rows.try_emplace(Route, Row{kOpenIndex, Now});
  Row &Known = Found->second;
  const double Before = New ? kOpenIndex : indexNow(Known);
  Known.Index = Before + kReportWeight * (Index - Before);
  Known.LearnedAt = Now;
}

AdmissionLevel AdmissionTable::level(const RouteKey &Route) const {
  const auto Found = Rows.find(Route);
  if (Found == Rows.end())
    return {};
  return AdmissionLevel::fromIndex(
      static_cast<std::uint32_t>(std::lround(indexNow(Found->second))));
}

bool AdmissionTable::admits(const RouteKey &Route, base::PriorityClass Class,
                            std::uint8_t Value) const {
  return level(Route).admits(Class, Value);
}

void AdmissionTable::removeStale() {
  std::erase_if(Rows, [this](const auto &Item) {
    return indexNow(Item.second) >= kOpenIndex;
  });
}

double AdmissionTable::indexNow(const Row &Known) const {
  const base::Duration Age = Time.now() - Known.LearnedAt;
  if (Age <= kFreshFor)
    return Known.Index;
  const double Stale = std::chrono::duration<double>(Age - kFreshFor).count();
  return std::min(kOpenIndex, Known.Index + kLooseningPerSecond * Stale);
}

} // namespace overload
