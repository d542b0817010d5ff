#include "retry/retryallowance.h"

#include <algorithm>

namespace retry {

AllowanceGrant RetryAllowance::grant() {
  const std::uint32_t Units = Remaining - Remaining / 2;
  Remaining -= Units;
  return AllowanceGrant(Units);
}

void RetryAllowance::reclaim(AllowanceGrant Grant, std::uint32_t Unused) {
  if (!Closed)
    Remaining += std::min(Grant.units(), Unused);
}

bool RetryAllowance::consume() {
  if (Remaining == 0)
    return false;
  --Remaining;
  return true;
}

std::uint32_t RetryAllowance::close() {
  const std::uint32_t Units = Remaining;
  Remaining = 0;
  Closed = true;
  return Units;
}

} // namespace retry
