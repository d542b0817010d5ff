#include "relay/upstreamselector.h"

#include <random>
#include <utility>

namespace relay {

namespace {

/// Bytes a second that one daemon may exchange with another region; far above
/// what its link carries, since the cost of distance is met by preferring near
/// upstreams.
constexpr std::uint64_t kRegionBytesPerSecond = std::uint64_t{500} << 20;

} // namespace

routing::CallResult resultOf(const execution::CallCompletion &Verdict) {
  if (Verdict.Error)
    return routing::resultForError(*Verdict.Error, Verdict.Outcome);
  // A failure that the backend server reports may stem from a service further
  // down, so it says nothing about this upstream.
  return Verdict.Response ? routing::CallResult::Responded
                          : routing::CallResult::ConnectionFailed;
}

UpstreamSelector::UpstreamSelector(const base::Clock &Time,
                                   routing::Topology Place)
    : Time(Time), Table(std::move(Place)),
      Router(Table, Bytes, std::random_device()()) {}

void UpstreamSelector::follow(const membership::MemberTable &Members,
                              const std::vector<base::InstanceId> &Changed) {
  const base::BootTime Now = Time.now();
  Table.applyChanges(Members, Changed, Now, Time.wallNow());
  const base::RegionId &Own = Table.topology().Region;
  for (const base::InstanceId &Instance : Changed) {
    const membership::MemberEntry *Entry = Members.find(Instance);
    if (Entry == nullptr || Entry->Record.Region == Own)
      continue;
    const base::RegionId &Other = Entry->Record.Region;
    Bytes.configure(Own, Other, kRegionBytesPerSecond, 1, Now);
    Bytes.configure(Other, Own, kRegionBytesPerSecond, 1, Now);
  }
}

std::optional<routing::UpstreamChoice>
UpstreamSelector::choose(const base::ServiceName &Service,
                         const routing::CallContext &Context) {
  auto Chosen = Router.choose(Service, Context, Time.now());
  if (!Chosen)
    return std::nullopt;
  return *Chosen;
}

void UpstreamSelector::finished(const routing::UpstreamChoice &Target,
                                const CallEnding &Ending) {
  routing::CallReport Report;
  Report.Result = resultOf(Ending.Verdict);
  Report.Load = Ending.Load;
  Report.Slots = Ending.Slots;
  Report.ResponseBytes =
      Ending.Verdict.Response ? Ending.Verdict.Response->size() : 0;
  Router.finish(Target, Report, Time.now());
}

} // namespace relay
