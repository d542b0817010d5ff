#include "relay/internal/peerinbox.h"

#include "relay/loopbacktransport.h"

#include <doctest/doctest.h>

#include <memory>

using namespace std::chrono_literals;

namespace {

struct CountingHandler final : relay::PeerMessageHandler {
  void onFrame(transport::ConnectionId, const base::ProcessId &,
               const transport::Frame &) override {
    ++Count;
  }
  void onClosed(transport::ConnectionId) override { ++Count; }
  void onDatagram(const base::Endpoint &, const std::string &) override {
    ++Count;
  }

  int Count = 0;
};

struct UnusedTransport final : transport::PeerTransport {
  base::Endpoint address() const override { return {"127.0.0.1", 1}; }
  transport::ConnectionId connectionTo(const base::Endpoint &) override {
    return {};
  }
  bool send(transport::ConnectionId, transport::Frame) override {
    return false;
  }
  void close(transport::ConnectionId) override {}
  void changeSecret(const std::string &) override {}
  void sendDatagram(const base::Endpoint &, const std::string &) override {}
};

struct Fixture {
  /// Runs what has been posted so far.
  void runPosted() {
    Loop.stop();
    Loop.run();
  }

  void receiveAll() {
    Inbox->onFrame(transport::ConnectionId(1), {}, {});
    Inbox->onClosed(transport::ConnectionId(1), true);
    Inbox->onDatagram({"127.0.0.1", 1}, "body");
  }

  base::SystemClock Clock;
  eventloop::EventLoop Loop{Clock};
  CountingHandler Handler;
  UnusedTransport Remote;
  std::unique_ptr<relay::PeerInbox> Inbox =
      std::make_unique<relay::PeerInbox>(Loop, Handler);
  std::unique_ptr<relay::LoopbackTransport> Loopback =
      std::make_unique<relay::LoopbackTransport>(Remote, Loop,
                                                 base::ProcessId(), Handler);
};

} // namespace

TEST_CASE("an inbox passes on what it receives once it is open") {
  Fixture Test;
  Test.receiveAll();
  Test.runPosted();
  CHECK(Test.Handler.Count == 0);
  Test.Inbox->open();
  Test.receiveAll();
  Test.runPosted();
  CHECK(Test.Handler.Count == 3);
}

TEST_CASE("an inbox passes nothing on after its destruction") {
  Fixture Test;
  Test.Inbox->open();
  Test.receiveAll();
  Test.Inbox.reset();
  Test.runPosted();
  CHECK(Test.Handler.Count == 0);
}

TEST_CASE("a loopback transport delivers nothing after its destruction") {
  Fixture Test;
  Test.Loopback->send(relay::LoopbackTransport::kLoopback, {});
  Test.runPosted();
  CHECK(Test.Handler.Count == 1);
  Test.Loopback->send(relay::LoopbackTransport::kLoopback, {});
  Test.Loopback.reset();
  Test.runPosted();
  CHECK(Test.Handler.Count == 1);
}
