#include "node/upstreamselector.h"

#include "config/configuration.h"

#include <algorithm>
#include <random>
#include <set>

namespace node {

namespace {

constexpr std::uint16_t kFirstServerError = 500;

/// An unknown outcome means that the connection to the upstream broke.
routing::CallResult callResultForError(base::ErrorKind Kind,
                                       base::Outcome Outcome) {
  return Kind == base::ErrorKind::OutcomeUnknown
             ? routing::CallResult::ConnectionFailed
             : routing::resultForError(Kind, Outcome);
}

} // namespace

routing::CallResult toCallResult(const execution::CallCompletion &Completion) {
  if (Completion.Error)
    return callResultForError(*Completion.Error, Completion.Outcome);
  if (!Completion.Response)
    return routing::CallResult::ConnectionFailed;
  if (Completion.Response->Error)
    return callResultForError(*Completion.Response->Error, Completion.Outcome);
  return Completion.Response->Status >= kFirstServerError
             ? routing::CallResult::Failed
             : routing::CallResult::Responded;
}

UpstreamSelector::UpstreamSelector(Runtime &Shared)
    : Shared(Shared), Table({Shared.DataCentre, Shared.Region}),
      Router(Table, Bytes, std::random_device()()) {}

void UpstreamSelector::applyChanges(
    const membership::MemberTable &Members,
    const std::vector<base::InstanceId> &Changed) {
  std::lock_guard Lock(Mutex);
  Table.applyChanges(Members, Changed, Shared.Clock.now(),
                     Shared.Clock.wallNow());
  RegionMembers = 0;
  for (const membership::MemberEntry &Entry : Members.entries())
    RegionMembers += Entry.Record.Region == Shared.Region &&
                             membership::isPresent(Entry.Record.State)
                         ? 1
                         : 0;
}

void UpstreamSelector::configure(const config::Configuration &Config) {
  std::lock_guard Lock(Mutex);
  for (const auto &[Name, Service] : Config.services()) {
    routing::ServiceSettings Settings;
    Settings.RampUp = Service->config().Backend.ColdStartRamp;
    Table.configure(Name, Settings);
  }
  std::set<base::RegionId> Regions;
  for (const config::DataCentreConfig &Each : Config.fleet().DataCentres)
    Regions.insert(Each.Region);
  for (const base::RegionId &Other : Regions) {
    if (Other == Shared.Region)
      continue;
    const std::size_t MemberCount = std::max<std::size_t>(RegionMembers, 1);
    const std::uint64_t Rate = Config.fleet().RegionBytesPerSecond;
    Bytes.configure(Shared.Region, Other, Rate, MemberCount,
                    Shared.Clock.now());
    Bytes.configure(Other, Shared.Region, Rate, MemberCount,
                    Shared.Clock.now());
  }
}

std::optional<routing::UpstreamChoice>
UpstreamSelector::choose(const base::ServiceName &Service,
                         const routing::SelectionContext &Context) {
  std::lock_guard Lock(Mutex);
  auto Chosen = Router.choose(Service, Context, Shared.Clock.now());
  if (!Chosen)
    return std::nullopt;
  return *Chosen;
}

void UpstreamSelector::recordCompletion(
    const routing::UpstreamChoice &Target,
    const execution::CallCompletion &Completion, std::int32_t Load) {
  routing::CallReport Report;
  Report.Result = toCallResult(Completion);
  Report.Load = Load;
  Report.ResponseBytes = Completion.Response ? Completion.Response->size() : 0;
  std::lock_guard Lock(Mutex);
  Router.finish(Target, Report, Shared.Clock.now());
}

void UpstreamSelector::exportCounters() {
  std::lock_guard Lock(Mutex);
  const routing::RouterCounters &Counters = Router.counters();
  const auto Set = [this](const char *Name, std::uint64_t Value) {
    Shared.Metrics.gauge(Name).set(static_cast<std::int64_t>(Value));
  };
  Set("routing_own_data_centre", Counters.Chosen[0]);
  Set("routing_own_region", Counters.Chosen[1]);
  Set("routing_other_region", Counters.Chosen[2]);
  Set("routing_spilled", Counters.Spilled);
  Set("routing_ejections", Counters.Ejections);
  Set("routing_no_upstream", Counters.NoUpstream);
}

} // namespace node
