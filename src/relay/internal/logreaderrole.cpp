#include "relay/logreaderrole.h"

#include <algorithm>

namespace relay {

namespace {

using namespace std::chrono_literals;

/// Time without a read after which the second daemon in the order takes over:
/// longer than a read of the reader takes, which waits for 400 ms.
constexpr base::Duration kPatience = 800ms;
/// Added for each further position, so that one daemon takes over and not all,
/// up to `kMaxSteps`.
constexpr base::Duration kStep = 100ms;
constexpr std::size_t kMaxSteps = 4;
/// Time after the start in which a daemon learns of the others in its data
/// centre.
constexpr base::Duration kSettleTime = 600ms;

} // namespace

bool LogReaderRole::isReader() const {
  return Substitutes || (Rank == 0 && Clock.now() - StartedAt >= kSettleTime);
}

void LogReaderRole::onPeerRead(bool IsPreferred) {
  LastRead = Clock.now();
  if (IsPreferred)
    Substitutes = false;
}

bool LogReaderRole::takeOverIfDue() {
  if (isReader() ||
      timeSinceRead() <
          kPatience + kStep * static_cast<int>(std::min(Rank - 1, kMaxSteps)))
    return false;
  Substitutes = true;
  return true;
}

} // namespace relay
