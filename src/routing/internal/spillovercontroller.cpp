#include "routing/internal/spillovercontroller.h"

#include <algorithm>
#include <cmath>

namespace routing {

namespace {

using namespace std::chrono_literals;

// Several round trips between regions, so that the effect of one step shows
// before the next.
constexpr base::Duration kWindow = 200ms;

// Ratio of refused calls above which the share grows.
constexpr double kToleratedRefusals = 0.05;
// Largest growth of the share per window.
constexpr double kMaxStep = 0.05;
constexpr double kDecayPerWindow = 0.8;

// The remaining calls keep testing the near locality.
constexpr double kMaxShare = 0.9;

} // namespace

bool SpilloverController::record(bool Refused, base::BootTime Now) {
  LastWindowRefused = false;
  advance(Now);
  ++Calls;
  Refusals += Refused;
  return LastWindowRefused;
}

double SpilloverController::share(base::BootTime Now) {
  if (Share > 0)
    advance(Now);
  return Share;
}

void SpilloverController::advance(base::BootTime Now) {
  if (Now - WindowStart < kWindow)
    return;
  const double Ratio = Calls == 0 ? 0 : double(Refusals) / Calls;
  const auto Windows = double((Now - WindowStart) / kWindow);
  if (Ratio > kToleratedRefusals) {
    Share = std::min(kMaxShare, Share + std::min(kMaxStep, Ratio));
    LastWindowRefused = true;
    Share *= std::pow(kDecayPerWindow, Windows - 1);
  } else {
    Share *= std::pow(kDecayPerWindow, Windows);
  }
  if (Share < kMaxStep / 10)
    Share = 0;
  WindowStart = Now;
  Calls = 0;
  Refusals = 0;
}

} // namespace routing
