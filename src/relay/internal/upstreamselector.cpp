#include "relay/upstreamselector.h"

#include <algorithm>
#include <random>
#include <utility>

namespace relay {

namespace {

/// Bytes per second that one daemon may exchange with another region. Far above
/// the capacity of its link, since the cost of distance is limited by
/// preferring near upstreams instead.
constexpr std::uint64_t kRegionBytesPerSecond = std::uint64_t{500} << 20;

/// Bounds the time that a peer may state.
constexpr std::uint64_t kMaxAvailableAfterMicros = 60'000'000;

} // namespace

routing::CallResult toCallResult(const execution::CallCompletion &Completion) {
  if (Completion.Error)
    return routing::resultForError(*Completion.Error, Completion.Outcome);
  // An error response of the backend server may be caused by a downstream
  // service, so it says nothing about this upstream.
  return Completion.Response ? routing::CallResult::Responded
                             : routing::CallResult::ConnectionFailed;
}

UpstreamSelector::UpstreamSelector(const base::Clock &Clock,
                                   routing::Topology OwnTopology)
    : Clock(Clock), Table(std::move(OwnTopology)),
      Router(Table, ByteBudget, std::random_device()()), PeerServers(Clock) {}

void UpstreamSelector::applyChanges(
    const membership::MemberTable &Members,
    const std::vector<base::InstanceId> &Changed) {
  const base::BootTime Now = Clock.now();
  Table.applyChanges(Members, Changed, Now, Clock.wallNow());
  const base::RegionId &Own = Table.topology().Region;
  for (const base::InstanceId &Instance : Changed) {
    const membership::MemberEntry *Entry = Members.find(Instance);
    if (Entry == nullptr || Entry->Record.Region == Own)
      continue;
    const base::RegionId &Other = Entry->Record.Region;
    ByteBudget.configure(Own, Other, kRegionBytesPerSecond, 1, Now);
    ByteBudget.configure(Other, Own, kRegionBytesPerSecond, 1, Now);
  }
}

std::optional<routing::UpstreamChoice>
UpstreamSelector::choose(const base::ServiceName &Service,
                         const routing::SelectionContext &Context) {
  auto Chosen = Router.choose(Service, Context, Clock.now());
  if (!Chosen)
    return std::nullopt;
  return *Chosen;
}

void UpstreamSelector::onServerNotice(const base::ProcessId &Peer,
                                      const ServerNotice &Notice) {
  PeerServers.apply(Peer.Instance, Notice);
  const auto Wait = std::chrono::microseconds(
      std::min(Notice.AvailableAfterMicros, kMaxAvailableAfterMicros));
  Router.setAvailableAt(Peer, Clock.now() + Wait);
}

void UpstreamSelector::recordCompletion(const routing::UpstreamChoice &Target,
                                        const CallSummary &Summary) {
  routing::CallReport Report;
  Report.Result = toCallResult(Summary.Completion);
  Report.Load = Summary.Load;
  Report.Slots = Summary.Slots;
  Report.FailureShare = Summary.FailureShare;
  Report.ResponseBytes =
      Summary.Completion.Response ? Summary.Completion.Response->size() : 0;
  Router.finish(Target, Report, Clock.now());
}

} // namespace relay
