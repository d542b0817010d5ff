#ifndef JACKDAW_ROUTING_ROUTER_H
#define JACKDAW_ROUTING_ROUTER_H

#include "base/errors.h"
#include "routing/regionbytebudget.h"
#include "routing/types.h"
#include "routing/upstreamtable.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>

namespace routing {

/// Totals since the start.
struct RouterCounters {
  /// Calls by locality of the upstream chosen.
  std::array<std::uint64_t, kLocalityCount> Chosen{};
  /// Calls that passed over a near locality because it refuses as overloaded.
  std::uint64_t Spilled = 0;
  std::uint64_t Trials = 0;
  /// Calls sent to a suspect, silent or ejected upstream for want of another.
  std::uint64_t LastResorts = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t NoUpstream = 0;
};

/// Chooses upstreams for calls and learns from how they end. Not thread-safe.
class Router {
public:
  /// Both tables must outlive the router.
  Router(UpstreamTable &Table, RegionByteBudget &Budget,
         std::uint64_t RandomSeed)
      : Table(Table), Budget(Budget), Random(RandomSeed) {}

  /// Chooses an upstream of `Service` and counts the call as in flight. The
  /// result must be passed to `finish` exactly once. Nothing has been sent when
  /// this fails: `DeadlineExceeded` if the deadline has passed, `NoUpstream` if
  /// no upstream may be used or the only ones are too far for the time left or
  /// for the bytes allowed between regions.
  base::Result<UpstreamChoice> choose(const base::ServiceName &Service,
                                      const CallContext &Context,
                                      base::BootTime Now);

  /// Records how the call ended.
  void finish(const UpstreamChoice &Call, const CallReport &Report,
              base::BootTime Now);

  const RouterCounters &counters() const { return Counters; }

private:
  /// Which upstreams a pass over the localities accepts.
  enum class Pass : std::uint8_t { Good, Suspect, Ejected };

  struct Request {
    ServiceUpstreams &Group;
    const CallContext &Context;
    base::BootTime Now;
    /// Localities near enough for the deadline and with bytes left.
    std::array<bool, kLocalityCount> Open{};
    /// An upstream that was passed over for want of bytes.
    const Upstream *Starved = nullptr;
  };

  void findOpen(Request &Call);
  Upstream *pickGood(Request &Call, bool &Trial);
  Upstream *pickByLocality(Request &Call);
  Upstream *pickLastResort(Request &Call);
  Upstream *pickTrial(Request &Call, std::size_t Places);
  Upstream *pickOfTwo(Request &Call, std::size_t Place);
  Upstream *scan(Request &Call, std::size_t Place, Pass Accepted);
  bool accepts(Request &Call, const Upstream &Item, Pass Accepted);
  bool passesRampUp(Request &Call, const Upstream &Item);
  bool less(const Upstream &A, const Upstream &B, base::BootTime Now) const;
  UpstreamChoice commit(Request &Call, Upstream &Item, bool Trial);
  void judge(Upstream &Item, const UpstreamChoice &Call, CallResult Result,
             base::BootTime Now);
  void eject(Upstream &Item, ServiceUpstreams &Group, bool Trial,
             base::BootTime Now);
  void recordSpill(ServiceUpstreams &Group, Locality Place, CallResult Result,
                   base::BootTime Now);
  double draw();
  std::size_t drawBelow(std::size_t Bound);

  UpstreamTable &Table;
  RegionByteBudget &Budget;
  std::mt19937_64 Random;
  RouterCounters Counters;
};

} // namespace routing

#endif // JACKDAW_ROUTING_ROUTER_H
