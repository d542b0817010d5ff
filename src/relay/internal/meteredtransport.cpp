#include "relay/meteredtransport.h"

#include "relay/messages.h"
#include "relay/permitmessages.h"

#include <string>
#include <utility>

namespace relay {

namespace {

/// Length, type and authentication tag of a frame.
constexpr std::size_t kFrameOverheadBytes = 4 + 1 + 16;
/// Nonce and authentication tag of a datagram.
constexpr std::size_t kDatagramOverheadBytes = 24 + 16;

constexpr std::array<const char *, 7> kPurposeNames{
    "call", "response", "fence", "server_notice", "permit", "gossip", "other"};
constexpr std::array<const char *, 4> kReachNames{"data_centre", "region",
                                                  "other_region", "unknown"};

} // namespace

MeteredTransport::MeteredTransport(transport::PeerTransport &Remote,
                                   base::MetricsRegistry &Metrics,
                                   routing::Topology Own)
    : Remote(Remote), Own(std::move(Own)) {
  for (std::size_t For = 0; For < kPurposeCount; ++For)
    for (std::size_t Reach = 0; Reach < kReachCount; ++Reach)
      Counters[For][Reach] = &Metrics.counter(
          std::string("peer_bytes_sent_total{purpose=\"") + kPurposeNames[For] +
          "\",reach=\"" + kReachNames[Reach] + "\"}");
}

void MeteredTransport::applyChanges(
    const membership::MemberTable &Members,
    const std::vector<base::InstanceId> &Changed) {
  for (const base::InstanceId &Instance : Changed) {
    const membership::MemberEntry *Entry = Members.find(Instance);
    if (Entry == nullptr)
      continue;
    const membership::Member &Record = Entry->Record;
    const auto Reach =
        Record.DataCentre == Own.DataCentre ? routing::Locality::OwnDataCentre
        : Record.Region == Own.Region       ? routing::Locality::OwnRegion
                                            : routing::Locality::OtherRegion;
    ByEndpoint[Record.Peer] = std::size_t(Reach);
    ByInstance[Instance] = std::size_t(Reach);
  }
}

void MeteredTransport::onFrameFrom(transport::ConnectionId Connection,
                                   const base::ProcessId &Peer) {
  const auto Found = ByInstance.find(Peer.Instance);
  if (Found != ByInstance.end())
    ByConnection.try_emplace(Connection, Found->second);
}

transport::ConnectionId
MeteredTransport::connectionTo(const base::Endpoint &Peer) {
  const transport::ConnectionId Connection = Remote.connectionTo(Peer);
  ByConnection.try_emplace(Connection, reachOf(Peer));
  return Connection;
}

bool MeteredTransport::send(transport::ConnectionId Connection,
                            transport::Frame Message) {
  const Purpose For = purposeOf(Message.Type);
  const std::size_t Bytes = kFrameOverheadBytes + Message.size();
  if (!Remote.send(Connection, std::move(Message)))
    return false;
  const auto Found = ByConnection.find(Connection);
  count(For, Found == ByConnection.end() ? kUnknownReach : Found->second,
        Bytes);
  return true;
}

void MeteredTransport::sendDatagram(const base::Endpoint &Peer,
                                    const std::string &Body) {
  Remote.sendDatagram(Peer, Body);
  count(isPermitMessage(Body) ? Purpose::Permit : Purpose::Gossip,
        reachOf(Peer), kDatagramOverheadBytes + Body.size());
}

MeteredTransport::Purpose MeteredTransport::purposeOf(std::uint8_t Type) {
  switch (static_cast<FrameType>(Type)) {
  case FrameType::Call:
    return Purpose::Call;
  case FrameType::CallResponse:
    return Purpose::CallResponse;
  case FrameType::Fence:
  case FrameType::FenceReply:
    return Purpose::Fence;
  case FrameType::ServerNotice:
  case FrameType::ServerReminder:
    return Purpose::ServerNotice;
  }
  return Purpose::Other;
}

std::size_t MeteredTransport::reachOf(const base::Endpoint &Peer) const {
  const auto Found = ByEndpoint.find(Peer);
  return Found == ByEndpoint.end() ? kUnknownReach : Found->second;
}

void MeteredTransport::count(Purpose For, std::size_t Reach,
                             std::size_t Bytes) {
  Counters[std::size_t(For)][Reach]->add(Bytes);
}

} // namespace relay
