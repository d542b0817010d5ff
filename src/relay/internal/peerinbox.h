#ifndef JACKDAW_RELAY_INTERNAL_PEERINBOX_H
#define JACKDAW_RELAY_INTERNAL_PEERINBOX_H

#include "eventloop/eventloop.h"
#include "transport/peertransport.h"

#include <atomic>

namespace relay {

/// Handles what arrives from peers, on the loop's thread.
class PeerConsumer {
public:
  virtual ~PeerConsumer() = default;
  virtual void onFrame(transport::ConnectionId Connection,
                       const base::ProcessId &Peer,
                       const transport::Frame &Received) = 0;
  virtual void onClosed(transport::ConnectionId Connection) = 0;
  virtual void onDatagram(const base::PeerAddress &From,
                          const std::string &Body) = 0;
};

/// Hands what the transport's thread receives to the loop's thread.
class PeerInbox final : public transport::PeerListener {
public:
  PeerInbox(eventloop::EventLoop &Loop, PeerConsumer &Consumer)
      : Loop(Loop), Consumer(Consumer) {}

  /// Until then everything is dropped; peers repeat what matters.
  void open() { Open = true; }

  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               transport::Frame Received) override {
    if (Open)
      Loop.post([this, Connection, Peer, Message = std::move(Received)] {
        Consumer.onFrame(Connection, Peer, Message);
      });
  }

  void onClosed(transport::ConnectionId Connection, bool) override {
    if (Open)
      Loop.post([this, Connection] { Consumer.onClosed(Connection); });
  }

  void onDatagram(const base::PeerAddress &From, std::string Body) override {
    if (Open)
      Loop.post([this, From, Text = std::move(Body)] {
        Consumer.onDatagram(From, Text);
      });
  }

private:
  eventloop::EventLoop &Loop;
  PeerConsumer &Consumer;
  std::atomic<bool> Open = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_INTERNAL_PEERINBOX_H
