#include "ratelimit/coordinatorcontact.h"

#include <algorithm>

namespace ratelimit {

void CoordinatorContact::onRequest(const base::Endpoint &From,
                                   base::BootTime Now) {
  Heard[From] = Now;
}

void CoordinatorContact::onCheckSent(std::uint64_t Number, base::BootTime Now) {
  Checks.push_back({Number, Now, false});
}

void CoordinatorContact::onConfirmed(std::uint64_t Number, base::BootTime Now) {
  for (Check &Each : Checks)
    if (Each.Number == Number && Now - Each.SentAt <= kCheckTimeout)
      Each.Confirmed = true;
}

bool CoordinatorContact::hasHeardFrom(const base::Endpoint &Daemon,
                                      base::BootTime Now) const {
  const auto Found = Heard.find(Daemon);
  return Found != Heard.end() && Now - Found->second <= kContactWindow;
}

std::size_t CoordinatorContact::heardDaemons(base::BootTime Now) {
  std::erase_if(Heard, [Now](const auto &Each) {
    return Now - Each.second > kContactWindow;
  });
  return Heard.size();
}

double CoordinatorContact::share(std::size_t Others, base::BootTime Now) {
  while (!Checks.empty() && Now - Checks.front().SentAt > kContactWindow)
    Checks.pop_front();
  std::size_t Completed = 0;
  std::size_t Confirmed = 0;
  // A check counts once its time is over, confirmed or not. Those that are
  // confirmed sooner would raise the share otherwise.
  for (const Check &Each : Checks) {
    if (Now - Each.SentAt < kCheckTimeout)
      break;
    ++Completed;
    Confirmed += Each.Confirmed ? 1 : 0;
  }
  const std::size_t Requesting = std::min(heardDaemons(Now), Others);
  const double ConfirmedShare =
      Completed > 0 ? double(Confirmed) / double(Completed) : 0;
  const double Users =
      1 + double(Requesting) + double(Others - Requesting) * ConfirmedShare;
  return Users / double(Others + 1);
}

} // namespace ratelimit
