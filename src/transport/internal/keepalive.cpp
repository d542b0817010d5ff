#include "transport/internal/keepalive.h"

namespace transport {

bool KeepAlive::pingDue(base::BootTime Now) const {
  if (PingPending)
    return false;
  const bool InUse = Now - LastUsed < kUseTime;
  return Now - LastReceived >= (InUse ? kPingInterval : kIdlePingInterval);
}

} // namespace transport
