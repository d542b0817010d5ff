#include "node/servingservice.h"
#include "backend/backendstandin.h"

#include <doctest/doctest.h>

#include <condition_variable>

using namespace std::chrono_literals;

namespace {

/// Collects the responses and fence replies that a service sends.
class FakeTransport final : public transport::PeerTransport {
public:
  base::Endpoint address() const override { return {"127.0.0.1", 1}; }
  transport::ConnectionId connectionTo(const base::Endpoint &) override {
    return transport::ConnectionId(1);
  }
  bool send(transport::ConnectionId, transport::Frame Message) override {
    std::lock_guard Lock(Mutex);
    if (static_cast<node::MessageType>(Message.Type) ==
        node::MessageType::CallResponse)
      if (auto Decoded = base::decode<node::CallResponseMessage>(Message.Body))
        Responses.push_back(std::move(*Decoded));
    if (static_cast<node::MessageType>(Message.Type) ==
        node::MessageType::FenceReply)
      if (auto Decoded = base::decode<execution::FenceReply>(Message.Body))
        FenceReplies.push_back(std::move(*Decoded));
    Changed.notify_all();
    return true;
  }
  void close(transport::ConnectionId) override {}
  void changeSecret(const std::string &) override {}
  void sendDatagram(const base::Endpoint &, const std::string &) override {}

  bool waitForResponses(std::size_t Count) {
    std::unique_lock Lock(Mutex);
    return Changed.wait_for(Lock, 20s,
                            [&] { return Responses.size() >= Count; });
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<node::CallResponseMessage> Responses;
  std::vector<execution::FenceReply> FenceReplies;
};

struct Fixture {
  base::SystemClock Clock;
  node::Runtime Shared{Clock,
                       {base::InstanceId("serving"), base::Incarnation(1)},
                       base::DataCentreId("dc1"),
                       base::RegionId("north")};
  FakeTransport Peers;
  std::unique_ptr<standins::BackendStandIn> Server;
  node::ServingService Serving{Shared};
  std::uint64_t LastSequence = 0;

  Fixture() { Serving.setTransport(Peers); }

  void startBackend(std::uint32_t Slots, std::chrono::microseconds WorkTime) {
    standins::BackendSettings Settings;
    Settings.Service = "orders";
    Settings.WorkTime = WorkTime;
    Server = std::make_unique<standins::BackendStandIn>(Settings);
    setLimits(Slots, 10s);
  }

  void setLimits(std::uint32_t Slots, std::chrono::milliseconds Queue) {
    node::Backend LocalBackend;
    LocalBackend.Service = base::ServiceName("orders");
    LocalBackend.Port = Server->port();
    LocalBackend.Limits.Slots = Slots;
    LocalBackend.Limits.MaxQueueTime = Queue;
    Serving.setBackend(LocalBackend);
  }

  execution::CallIdentity send() {
    node::CallMessage Message;
    execution::CallIdentity &Identity = Message.Context.Identity;
    Identity.Id = base::makeRandomId<base::CallId>();
    Identity.Sender = {base::InstanceId("entry"), base::Incarnation(1)};
    Identity.Sequence = execution::CallSequence(++LastSequence);
    Identity.Target = Shared.Self;
    Message.Context.Service = base::ServiceName("orders");
    Message.Context.TimeLeftMicros = 15'000'000;
    Message.Request = {"POST", "/", "", {}, ""};
    execution::CallIdentity Copy = Identity;
    Serving.onCall(transport::ConnectionId(7), std::move(Message));
    return Copy;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture,
                  "a call is refused as not run if there is no backend "
                  "server") {
  send();
  REQUIRE(Peers.waitForResponses(1));
  CHECK(Peers.Responses[0].Response.Error == base::ErrorKind::NoUpstream);
  CHECK(Peers.Responses[0].Response.Outcome == base::Outcome::NotRun);
}

TEST_CASE_FIXTURE(Fixture, "a draining daemon refuses new calls and completes "
                           "admitted calls") {
  startBackend(1, 50ms);
  send();
  Serving.startDraining();
  send();
  REQUIRE(Peers.waitForResponses(2));
  CHECK(Peers.Responses[0].Response.Error == base::ErrorKind::Draining);
  CHECK(Peers.Responses[0].Response.Outcome == base::Outcome::NotRun);
  CHECK(Peers.Responses[1].Response.Outcome == base::Outcome::Ran);
}

TEST_CASE_FIXTURE(Fixture, "a fenced call that is queued isn't sent to the "
                           "backend server") {
  startBackend(1, 200ms);
  send();
  const execution::CallIdentity Second = send();
  Serving.onFence(transport::ConnectionId(8), {Second, false});
  REQUIRE(Peers.FenceReplies.size() == 1);
  CHECK(Peers.FenceReplies[0].State == execution::FenceState::NotRun);
  REQUIRE(Peers.waitForResponses(1));
  CHECK(Serving.openCalls() == 0);
  CHECK(Shared.Metrics.counter("calls_run_total").value() == 1);
}

TEST_CASE_FIXTURE(Fixture, "changing the limits under load loses no call") {
  startBackend(1, 20ms);
  for (int Count = 0; Count < 10; ++Count)
    send();
  setLimits(2, 9s);
  setLimits(1, 8s);
  REQUIRE(Peers.waitForResponses(10));
  for (const node::CallResponseMessage &Each : Peers.Responses)
    CHECK(Each.Response.Outcome == base::Outcome::Ran);
  CHECK(Serving.openCalls() == 0);
}
