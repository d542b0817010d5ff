#include "relay/sentattempts.h"

#include <algorithm>

namespace relay {

bool SentAttempts::record(const std::string &AttemptId,
                          base::BootTime Deadline) {
  if (AttemptId.empty())
    return true;
  const auto [Entry, Added] = Deadlines.try_emplace(AttemptId, Deadline);
  if (Added)
    return false;
  const bool Expired = Entry->second <= Clock.now();
  Entry->second = std::max(Entry->second, Deadline);
  return !Expired;
}

void SentAttempts::tick() {
  std::erase_if(Deadlines, [Now = Clock.now()](const auto &Each) {
    return Each.second <= Now;
  });
}

} // namespace relay
