#include "routing/internal/spillovercontroller.h"

#include <algorithm>
#include <cmath>

namespace routing {

namespace {

using namespace std::chrono_literals;

// Several round trips between regions, so that one step shows its effect before
// the next.
constexpr base::Duration kWindow = 200ms;

constexpr double kRefusedRatio = 0.05;
constexpr double kStep = 0.05;
constexpr double kDecay = 0.8;

// The rest keeps testing the near locality.
constexpr double kMaxShare = 0.9;

} // namespace

bool SpillControl::record(bool Refused, base::BootTime Now) {
  LastRefused = false;
  advance(Now);
  ++Calls;
  Refusals += Refused;
  return LastRefused;
}

double SpillControl::share(base::BootTime Now) {
  if (Share > 0)
    advance(Now);
  return Share;
}

void SpillControl::advance(base::BootTime Now) {
  if (Now - WindowStart < kWindow)
    return;
  const double Ratio = Calls == 0 ? 0 : double(Refusals) / Calls;
  const auto Windows = double((Now - WindowStart) / kWindow);
  if (Ratio > kRefusedRatio) {
    Share = std::min(kMaxShare, Share + std::min(kStep, Ratio));
    LastRefused = true;
    Share *= std::pow(kDecay, Windows - 1);
  } else {
    Share *= std::pow(kDecay, Windows);
  }
  if (Share < kStep / 10)
    Share = 0;
  WindowStart = Now;
  Calls = 0;
  Refusals = 0;
}

} // namespace routing
