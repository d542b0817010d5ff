#include "transport/internal/sockets.h"
#include "transport/peertransport.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace std::chrono_literals;
using namespace transport;

namespace {

/// Collects what arrives and lets the test wait for a condition.
class Collector final : public PeerListener {
public:
  void onFrame(ConnectionId Connection, const base::ProcessId &Peer,
               Frame Received) override {
    std::lock_guard Lock(Mutex);
    LastConnection = Connection;
    LastPeer = Peer;
    Frames.push_back(std::move(Received));
    Changed.notify_all();
  }

  void onClosed(ConnectionId, bool WasOpen) override {
    std::lock_guard Lock(Mutex);
    (WasOpen ? ClosedOpen : ClosedUnopened) += 1;
    Changed.notify_all();
  }

  void onDatagram(const base::PeerAddress &, std::string Body) override {
    std::lock_guard Lock(Mutex);
    Datagrams.push_back(std::move(Body));
    Changed.notify_all();
  }

  template <typename Condition> bool waitFor(Condition Holds) {
    std::unique_lock Lock(Mutex);
    return Changed.wait_for(Lock, 20s, Holds);
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  ConnectionId LastConnection;
  base::ProcessId LastPeer;
  std::vector<Frame> Frames;
  std::vector<std::string> Datagrams;
  int ClosedOpen = 0;
  int ClosedUnopened = 0;
};

struct Node {
  base::SystemClock Time;
  base::MetricsRegistry Metrics;
  Collector Received;
  std::unique_ptr<PeerTransport> Transport;

  explicit Node(const char *Name, const char *Secret = "secret",
                const char *Previous = "") {
    const TransportSettings Settings{
        {base::InstanceId(Name), base::Incarnation(1)},
        {"127.0.0.1", 0},
        Secret,
        Previous};
    Transport = PeerTransport::start(Settings, Time, Metrics, Received).value();
  }

  bool sendTo(const Node &Other, Frame Message) const {
    return Transport->send(Transport->connectionTo(Other.Transport->address()),
                           std::move(Message));
  }
};

/// Connects to a node as a program that is not a daemon would, and sends bytes.
class RawSocket {
public:
  explicit RawSocket(const Node &Target)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto Address = toSocketAddress(Target.Transport->address());
    REQUIRE(connect(Socket.value(),
                    reinterpret_cast<const sockaddr *>(&*Address),
                    sizeof(*Address)) == 0);
  }

  void write(const std::string &Bytes) const {
    (void)::send(Socket.value(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// Whether the node closes the connection without sending anything.
  bool closedByPeer() const {
    char Byte = 0;
    return recv(Socket.value(), &Byte, 1, 0) <= 0;
  }

private:
  FileDescriptor Socket;
};

} // namespace

TEST_CASE("frames of all sizes arrive whole and in order, in both directions") {
  Node A("a");
  Node B("b");
  for (const std::size_t Size : {0, 1, 70000, 5000000})
    CHECK(A.sendTo(B, {7, std::string(Size, 'x')}));
  REQUIRE(B.Received.waitFor([&] { return B.Received.Frames.size() == 4; }));
  CHECK(B.Received.Frames[0].Body.empty());
  CHECK(B.Received.Frames[3].Body.size() == 5000000);
  CHECK(B.Received.LastPeer.Instance.str() == "a");
  CHECK(B.Transport->send(B.Received.LastConnection, {8, "back"}));
  REQUIRE(A.Received.waitFor([&] { return A.Received.Frames.size() == 1; }));
  CHECK(A.Received.Frames[0].Body == "back");
}

TEST_CASE("a peer without the secret gets nothing, and its frames are known "
          "not to have been sent") {
  Node A("a", "wrong");
  Node B("b");
  A.sendTo(B, {7, "x"});
  REQUIRE(A.Received.waitFor([&] { return A.Received.ClosedUnopened == 1; }));
  CHECK(A.Received.ClosedOpen == 0);
  CHECK(B.Received.Frames.empty());
  A.Transport->sendDatagram(B.Transport->address(), "x");
  B.Transport->sendDatagram(B.Transport->address(), "own");
  REQUIRE(B.Received.waitFor([&] { return !B.Received.Datagrams.empty(); }));
  CHECK(B.Received.Datagrams.front() == "own");
}

TEST_CASE("during a rotation of the secret old and new daemons understand each "
          "other") {
  Node Old("old", "one");
  Node New("new", "two", "one");
  CHECK(Old.sendTo(New, {7, "x"}));
  REQUIRE(
      New.Received.waitFor([&] { return New.Received.Frames.size() == 1; }));
  // The first attempt with the new secret fails; the next takes the old one.
  New.sendTo(Old, {7, "x"});
  REQUIRE(
      New.Received.waitFor([&] { return New.Received.ClosedUnopened == 1; }));
  New.sendTo(Old, {7, "y"});
  CHECK(Old.Received.waitFor([&] { return Old.Received.Frames.size() == 1; }));
}

TEST_CASE("a connection to nobody is reported as never open") {
  Node A("a");
  base::PeerAddress Nobody;
  {
    Node Gone("gone");
    Nobody = Gone.Transport->address();
  }
  A.Transport->send(A.Transport->connectionTo(Nobody), {7, "x"});
  CHECK(A.Received.waitFor([&] { return A.Received.ClosedUnopened == 1; }));
}

TEST_CASE("foreign, oversized and truncated frames before authentication close "
          "the connection") {
  Node B("b");
  const RawSocket Foreign(B);
  Foreign.write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Foreign.closedByPeer());
  const RawSocket Oversized(B);
  Oversized.write(std::string("\xff\xff\xff\x7f", 4));
  CHECK(Oversized.closedByPeer());
  const RawSocket Garbage(B);
  Garbage.write(std::string("\x05\0\0\0hello", 9));
  CHECK(Garbage.closedByPeer());
  // Never completes its hello; the handshake's time limit ends it.
  const RawSocket Truncated(B);
  Truncated.write(std::string("\x40\0\0\0abc", 7));
  CHECK(Truncated.closedByPeer());
  CHECK(B.Received.Frames.empty());
}

TEST_CASE("a peer that accepts but never answers the handshake is given up") {
  auto Sockets = listenOn({"127.0.0.1", 0});
  REQUIRE(Sockets);
  Node A("a");
  A.Transport->send(A.Transport->connectionTo(Sockets->Address), {7, "x"});
  CHECK(A.Received.waitFor([&] { return A.Received.ClosedUnopened == 1; }));
}
