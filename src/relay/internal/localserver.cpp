#include "relay/localserver.h"

namespace relay {

ReportVerdict LocalServer::report(const ServerReport &Received) {
  if (Current) {
    const bool Same = Received.Server == Current->Server;
    if (!Same && Received.Server.Born <= Current->Server.Born)
      return ReportVerdict::Stale;
    if (Same && Received.Sequence <= Current->Sequence)
      return ReportVerdict::Stale;
    if (Same) {
      const bool Changed = Received.Draining != Current->Draining ||
                           Received.Slots != Current->Slots;
      Current = Received;
      Leaving = Leaving || Received.Draining;
      return Changed ? ReportVerdict::Changed : ReportVerdict::Unchanged;
    }
  }
  Current = Received;
  Leaving = Received.Draining;
  return ReportVerdict::Changed;
}

bool LocalServer::leave(const std::string &Id) {
  if (!Current || Current->Server.Id != Id)
    return false;
  Leaving = true;
  return true;
}

} // namespace relay
