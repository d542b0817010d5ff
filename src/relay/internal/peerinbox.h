#ifndef JACKDAW_RELAY_INTERNAL_PEERINBOX_H
#define JACKDAW_RELAY_INTERNAL_PEERINBOX_H

#include "eventloop/eventloop.h"
#include "transport/peertransport.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace relay {

/// Handles frames and datagrams from peers on the event loop's thread.
class PeerMessageHandler {
public:
  virtual ~PeerMessageHandler() = default;
  virtual void onFrame(transport::ConnectionId Connection,
                       const base::ProcessId &Peer,
                       const transport::Frame &Received) = 0;
  virtual void onClosed(transport::ConnectionId Connection) = 0;
  virtual void onDatagram(const base::Endpoint &From,
                          const std::string &Body) = 0;
};

/// Passes frames and datagrams from the transport's thread to the event loop's
/// thread. What has not been passed on when the inbox is destroyed is dropped.
class PeerInbox final : public transport::PeerListener {
public:
  PeerInbox(eventloop::EventLoop &Loop, PeerMessageHandler &Handler)
      : Loop(Loop), Handler(Handler) {}

  /// Starts to deliver. Everything received before is dropped; peers resend
  /// important messages.
  void open() { Open = true; }

  void onFrame(transport::ConnectionId Connection, const base::ProcessId &Peer,
               transport::Frame Received) override {
    if (!Open)
      return;
    const std::size_t Bytes = Received.Payload ? Received.Payload->size() : 0;
    if (Bytes > 0)
      waitForRoom(Bytes);
    Loop.post([this, InboxAlive = std::weak_ptr<bool>(Alive), Connection, Peer,
               Bytes, Message = std::move(Received)]() mutable {
      if (InboxAlive.expired())
        return;
      Handler.onFrame(Connection, Peer, Message);
      Message = {};
      if (Bytes > 0)
        makeRoom(Bytes);
    });
  }

  void onClosed(transport::ConnectionId Connection, bool) override {
    if (Open)
      Loop.post([this, InboxAlive = std::weak_ptr<bool>(Alive), Connection] {
        if (!InboxAlive.expired())
          Handler.onClosed(Connection);
      });
  }

  void onDatagram(const base::Endpoint &From, std::string Body) override {
    if (Open)
      Loop.post([this, InboxAlive = std::weak_ptr<bool>(Alive), From,
                 Text = std::move(Body)] {
        if (!InboxAlive.expired())
          Handler.onDatagram(From, Text);
      });
  }

private:
  /// Payloads that may wait for the event loop, in bytes. More would keep it
  /// from making room in memory in between.
  static constexpr std::size_t kMaxWaitingBytes = std::size_t{8} << 20;
  /// Upper bound of the time for which the transport's thread waits, since it
  /// must also answer its peers.
  static constexpr std::chrono::milliseconds kMaxWait{50};

  /// Holds up the transport's thread, and so the peers, while too much waits.
  void waitForRoom(std::size_t Bytes) {
    std::unique_lock Lock(Mutex);
    HasRoom.wait_for(Lock, kMaxWait, [this, Bytes] {
      return WaitingBytes == 0 || WaitingBytes + Bytes <= kMaxWaitingBytes;
    });
    WaitingBytes += Bytes;
  }

  void makeRoom(std::size_t Bytes) {
    {
      std::lock_guard Lock(Mutex);
      WaitingBytes -= Bytes;
    }
    HasRoom.notify_one();
  }

  eventloop::EventLoop &Loop;
  PeerMessageHandler &Handler;
  std::mutex Mutex;
  std::condition_variable HasRoom;
  std::size_t WaitingBytes = 0;
  std::atomic<bool> Open = false;
  /// Posted tasks hold a weak reference and do nothing once the inbox is
  /// destroyed, which happens on the event loop's thread.
  const std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace relay

#endif // JACKDAW_RELAY_INTERNAL_PEERINBOX_H
