#include "node/upstreams.h"

#include "config/configuration.h"

#include <algorithm>
#include <random>
#include <set>

namespace node {

namespace {

constexpr std::uint16_t kFirstServerError = 500;

/// An unknown outcome comes from a connection that broke on this path.
routing::CallResult resultOfError(base::ErrorKind Kind, base::Outcome What) {
  return Kind == base::ErrorKind::OutcomeUnknown
             ? routing::CallResult::ConnectionFailed
             : routing::resultForError(Kind, What);
}

} // namespace

routing::CallResult callResultOf(const execution::CallCompletion &Verdict) {
  if (Verdict.Error)
    return resultOfError(*Verdict.Error, Verdict.Outcome);
  if (!Verdict.Response)
    return routing::CallResult::ConnectionFailed;
  if (Verdict.Response->Error)
    return resultOfError(*Verdict.Response->Error, Verdict.Outcome);
  return Verdict.Response->Status >= kFirstServerError
             ? routing::CallResult::Failed
             : routing::CallResult::Responded;
}

Upstreams::Upstreams(Runtime &Shared)
    : Shared(Shared), Table({Shared.DataCentre, Shared.Region}),
      Router(Table, Bytes, std::random_device()()) {}

void Upstreams::follow(const membership::MemberTable &Members,
                       const std::vector<base::InstanceId> &Changed) {
  std::lock_guard Lock(Mutex);
  Table.applyChanges(Members, Changed, Shared.Time.now(),
                     Shared.Time.wallNow());
  RegionMembers = 0;
  for (const membership::MemberEntry &Entry : Members.entries())
    RegionMembers += Entry.Record.Region == Shared.Region &&
                             membership::isPresent(Entry.Record.State)
                         ? 1
                         : 0;
}

void Upstreams::configure(const config::Configuration &Config) {
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
    const std::size_t Sharers = std::max<std::size_t>(RegionMembers, 1);
    const std::uint64_t Rate = Config.fleet().RegionBytesPerSecond;
    Bytes.configure(Shared.Region, Other, Rate, Sharers, Shared.Time.now());
    Bytes.configure(Other, Shared.Region, Rate, Sharers, Shared.Time.now());
  }
}

std::optional<routing::UpstreamChoice>
Upstreams::choose(const base::ServiceName &Service,
                  const routing::CallContext &Context) {
  std::lock_guard Lock(Mutex);
  auto Chosen = Router.choose(Service, Context, Shared.Time.now());
  if (!Chosen)
    return std::nullopt;
  return *Chosen;
}

void Upstreams::finished(const routing::UpstreamChoice &Target,
                         const execution::CallCompletion &Verdict,
                         std::int32_t Load) {
  routing::CallReport Report;
  Report.Result = callResultOf(Verdict);
  Report.Load = Load;
  Report.ResponseBytes = Verdict.Response ? Verdict.Response->size() : 0;
  std::lock_guard Lock(Mutex);
  Router.finish(Target, Report, Shared.Time.now());
}

void Upstreams::exportCounters() {
  std::lock_guard Lock(Mutex);
  const routing::RouterCounters &Totals = Router.counters();
  const auto Set = [this](const char *Name, std::uint64_t Value) {
    Shared.Metrics.gauge(Name).set(static_cast<std::int64_t>(Value));
  };
  Set("routing_own_data_centre", Totals.Chosen[0]);
  Set("routing_own_region", Totals.Chosen[1]);
  Set("routing_other_region", Totals.Chosen[2]);
  Set("routing_spilled", Totals.Spilled);
  Set("routing_ejections", Totals.Ejections);
  Set("routing_no_upstream", Totals.NoUpstream);
}

} // namespace node
