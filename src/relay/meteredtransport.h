#ifndef JACKDAW_RELAY_METEREDTRANSPORT_H
#define JACKDAW_RELAY_METEREDTRANSPORT_H

#include "base/metrics.h"
#include "membership/membertable.h"
#include "routing/types.h"
#include "transport/peertransport.h"

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

namespace relay {

/// Counts the bytes sent to other daemons by purpose and by how far they go, in
/// `peer_bytes_sent_total`: frames and datagrams with their encryption, without
/// pings, handshakes and the headers of fragments, TCP, UDP and IP. Must be
/// used on one thread only.
class MeteredTransport final : public transport::PeerTransport {
public:
  MeteredTransport(transport::PeerTransport &Remote,
                   base::MetricsRegistry &Metrics, routing::Topology Own);

  /// Applies the locations of these members.
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed);

  /// Records which peer a connection leads to.
  void onFrameFrom(transport::ConnectionId Connection,
                   const base::ProcessId &Peer);
  void onClosed(transport::ConnectionId Connection) {
    ByConnection.erase(Connection);
  }

  base::Endpoint address() const override { return Remote.address(); }
  transport::ConnectionId connectionTo(const base::Endpoint &Peer) override;
  bool send(transport::ConnectionId Connection,
            transport::Frame Message) override;
  void close(transport::ConnectionId Connection) override {
    Remote.close(Connection);
  }
  void changeSecret(const std::string &NewSecret) override {
    Remote.changeSecret(NewSecret);
  }
  void sendDatagram(const base::Endpoint &Peer,
                    const std::string &Body) override;

private:
  enum class Purpose : std::uint8_t {
    Call,
    CallResponse,
    Fence,
    ServerNotice,
    Permit,
    Gossip,
    Other,
  };
  static constexpr std::size_t kPurposeCount = 7;
  /// The localities, and a peer whose location is not known yet.
  static constexpr std::size_t kReachCount = routing::kLocalityCount + 1;
  static constexpr std::size_t kUnknownReach = routing::kLocalityCount;

  static Purpose purposeOf(std::uint8_t FrameType);
  std::size_t reachOf(const base::Endpoint &Peer) const;
  void count(Purpose For, std::size_t Reach, std::size_t Bytes);

  transport::PeerTransport &Remote;
  const routing::Topology Own;
  std::array<std::array<base::Counter *, kReachCount>, kPurposeCount> Counters;
  std::map<base::Endpoint, std::size_t> ByEndpoint;
  std::unordered_map<base::InstanceId, std::size_t> ByInstance;
  std::unordered_map<transport::ConnectionId, std::size_t> ByConnection;
};

} // namespace relay

#endif // JACKDAW_RELAY_METEREDTRANSPORT_H
