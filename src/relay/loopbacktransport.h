#ifndef JACKDAW_RELAY_LOOPBACKTRANSPORT_H
#define JACKDAW_RELAY_LOOPBACKTRANSPORT_H

#include "eventloop/eventloop.h"
#include "relay/internal/peerinbox.h"
#include "transport/peertransport.h"

#include <utility>

namespace relay {

/// A transport that hands frames for this process to its own listener without
/// a connection, and everything else to the transport between daemons.
class LoopbackTransport final : public transport::PeerTransport {
public:
  /// Stands for this process itself; the transport counts its connections
  /// upwards from 1 and never gets here.
  static constexpr transport::ConnectionId kSelf{~std::uint64_t{0}};

  LoopbackTransport(transport::PeerTransport &Remote,
                    eventloop::EventLoop &Loop, const base::ProcessId &Self,
                    PeerConsumer &Listener)
      : Remote(Remote), Loop(Loop), Self(Self), Listener(Listener) {}

  base::PeerAddress address() const override { return Remote.address(); }

  transport::ConnectionId connectionTo(const base::PeerAddress &Peer) override {
    return Peer == Remote.address() ? kSelf : Remote.connectionTo(Peer);
  }

  bool send(transport::ConnectionId Connection,
            transport::Frame Message) override {
    if (Connection != kSelf)
      return Remote.send(Connection, std::move(Message));
    Loop.post([this, Message = std::move(Message)] {
      Listener.onFrame(kSelf, Self, Message);
    });
    return true;
  }

  void close(transport::ConnectionId Connection) override {
    if (Connection != kSelf)
      Remote.close(Connection);
  }

  void sendDatagram(const base::PeerAddress &Peer,
                    const std::string &Body) override {
    Remote.sendDatagram(Peer, Body);
  }

private:
  transport::PeerTransport &Remote;
  eventloop::EventLoop &Loop;
  const base::ProcessId Self;
  PeerConsumer &Listener;
};

} // namespace relay

#endif // JACKDAW_RELAY_LOOPBACKTRANSPORT_H
