#include "relay/fleetratelimiter.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>

using namespace std::chrono_literals;
using relay::RateLimitResult;

namespace {

const base::SystemClock kTime;

/// Keeps the frames for each peer; connections are numbered by port.
class RecordingTransport final : public transport::PeerTransport {
public:
  base::PeerAddress address() const override { return {"127.0.0.1", 1}; }
  transport::ConnectionId connectionTo(const base::PeerAddress &Peer) override {
    return transport::ConnectionId(Peer.Port);
  }
  bool send(transport::ConnectionId Connection,
            transport::Frame Message) override {
    Sent[Connection.value()].push_back(std::move(Message));
    return true;
  }
  void close(transport::ConnectionId) override {}
  void sendDatagram(const base::PeerAddress &, const std::string &) override {}

  std::map<std::uint64_t, std::vector<transport::Frame>> Sent;
};

/// A daemon that is no keeper among five members.
struct Fixture {
  Fixture() {
    for (std::uint16_t Number = 1; Number <= 5; ++Number) {
      membership::Member Record;
      Record.Instance = base::InstanceId("m-" + std::to_string(Number));
      Record.Epoch = base::Incarnation(1);
      Record.Peer = {"127.0.0.1", Number};
      Members.merge(Record, kTime.now());
    }
    config::FleetPolicyContent Content;
    Content.Version = config::PolicyVersion(1);
    config::WorkspacePolicy Workspace;
    Workspace.Name = base::WorkspaceName("w");
    Workspace.Rate = 10;
    // Too small to be divided, so that each request needs a permit.
    Workspace.Burst = 2;
    Content.Workspaces.push_back(Workspace);
    Policy = std::make_shared<config::FleetPolicy>(Content);
    Keeper.setDaemons(5);
    Keeper.follow(Members);
    Keeper.adopt(Policy);
  }

  std::optional<RateLimitResult> *admit() {
    Verdicts.push_back(std::make_unique<std::optional<RateLimitResult>>());
    auto *Target = Verdicts.back().get();
    Keeper.admit(Policy->content().Workspaces[0],
                 [Target](RateLimitResult Verdict) { *Target = Verdict; });
    return Target;
  }

  void runFor(base::Duration Length) {
    Loop.startTimer(Length, [this] { Loop.stop(); });
    Loop.run();
  }

  eventloop::EventLoop Loop{kTime};
  base::MetricsRegistry Metrics;
  relay::DecisionLog Log{kTime, Metrics, "test"};
  RecordingTransport Peers;
  membership::MemberTable Members;
  config::FleetPolicyPtr Policy;
  std::vector<base::ProcessId> Silent;
  relay::FleetRateLimiter Keeper{Loop,
                                 Metrics,
                                 Log,
                                 Peers,
                                 base::InstanceId("outside"),
                                 {},
                                 true,
                                 [this](const base::ProcessId &Process) {
                                   Silent.push_back(Process);
                                   Members.setSilent(Process, true);
                                   Keeper.follow(Members);
                                 }};
  std::vector<std::unique_ptr<std::optional<RateLimitResult>>> Verdicts;
};

} // namespace

TEST_CASE("a request waits for the keeper's permit") {
  Fixture Test;
  const auto *Verdict = Test.admit();
  REQUIRE(Test.Peers.Sent.size() == 1);
  CHECK(!*Verdict);
  Test.Keeper.onPermitGrant({1, 1});
  CHECK(*Verdict == RateLimitResult::Admitted);
  const auto *Refused = Test.admit();
  Test.Keeper.onPermitGrant({2, 0});
  CHECK(*Refused == RateLimitResult::RateExceeded);
}

// Pattern: the keeper's machine is taken away while a workspace needs permits;
// gossip took eight seconds to find out on wallegang-hq trouble-1, and all
// requests of the workspace were refused meanwhile.
TEST_CASE("a keeper that does not answer is replaced at once") {
  Fixture Test;
  const auto *Verdict = Test.admit();
  Test.runFor(260ms);
  CHECK(Test.Silent.size() == 1);
  REQUIRE(Test.Peers.Sent.size() == 2);
  CHECK(!*Verdict);
  Test.Keeper.onPermitGrant({2, 1});
  CHECK(*Verdict == RateLimitResult::Admitted);
}

// Guards against requests that are held for as long as keepers are lost.
TEST_CASE("a request waits for two keepers at most") {
  Fixture Test;
  const auto *Verdict = Test.admit();
  Test.runFor(460ms);
  CHECK(*Verdict == RateLimitResult::Unavailable);
}

// Guards against a second keeper in a part of the fleet that was cut off.
TEST_CASE("without a majority of the announced daemons there is no keeper") {
  Fixture Test;
  Test.Keeper.setDaemons(10);
  Test.admit();
  CHECK(Test.Peers.Sent.empty());
  Test.Keeper.setDaemons(9);
  Test.runFor(210ms);
  Test.admit();
  CHECK(Test.Peers.Sent.size() == 1);
}

// Load pattern: a workspace's callers are spread over a large fleet, so that
// each daemon sees few of them. Guards against permits that lapse unused, which
// refused half of what the limits of foldhost-guj-grown allow.
TEST_CASE("a workspace that is rare here asks for what it needs only") {
  Fixture Test;
  const auto Wanted = [&] {
    return base::decode<relay::PermitRequest>(
               Test.Peers.Sent.begin()->second.back().Body)
        ->Wanted;
  };
  Test.admit();
  CHECK(Wanted() == 1);
  Test.Keeper.onPermitGrant({1, 1});
  Test.runFor(150ms);
  Test.admit();
  CHECK(Wanted() == 1);
  Test.Keeper.onPermitGrant({2, 1});
  Test.admit();
  CHECK(Wanted() == 2);
}

// Load pattern: services refuse for lack of capacity what their workspaces'
// limits allow. Guards against refused requests that use up a limit.
TEST_CASE("the permit of a request that has not run goes back to the keeper") {
  Fixture Test;
  Test.Keeper.giveBack(base::WorkspaceName("w"));
  REQUIRE(Test.Peers.Sent.size() == 1);
  const auto Returned = base::decode<relay::PermitReturn>(
      Test.Peers.Sent.begin()->second.back().Body);
  REQUIRE(Returned);
  CHECK(Returned->Workspace.str() == "w");
  CHECK(Returned->Count == 1);
}
