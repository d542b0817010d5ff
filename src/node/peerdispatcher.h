#ifndef JACKDAW_NODE_PEERDISPATCHER_H
#define JACKDAW_NODE_PEERDISPATCHER_H

#include "node/callclient.h"
#include "node/controlplane.h"
#include "node/idempotencyservice.h"
#include "node/ratelimitservice.h"
#include "node/runtime.h"
#include "node/servingservice.h"
#include "transport/peertransport.h"

#include <atomic>

namespace node {

/// Services that receive messages from peers.
struct PeerServices {
  CallClient &Calls;
  ServingService &Serving;
  ControlPlane &Control;
  IdempotencyService &Idempotency;
  RateLimitService &RateLimits;
};

/// Decodes messages from peers and passes them to the services. Messages that
/// arrive before `connect` are dropped, as if they had been lost.
class PeerDispatcher final : public transport::PeerListener {
public:
  explicit PeerDispatcher(Runtime &Shared) : Shared(Shared) {}

  /// Starts passing messages to `Services`, which must outlive the transport.
  void connect(PeerServices &Services) { ConnectedServices = &Services; }

  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               transport::Frame Received) override;
  void onClosed(transport::ConnectionId Connection, bool WasOpen) override;
  void onDatagram(const base::Endpoint &From, std::string Body) override;

private:
  void dispatch(PeerServices &Services, transport::ConnectionId Connection,
                const transport::Frame &Received);

  /// Decodes the frame and passes the message to `Handle`. Counts and drops
  /// malformed messages.
  template <typename Message, typename MessageHandler>
  void decodeAndHandle(const transport::Frame &Received,
                       MessageHandler &&Handle);

  Runtime &Shared;
  std::atomic<PeerServices *> ConnectedServices = nullptr;
};

} // namespace node

#endif // JACKDAW_NODE_PEERDISPATCHER_H
