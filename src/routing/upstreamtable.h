#ifndef JACKDAW_ROUTING_UPSTREAMTABLE_H
#define JACKDAW_ROUTING_UPSTREAMTABLE_H

#include "membership/member.h"
#include "membership/membertable.h"
#include "routing/internal/outlierdetector.h"
#include "routing/internal/spillovercontroller.h"
#include "routing/types.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace routing {

/// A backend server of one service with its daemon, and what this daemon has
/// observed of it.
struct Upstream {
  base::ProcessId Process;
  base::Endpoint Peer;
  base::ServiceName Service;
  base::RegionId Region;
  routing::Locality Locality = routing::Locality::OwnDataCentre;
  membership::MemberState State = membership::MemberState::Alive;
  std::uint32_t StateVersion = 0;
  /// It did not reply to this daemon, and nothing has been received from it
  /// since.
  bool Silent = false;
  /// It refused a call because it is draining, before membership reported that.
  bool RefusedAsDraining = false;
  /// Time before which its rate limit allows no further call.
  base::BootTime AvailableAt;
  /// Number of calls that it runs concurrently; 0 until it has reported it.
  std::uint32_t Slots = 0;
  /// Calls of this daemon that have not completed.
  std::uint32_t InFlight = 0;
  /// Calls running and queued there, as reported in its last response.
  std::uint32_t ReportedLoad = 0;
  /// Share of its calls that failed there, as reported in its last response.
  double ReportedFailures = 0;
  base::BootTime ReportedAt;
  /// Start time of its process, derived from its incarnation.
  base::BootTime StartedAt;
  OutlierDetector Outlier;
};

/// The upstreams of one service.
struct ServiceUpstreams {
  ServiceSettings Settings;
  /// Positions in the table by locality.
  std::array<std::vector<std::size_t>, kLocalityCount> ByLocality;
  std::array<SpilloverController, kLocalityCount> Spillover;
  /// Number of ejected upstreams.
  std::size_t Ejected = 0;

  std::size_t size() const {
    return ByLocality[0].size() + ByLocality[1].size() + ByLocality[2].size();
  }
};

/// All upstreams, by service and locality. Updated from membership; `Router`
/// adds what the results of calls reveal. Not thread-safe.
class UpstreamTable {
public:
  explicit UpstreamTable(Topology OwnTopology)
      : OwnTopology(std::move(OwnTopology)) {}

  void configure(const base::ServiceName &Service, ServiceSettings Settings);

  /// Applies the changed members (`GossipProtocol::takeChanges`). Members that
  /// `Members` no longer contains are removed.
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed,
                    base::BootTime Now, base::WallTime WallNow);

  /// Adds or updates one member. A new process of an instance replaces the old
  /// one.
  void update(const membership::Member &Record, bool Silent, base::BootTime Now,
              base::WallTime WallNow);

  void remove(const base::InstanceId &Instance);

  /// The upstream of exactly this process; null if there is none.
  Upstream *find(const base::ProcessId &Process);
  const Upstream *find(const base::ProcessId &Process) const;

  /// The upstreams of a service; null if the service is not known.
  ServiceUpstreams *service(const base::ServiceName &Service);

  Upstream &at(std::size_t Index) { return Upstreams[Index]; }
  std::size_t size() const { return Upstreams.size(); }
  const Topology &topology() const { return OwnTopology; }

private:
  void link(std::size_t Index);
  void unlink(std::size_t Index);
  Locality localityOf(const membership::Member &Record) const;

  Topology OwnTopology;
  std::vector<Upstream> Upstreams;
  std::unordered_map<base::InstanceId, std::size_t> ByInstance;
  std::unordered_map<base::ServiceName, ServiceUpstreams> Services;
};

} // namespace routing

#endif // JACKDAW_ROUTING_UPSTREAMTABLE_H
