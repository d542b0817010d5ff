#include "relay/fleetratelimiter.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>

using namespace std::chrono_literals;
using relay::RateLimitResult;

namespace {

const base::SystemClock kClock;

/// Records the frames sent to each peer; the connection to a peer has the
/// number of its port.
class RecordingTransport final : public transport::PeerTransport {
public:
  base::Endpoint address() const override { return {"127.0.0.1", 1}; }
  transport::ConnectionId connectionTo(const base::Endpoint &Peer) override {
    return transport::ConnectionId(Peer.Port);
  }
  bool send(transport::ConnectionId Connection,
            transport::Frame Message) override {
    Sent[Connection.value()].push_back(std::move(Message));
    return true;
  }
  void close(transport::ConnectionId) override {}
  void sendDatagram(const base::Endpoint &, const std::string &) override {}

  std::map<std::uint64_t, std::vector<transport::Frame>> Sent;
};

/// A daemon that is not a limit coordinator, in a fleet of five members.
struct Fixture {
  Fixture() {
    for (std::uint16_t Number = 1; Number <= 5; ++Number) {
      membership::Member Record;
      Record.Instance = base::InstanceId("m-" + std::to_string(Number));
      Record.Incarnation = base::Incarnation(1);
      Record.Peer = {"127.0.0.1", Number};
      Members.merge(Record, kClock.now());
    }
    config::FleetPolicyContent Content;
    Content.Version = config::PolicyVersion(1);
    config::WorkspacePolicy Workspace;
    Workspace.Name = base::WorkspaceName("w");
    Workspace.Rate = 10;
    // Too small to be divided into shares, so each request needs a permit.
    Workspace.Burst = 2;
    Content.Workspaces.push_back(Workspace);
    Policy = std::make_shared<config::FleetPolicy>(Content);
    Limiter.setDaemonCount(5);
    Limiter.setMembers(Members);
    Limiter.setPolicy(Policy);
  }

  std::optional<RateLimitResult> *admit() {
    Results.push_back(std::make_unique<std::optional<RateLimitResult>>());
    auto *Target = Results.back().get();
    Limiter.admit(Policy->content().Workspaces[0],
                  [Target](RateLimitResult Result) { *Target = Result; });
    return Target;
  }

  void runFor(base::Duration Length) {
    Loop.startTimer(Length, [this] { Loop.stop(); });
    Loop.run();
  }

  eventloop::EventLoop Loop{kClock};
  base::MetricsRegistry Metrics;
  relay::StructuredLog Log{kClock, Metrics, "test"};
  RecordingTransport Peers;
  membership::MemberTable Members;
  config::FleetPolicyPtr Policy;
  std::vector<base::ProcessId> Unresponsive;
  relay::FleetRateLimiter Limiter{Loop,
                                  Metrics,
                                  Log,
                                  Peers,
                                  base::InstanceId("outside"),
                                  {},
                                  true,
                                  [this](const base::ProcessId &Process) {
                                    Unresponsive.push_back(Process);
                                    Members.setSilent(Process, true);
                                    Limiter.setMembers(Members);
                                  }};
  std::vector<std::unique_ptr<std::optional<RateLimitResult>>> Results;
};

} // namespace

TEST_CASE("a request waits for a permit from the limit coordinator") {
  Fixture Test;
  const auto *Result = Test.admit();
  REQUIRE(Test.Peers.Sent.size() == 1);
  CHECK(!*Result);
  Test.Limiter.onPermitGrant({1, 1});
  CHECK(*Result == RateLimitResult::Admitted);
  const auto *Refused = Test.admit();
  Test.Limiter.onPermitGrant({2, 0});
  CHECK(*Refused == RateLimitResult::RateExceeded);
}

// Guards against refusing all requests of a workspace while its limit
// coordinator has failed: gossip took 8 s to detect a removed machine.
TEST_CASE("an unresponsive limit coordinator is replaced at once") {
  Fixture Test;
  const auto *Result = Test.admit();
  Test.runFor(260ms);
  CHECK(Test.Unresponsive.size() == 1);
  REQUIRE(Test.Peers.Sent.size() == 2);
  CHECK(!*Result);
  Test.Limiter.onPermitGrant({2, 1});
  CHECK(*Result == RateLimitResult::Admitted);
}

// Guards against a coordinator that grants what another one has granted while
// this daemon used that one.
TEST_CASE("a limit coordinator is told that it replaces another one, once") {
  Fixture Test;
  const auto Notices = [&] {
    std::vector<relay::CoordinatorNotice> Result;
    for (const auto &[Port, Frames] : Test.Peers.Sent)
      for (const transport::Frame &Each : Frames)
        if (Each.Type == std::uint8_t(relay::FrameType::CoordinatorNotice))
          Result.push_back(*base::decode<relay::CoordinatorNotice>(Each.Body));
    return Result;
  };
  Test.admit();
  CHECK(Notices().empty());
  Test.runFor(260ms);
  REQUIRE(Notices().size() == 1);
  CHECK(Notices()[0].Workspace.str() == "w");
  CHECK(Notices()[0].ReplacedAgoMicros < 100'000);
  Test.Limiter.onPermitGrant({2, 1});
  Test.admit();
  CHECK(Notices().size() == 1);
  // The first one is heard from again.
  Test.Members.setSilent(Test.Unresponsive[0], false);
  Test.Limiter.setMembers(Test.Members);
  Test.Limiter.onPermitGrant({3, 1});
  Test.admit();
  CHECK(Notices().size() == 2);
}

// Guards against requests that wait for as long as limit coordinators fail.
TEST_CASE("a request waits for at most two limit coordinators") {
  Fixture Test;
  const auto *Result = Test.admit();
  Test.runFor(460ms);
  CHECK(*Result == RateLimitResult::Unavailable);
}

// Guards against a second limit coordinator in a partition with a minority of
// the fleet.
TEST_CASE("without a majority of the announced daemons there is no limit "
          "coordinator") {
  Fixture Test;
  Test.Limiter.setDaemonCount(10);
  Test.admit();
  CHECK(Test.Peers.Sent.empty());
  Test.Limiter.setDaemonCount(9);
  Test.runFor(210ms);
  Test.admit();
  CHECK(Test.Peers.Sent.size() == 1);
}

// Load pattern: a workspace's callers are spread over a large fleet, so each
// daemon sees few of them. Guards against permits that expire unused; these led
// to refusals of half of the requests that the limits allow.
TEST_CASE(
    "a workspace with few requests at this daemon requests no spare permits") {
  Fixture Test;
  const auto Requested = [&] {
    return base::decode<relay::PermitRequest>(
               Test.Peers.Sent.begin()->second.back().Body)
        ->Requested;
  };
  Test.admit();
  CHECK(Requested() == 1);
  Test.Limiter.onPermitGrant({1, 1});
  Test.runFor(150ms);
  Test.admit();
  CHECK(Requested() == 1);
  Test.Limiter.onPermitGrant({2, 1});
  Test.admit();
  CHECK(Requested() == 2);
}

// Load pattern: services refuse requests for lack of capacity that their
// workspaces' limits allow. Guards against refused requests that use up the
// limit.
TEST_CASE("the permit of a request that has not run is returned to the limit "
          "coordinator") {
  Fixture Test;
  Test.Limiter.returnPermit(base::WorkspaceName("w"));
  REQUIRE(Test.Peers.Sent.size() == 1);
  const auto Returned = base::decode<relay::PermitReturn>(
      Test.Peers.Sent.begin()->second.back().Body);
  REQUIRE(Returned);
  CHECK(Returned->Workspace.str() == "w");
  CHECK(Returned->Count == 1);
}
