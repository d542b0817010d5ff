#include "relay/peerservertable.h"

namespace relay {

namespace {

/// A server that is leaving is gone long before this time.
constexpr base::Duration kLifetime = std::chrono::hours(1);
constexpr base::Duration kExpiryCheckInterval = std::chrono::minutes(1);

} // namespace

void PeerServerTable::apply(const base::InstanceId &Instance,
                            const ServerNotice &Notice) {
  removeExpired();
  const auto Found = Entries.find(Instance);
  const bool WasLeaving = Found != Entries.end() &&
                          Found->second.Known.Server == Notice.Server &&
                          Found->second.Known.Leaving;
  const ServerReminder Known{Notice.Server, Notice.RateLimit,
                             WasLeaving || Notice.Leaving};
  if (Known.RateLimit || Known.Leaving)
    Entries[Instance] = {Known, Clock.now()};
  else
    Entries.erase(Instance);
}

std::optional<ServerReminder>
PeerServerTable::reminderFor(const base::InstanceId &Instance) const {
  const auto Found = Entries.find(Instance);
  if (Found == Entries.end())
    return std::nullopt;
  return Found->second.Known;
}

void PeerServerTable::removeExpired() {
  const base::BootTime Now = Clock.now();
  if (Now < NextExpiryCheck)
    return;
  NextExpiryCheck = Now + kExpiryCheckInterval;
  std::erase_if(Entries, [&](const auto &Each) {
    return Each.second.UpdatedAt + kLifetime < Now;
  });
}

} // namespace relay
