#ifndef JACKDAW_RELAY_LOOPBACKTRANSPORT_H
#define JACKDAW_RELAY_LOOPBACKTRANSPORT_H

#include "eventloop/eventloop.h"
#include "relay/internal/peerinbox.h"
#include "transport/peertransport.h"

#include <memory>
#include <utility>

namespace relay {

/// Transport that delivers frames for this process to its own handler without a
/// connection, and passes everything else to the transport between daemons.
class LoopbackTransport final : public transport::PeerTransport {
public:
  /// Connection to this process itself. The transport between daemons numbers
  /// its connections upwards from 1 and never reaches this value.
  static constexpr transport::ConnectionId kLoopback{~std::uint64_t{0}};

  LoopbackTransport(transport::PeerTransport &Remote,
                    eventloop::EventLoop &Loop, const base::ProcessId &Self,
                    PeerMessageHandler &Handler)
      : Remote(Remote), Loop(Loop), Self(Self), Handler(Handler) {}

  base::Endpoint address() const override { return Remote.address(); }

  transport::ConnectionId connectionTo(const base::Endpoint &Peer) override {
    return Peer == Remote.address() ? kLoopback : Remote.connectionTo(Peer);
  }

  bool send(transport::ConnectionId Connection,
            transport::Frame Message) override {
    if (Connection != kLoopback)
      return Remote.send(Connection, std::move(Message));
    Loop.post([this, TransportAlive = std::weak_ptr<bool>(Alive),
               Message = std::move(Message)] {
      if (!TransportAlive.expired())
        Handler.onFrame(kLoopback, Self, Message);
    });
    return true;
  }

  void close(transport::ConnectionId Connection) override {
    if (Connection != kLoopback)
      Remote.close(Connection);
  }

  void changeSecret(const std::string &NewSecret) override {
    Remote.changeSecret(NewSecret);
  }
  void sendDatagram(const base::Endpoint &Peer,
                    const std::string &Body) override {
    Remote.sendDatagram(Peer, Body);
  }

private:
  transport::PeerTransport &Remote;
  eventloop::EventLoop &Loop;
  const base::ProcessId Self;
  PeerMessageHandler &Handler;
  /// Posted tasks hold a weak reference and do nothing once the transport is
  /// destroyed.
  const std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace relay

#endif // JACKDAW_RELAY_LOOPBACKTRANSPORT_H
