#include "relay/callcorrelator.h"

#include <iterator>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Largest difference between the deadlines of a request and its calls.
/// Remaining times are passed on in whole milliseconds, and a daemon at its CPU
/// limit reads a call up to 100 ms late.
constexpr base::Duration kDeadlineTolerance = 100ms;

base::Duration distance(base::BootTime A, base::BootTime B) {
  return A < B ? B - A : A - B;
}

} // namespace

void CallCorrelator::add(const base::CallId &CallId, base::BootTime Deadline,
                         const execution::RequestScope &Scope) {
  ById[CallId] =
      Requests.emplace(Deadline, ActiveRequest{CallId, Scope, false});
}

bool CallCorrelator::remove(const base::CallId &CallId) {
  const auto Found = ById.find(CallId);
  if (Found == ById.end())
    return false;
  const bool Congested = Found->second->second.Congested;
  Requests.erase(Found->second);
  ById.erase(Found);
  return Congested;
}

void CallCorrelator::markCongested(const base::CallId &CallId) {
  const auto Found = ById.find(CallId);
  if (Found != ById.end())
    Found->second->second.Congested = true;
}

std::optional<CallCorrelator::ActiveRequest>
CallCorrelator::findParent(base::BootTime Deadline) const {
  auto Nearest = Requests.lower_bound(Deadline);
  if (Nearest != Requests.begin()) {
    const auto Before = std::prev(Nearest);
    if (Nearest == Requests.end() ||
        distance(Before->first, Deadline) < distance(Nearest->first, Deadline))
      Nearest = Before;
  }
  if (Nearest == Requests.end() ||
      distance(Nearest->first, Deadline) > kDeadlineTolerance)
    return std::nullopt;
  return Nearest->second;
}

} // namespace relay
