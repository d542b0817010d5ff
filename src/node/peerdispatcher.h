#ifndef JACKDAW_NODE_PEERDISPATCHER_H
#define JACKDAW_NODE_PEERDISPATCHER_H

#include "node/callclient.h"
#include "node/controlplane.h"
#include "node/idempotencyclient.h"
#include "node/ratecontrol.h"
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
  IdempotencyClient &Idempotency;
  RateControl &Rates;
};

/// Decodes messages from peers and hands them to the services. Messages that
/// arrive before `connect` are dropped, as if they had been lost.
class PeerDispatcher final : public transport::PeerListener {
public:
  explicit PeerDispatcher(Runtime &Shared) : Shared(Shared) {}

  /// `Services` must stay valid as long as the transport runs.
  void connect(PeerServices &Services) { Target = &Services; }

  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               transport::Frame Received) override;
  void onClosed(transport::ConnectionId Connection, bool WasOpen) override;
  void onDatagram(const base::PeerAddress &From, std::string Body) override;

private:
  void dispatch(PeerServices &Services, transport::ConnectionId Connection,
                const transport::Frame &Received);

  /// Decodes and calls `Use`; counts a malformed message.
  template <typename Message, typename Consumer>
  void with(const transport::Frame &Received, Consumer &&Use);

  Runtime &Shared;
  std::atomic<PeerServices *> Target = nullptr;
};

} // namespace node

#endif // JACKDAW_NODE_PEERDISPATCHER_H
