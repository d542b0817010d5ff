#include "relay/meteredtransport.h"

#include "relay/messages.h"
#include "relay/permitmessages.h"

#include <doctest/doctest.h>

#include <string>

namespace {

/// Accepts everything; the connection to a peer has the number of its port.
class AcceptingTransport final : public transport::PeerTransport {
public:
  base::Endpoint address() const override { return {"10.0.0.1", 1}; }
  transport::ConnectionId connectionTo(const base::Endpoint &Peer) override {
    return transport::ConnectionId(Peer.Port);
  }
  bool send(transport::ConnectionId, transport::Frame) override {
    return Accepts;
  }
  void close(transport::ConnectionId) override {}
  void changeSecret(const std::string &) override {}
  void sendDatagram(const base::Endpoint &, const std::string &) override {}

  bool Accepts = true;
};

struct Fixture {
  Fixture() {
    add("near", 2, "a", "r1");
    add("beside", 3, "b", "r1");
    add("far", 4, "c", "r2");
    Metered.applyChanges(Members, Members.takeChanges());
  }

  void add(const std::string &Name, std::uint16_t Port,
           const std::string &DataCentre, const std::string &Region) {
    membership::Member Record;
    Record.Instance = base::InstanceId(Name);
    Record.Incarnation = base::Incarnation(1);
    Record.DataCentre = base::DataCentreId(DataCentre);
    Record.Region = base::RegionId(Region);
    Record.Peer = {"10.0.0.1", Port};
    Members.merge(Record, base::BootTime());
  }

  std::uint64_t sent(const std::string &Purpose, const std::string &Reach) {
    return Metrics
        .counter("peer_bytes_sent_total{purpose=\"" + Purpose + "\",reach=\"" +
                 Reach + "\"}")
        .value();
  }

  AcceptingTransport Remote;
  base::MetricsRegistry Metrics;
  membership::MemberTable Members;
  relay::MeteredTransport Metered{
      Remote, Metrics, {base::DataCentreId("a"), base::RegionId("r1")}};
};

constexpr auto kCall = static_cast<std::uint8_t>(relay::FrameType::Call);
constexpr auto kResponse =
    static_cast<std::uint8_t>(relay::FrameType::CallResponse);

} // namespace

TEST_CASE("sent bytes are counted by purpose and by how far they go") {
  Fixture Test;
  Test.Metered.send(Test.Metered.connectionTo({"10.0.0.1", 2}),
                    {kCall, std::string(100, 'x')});
  Test.Metered.send(Test.Metered.connectionTo({"10.0.0.1", 4}),
                    {kCall, std::string(200, 'x')});
  CHECK(Test.sent("call", "data_centre") == 121);
  CHECK(Test.sent("call", "region") == 0);
  CHECK(Test.sent("call", "other_region") == 221);
  Test.Metered.sendDatagram({"10.0.0.1", 3}, "gossip");
  CHECK(Test.sent("gossip", "region") == 46);
  Test.Metered.sendDatagram({"10.0.0.1", 3},
                            relay::encodePermitMessage(relay::PermitGrant()));
  CHECK(Test.sent("permit", "region") > 46);
}

TEST_CASE(
    "a response on a peer's connection is counted by the peer's location") {
  Fixture Test;
  const transport::ConnectionId Accepted(77);
  Test.Metered.send(Accepted, {kResponse, ""});
  CHECK(Test.sent("response", "unknown") == 21);
  Test.Metered.onFrameFrom(Accepted,
                           {base::InstanceId("far"), base::Incarnation(1)});
  Test.Metered.send(Accepted, {kResponse, ""});
  CHECK(Test.sent("response", "other_region") == 21);
}

TEST_CASE("a frame that is not sent is not counted") {
  Fixture Test;
  Test.Remote.Accepts = false;
  Test.Metered.send(Test.Metered.connectionTo({"10.0.0.1", 2}), {kCall, "x"});
  CHECK(Test.sent("call", "data_centre") == 0);
}
