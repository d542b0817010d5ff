#include "relay/callcorrelator.h"

#include <iterator>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Largest difference between the deadlines of a request and its calls. Times
/// left are handed on in whole milliseconds, and a daemon at its processor's
/// limit reads a call up to a tenth of a second late.
constexpr base::Duration kDeadlineTolerance = 100ms;

base::Duration distance(base::BootTime A, base::BootTime B) {
  return A < B ? B - A : A - B;
}

} // namespace

void CallCorrelator::started(const base::RequestId &Call,
                             base::BootTime Deadline,
                             const execution::RequestScope &Scope) {
  Places[Call] = Underway.emplace(Deadline, Work{Call, Scope, false});
}

bool CallCorrelator::ended(const base::RequestId &Call) {
  const auto Found = Places.find(Call);
  if (Found == Places.end())
    return false;
  const bool Congested = Found->second->second.Congested;
  Underway.erase(Found->second);
  Places.erase(Found);
  return Congested;
}

void CallCorrelator::noteCongestion(const base::RequestId &Call) {
  const auto Found = Places.find(Call);
  if (Found != Places.end())
    Found->second->second.Congested = true;
}

std::optional<CallCorrelator::Work>
CallCorrelator::workFor(base::BootTime Deadline) const {
  auto Nearest = Underway.lower_bound(Deadline);
  if (Nearest != Underway.begin()) {
    const auto Before = std::prev(Nearest);
    if (Nearest == Underway.end() ||
        distance(Before->first, Deadline) < distance(Nearest->first, Deadline))
      Nearest = Before;
  }
  if (Nearest == Underway.end() ||
      distance(Nearest->first, Deadline) > kDeadlineTolerance)
    return std::nullopt;
  return Nearest->second;
}

} // namespace relay
