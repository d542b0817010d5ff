#include "relay/servernotices.h"

namespace relay {

void ServerNotices::beforeResponse(transport::ConnectionId Connection,
                                   const ServerNotice &Current) {
  const bool Relevant = Current.RateLimit || Current.Leaving;
  if (!Relevant && Informed.erase(Connection) == 0)
    return;
  if (Relevant)
    Informed.insert(Connection);
  Peers.send(Connection, makeFrame(FrameType::ServerNotice, Current));
}

} // namespace relay
