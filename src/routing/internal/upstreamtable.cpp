#include "routing/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace routing {

namespace {

// An incarnation is the wall-clock start time of the process in microseconds.
// If it is in the future, because of clock skew, the process counts as just
// started. The age is capped at an hour, the longest ramp-up that a service
// file may set.
base::BootTime startTime(base::Incarnation Incarnation, base::BootTime Now,
                         base::WallTime WallNow) {
  const auto Wall = WallNow.time_since_epoch().count();
  const auto Started = std::int64_t(Incarnation.value());
  const std::int64_t AgeMicroseconds = Started < Wall ? Wall - Started : 0;
  const auto Age = std::min(std::chrono::microseconds(AgeMicroseconds),
                            std::chrono::microseconds(std::chrono::hours(1)));
  return Now - Age;
}

} // namespace

void UpstreamTable::configure(const base::ServiceName &Service,
                              ServiceSettings Settings) {
  Services[Service].Settings = Settings;
}

void UpstreamTable::applyChanges(const membership::MemberTable &Members,
                                 const std::vector<base::InstanceId> &Changed,
                                 base::BootTime Now, base::WallTime WallNow) {
  for (const base::InstanceId &Instance : Changed) {
    if (const membership::MemberEntry *Entry = Members.find(Instance))
      update(Entry->Record, Entry->Silent, Now, WallNow);
    else
      remove(Instance);
  }
}

Locality UpstreamTable::localityOf(const membership::Member &Record) const {
  if (Record.DataCentre == OwnTopology.DataCentre)
    return Locality::OwnDataCentre;
  return Record.Region == OwnTopology.Region ? Locality::OwnRegion
                                             : Locality::OtherRegion;
}

void UpstreamTable::update(const membership::Member &Record, bool Silent,
                           base::BootTime Now, base::WallTime WallNow) {
  const auto Found = ByInstance.find(Record.Instance);
  if (Found != ByInstance.end() &&
      Upstreams[Found->second].Process.Incarnation != Record.Incarnation)
    remove(Record.Instance);
  if (!ByInstance.contains(Record.Instance)) {
    Upstream New;
    New.Process = Record.process();
    New.Peer = Record.Peer;
    New.Service = Record.Service;
    New.Region = Record.Region;
    New.Locality = localityOf(Record);
    New.Slots = Record.Slots;
    New.StartedAt = startTime(Record.Incarnation, Now, WallNow);
    ByInstance[Record.Instance] = Upstreams.size();
    Upstreams.push_back(std::move(New));
    link(Upstreams.size() - 1);
  }
  Upstream &Updated = Upstreams[ByInstance.at(Record.Instance)];
  // A refusal as draining stays in force until the member itself publishes a
  // newer state.
  if (Record.StateVersion != Updated.StateVersion)
    Updated.RefusedAsDraining = false;
  Updated.State = Record.State;
  Updated.StateVersion = Record.StateVersion;
  Updated.Silent = Silent;
}

void UpstreamTable::link(std::size_t Index) {
  const Upstream &Item = Upstreams[Index];
  ServiceUpstreams &Group = Services[Item.Service];
  Group.ByLocality[std::size_t(Item.Locality)].push_back(Index);
  Group.Ejected += Item.Outlier.ejected();
}

void UpstreamTable::unlink(std::size_t Index) {
  const Upstream &Item = Upstreams[Index];
  ServiceUpstreams &Group = Services.at(Item.Service);
  std::erase(Group.ByLocality[std::size_t(Item.Locality)], Index);
  Group.Ejected -= Item.Outlier.ejected();
}

void UpstreamTable::remove(const base::InstanceId &Instance) {
  const auto Found = ByInstance.find(Instance);
  if (Found == ByInstance.end())
    return;
  const std::size_t Index = Found->second;
  const std::size_t Last = Upstreams.size() - 1;
  unlink(Index);
  ByInstance.erase(Found);
  if (Index != Last) {
    unlink(Last);
    Upstreams[Index] = std::move(Upstreams[Last]);
    ByInstance[Upstreams[Index].Process.Instance] = Index;
    link(Index);
  }
  Upstreams.pop_back();
}

Upstream *UpstreamTable::find(const base::ProcessId &Process) {
  const auto Found = ByInstance.find(Process.Instance);
  if (Found == ByInstance.end())
    return nullptr;
  Upstream &Item = Upstreams[Found->second];
  return Item.Process == Process ? &Item : nullptr;
}

const Upstream *UpstreamTable::find(const base::ProcessId &Process) const {
  return const_cast<UpstreamTable *>(this)->find(Process);
}

ServiceUpstreams *UpstreamTable::service(const base::ServiceName &Service) {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

} // namespace routing
