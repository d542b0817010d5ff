#include "relay/sentattempts.h"

#include <algorithm>

namespace relay {

bool SentAttempts::record(const std::string &AttemptId,
                          http::ConnectionNumber Connection,
                          base::BootTime Deadline) {
  if (AttemptId.empty())
    return false;
  Attempt &Sent = Attempts[AttemptId];
  if (Sent.Deadline <= Clock.now())
    Sent.Connections.clear();
  Sent.Deadline = std::max(Sent.Deadline, Deadline);
  constexpr http::ConnectionNumber Unknown;
  const bool MayBeSame = std::any_of(
      Sent.Connections.begin(), Sent.Connections.end(), [&](const auto &Each) {
        return Each == Connection || Each == Unknown || Connection == Unknown;
      });
  Sent.Connections.push_back(Connection);
  return !MayBeSame;
}

void SentAttempts::tick() {
  std::erase_if(Attempts, [Now = Clock.now()](const auto &Each) {
    return Each.second.Deadline <= Now;
  });
}

} // namespace relay
