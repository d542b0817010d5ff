#include "retry/retryallowance.h"

#include <algorithm>

namespace retry {

AllowanceGrant RetryAllowance::grant() {
  const std::uint32_t Units = Left - Left / 2;
  Left -= Units;
  return AllowanceGrant(Units);
}

void RetryAllowance::reclaim(AllowanceGrant Grant, std::uint32_t Unused) {
  if (!Closed)
    Left += std::min(Grant.units(), Unused);
}

bool RetryAllowance::consume() {
  if (Left == 0)
    return false;
  --Left;
  return true;
}

std::uint32_t RetryAllowance::close() {
  const std::uint32_t Units = Left;
  Left = 0;
  Closed = true;
  return Units;
}

} // namespace retry
