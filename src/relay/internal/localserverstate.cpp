#include "relay/localserverstate.h"

namespace relay {

ReportResult LocalServerState::apply(const ServerReport &Received) {
  if (Current) {
    const bool Same = Received.Server == Current->Server;
    if (!Same &&
        Received.Server.StartTimeMillis <= Current->Server.StartTimeMillis)
      return ReportResult::Stale;
    if (Same && Received.Sequence <= Current->Sequence)
      return ReportResult::Stale;
    if (Same) {
      const bool Changed = Received.Draining != Current->Draining ||
                           Received.Slots != Current->Slots;
      Current = Received;
      Leaving = Leaving || Received.Draining;
      return Changed ? ReportResult::Changed : ReportResult::Unchanged;
    }
  }
  Current = Received;
  Leaving = Received.Draining;
  return ReportResult::Changed;
}

bool LocalServerState::markLeaving(const std::string &Id) {
  return Current && Current->Server.Id == Id && markLeaving(Current->Server);
}

bool LocalServerState::markLeaving(const ServerIncarnation &Process) {
  if (!isCurrent(Process))
    return false;
  Leaving = true;
  return true;
}

} // namespace relay
