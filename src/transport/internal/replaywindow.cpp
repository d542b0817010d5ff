#include "transport/replaywindow.h"

namespace transport {

bool ReplayWindow::accept(std::uint64_t Number) {
  if (Number > Highest) {
    const std::uint64_t Step = Number - Highest;
    Received = Step < kLength ? Received << Step : 0;
    Received |= 1;
    Highest = Number;
    return true;
  }
  const std::uint64_t Age = Highest - Number;
  if (Number == 0 || Age >= kLength)
    return false;
  const std::uint64_t Bit = std::uint64_t{1} << Age;
  if ((Received & Bit) != 0)
    return false;
  Received |= Bit;
  return true;
}

} // namespace transport
