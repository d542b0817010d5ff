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

/// A daemon with a backend server of one service, and what this daemon observed
/// of it.
struct Upstream {
  base::ProcessId Process;
  base::PeerAddress Peer;
  base::ServiceName Service;
  base::RegionId Region;
  Locality Place = Locality::OwnCentre;
  membership::MemberState State = membership::MemberState::Alive;
  std::uint32_t StateVersion = 0;
  /// Membership has no sign of life of it now.
  bool Silent = false;
  /// It refused a call because it drains, before membership said so.
  bool RefusedAsDraining = false;
  /// Calls that may run at a time; 0 until it has said so.
  std::uint32_t Slots = 0;
  /// Calls of this daemon that have not finished.
  std::uint32_t InFlight = 0;
  /// Load in its last response.
  std::uint32_t ReportedLoad = 0;
  base::BootTime ReportedAt;
  /// When its process started, by its incarnation.
  base::BootTime Started;
  Ejection Outlier;
};

/// The upstreams of one service.
struct ServiceUpstreams {
  ServiceSettings Settings;
  /// Positions in the table by locality.
  std::array<std::vector<std::size_t>, kLocalityCount> Near;
  std::array<SpillControl, kLocalityCount> Spill;
  std::size_t Ejected = 0;

  std::size_t size() const {
    return Near[0].size() + Near[1].size() + Near[2].size();
  }
};

/// All upstreams, by service and locality. Fed from membership; `Router` adds
/// what responses tell. Not thread-safe.
class UpstreamTable {
public:
  explicit UpstreamTable(Topology Place) : Place(std::move(Place)) {}

  void configure(const base::ServiceName &Service, ServiceSettings Settings);

  /// Takes over the members that changed (`GossipProtocol::takeChanges`).
  void applyChanges(const membership::MemberTable &Members,
                    const std::vector<base::InstanceId> &Changed,
                    base::BootTime Now, base::WallTime WallNow);

  /// Takes over one member. A new process of an instance replaces the old one.
  void update(const membership::Member &Record, bool Silent, base::BootTime Now,
              base::WallTime WallNow);

  void remove(const base::InstanceId &Instance);

  /// The upstream of exactly this process, or null.
  Upstream *find(const base::ProcessId &Process);
  const Upstream *find(const base::ProcessId &Process) const;

  /// The upstreams of a service, or null.
  ServiceUpstreams *service(const base::ServiceName &Service);

  Upstream &at(std::size_t Index) { return Upstreams[Index]; }
  std::size_t size() const { return Upstreams.size(); }
  const Topology &topology() const { return Place; }

private:
  void link(std::size_t Index);
  void unlink(std::size_t Index);
  Locality localityOf(const membership::Member &Record) const;

  Topology Place;
  std::vector<Upstream> Upstreams;
  std::unordered_map<base::InstanceId, std::size_t> ByInstance;
  std::unordered_map<base::ServiceName, ServiceUpstreams> Services;
};

} // namespace routing

#endif // JACKDAW_ROUTING_UPSTREAMTABLE_H
