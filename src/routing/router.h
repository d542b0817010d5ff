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

/// Totals since the start of the process.
struct RouterCounters {
  /// Calls by locality of the chosen upstream.
  std::array<std::uint64_t, kLocalityCount> Chosen{};
  /// Calls sent to a farther locality because a nearer one refuses calls as
  /// overloaded or is too busy.
  std::uint64_t Spilled = 0;
  /// Trial requests to ejected upstreams.
  std::uint64_t Trials = 0;
  /// Calls sent to a suspect, silent or ejected upstream, or to one whose rate
  /// limit is used up, because no other was available.
  std::uint64_t LastResorts = 0;
  std::uint64_t Ejections = 0;
  /// Calls for which no upstream could be chosen.
  std::uint64_t NoUpstream = 0;
};

/// Chooses upstreams for calls and updates their state from the results. Not
/// thread-safe.
class Router {
public:
  /// Both tables must outlive the router.
  Router(UpstreamTable &Table, RegionByteBudget &Budget,
         std::uint64_t RandomSeed)
      : Table(Table), Budget(Budget), Random(RandomSeed) {}

  /// Chooses an upstream of `Service` and counts the call as in flight. The
  /// result must be passed to `finish` exactly once. Fails with
  /// `DeadlineExceeded` if the deadline has expired, and with `NoUpstream` if
  /// no upstream may be used or the only ones are too far away for the
  /// remaining time or the bytes allowed between regions. Nothing has been sent
  /// if it fails.
  base::Result<UpstreamChoice> choose(const base::ServiceName &Service,
                                      const SelectionContext &Context,
                                      base::BootTime Now);

  /// Records the result of the call.
  void finish(const UpstreamChoice &Choice, const CallReport &Report,
              base::BootTime Now);

  /// Records that the rate limit of an upstream allows no further call before
  /// `At`. Other upstreams are preferred until then.
  void setAvailableAt(const base::ProcessId &Process, base::BootTime At);

  const RouterCounters &counters() const { return Counters; }

private:
  /// Which upstreams may be chosen: `Healthy` ones only, those whose rate limit
  /// is used up (`Limited`) as well, those that are `Suspect` or silent as
  /// well, or also those that are `Ejected`.
  enum class Eligibility : std::uint8_t { Healthy, Limited, Suspect, Ejected };

  /// State while an upstream is chosen for one call.
  struct Selection {
    ServiceUpstreams &Group;
    const SelectionContext &Context;
    base::BootTime Now;
    /// By locality: whether its round trip fits into the remaining time.
    std::array<bool, kLocalityCount> WithinDeadline{};
    /// An upstream that was not eligible because the byte budget to or from its
    /// region was used up; null if there is none.
    const Upstream *OverBudget = nullptr;
  };

  /// Sets `Call.WithinDeadline`.
  void findWithinDeadline(Selection &Call);
  /// Chooses among healthy upstreams, or an ejected one that is due for a
  /// trial.
  Upstream *pickHealthy(Selection &Call, bool &Trial);
  /// Chooses the locality, nearest first, and an upstream in it.
  Upstream *pickByLocality(Selection &Call);
  /// Chooses an upstream whose rate limit is used up, a suspect or silent one,
  /// or else an ejected one.
  Upstream *pickLastResort(Selection &Call);
  /// Chooses the upstream whose rate limit allows a call soonest.
  Upstream *pickSoonestAvailable(Selection &Call);
  /// Chooses an ejected upstream that is due for a trial, in one of the nearest
  /// `MaxLocalities` localities.
  Upstream *pickTrial(Selection &Call, std::size_t MaxLocalities);
  /// The less loaded of two random healthy upstreams in a locality.
  Upstream *pickOfTwo(Selection &Call, std::size_t LocalityIndex);
  Upstream *pickLeastLoaded(Selection &Call, std::size_t LocalityIndex,
                            Eligibility Criterion);
  bool isEligible(Selection &Call, const Upstream &Item, Eligibility Criterion);
  /// Decides at random whether a cold upstream takes part in the choice, with a
  /// probability that grows with its age.
  bool drawRampUp(Selection &Call, const Upstream &Item);
  static bool lessLoaded(const Selection &Call, const Upstream &A,
                         const Upstream &B);
  /// The one that costs the call less, or the only one that isn't null.
  static Upstream *cheaper(const Selection &Call, Upstream *A, Upstream *B);
  UpstreamChoice recordChoice(Selection &Call, Upstream &Item, bool Trial,
                              bool LastResort);
  void applyResult(Upstream &Item, const UpstreamChoice &Choice,
                   CallResult Result, base::BootTime Now);
  void eject(Upstream &Item, ServiceUpstreams &Group, bool Trial,
             base::BootTime Now);
  void recordSpillover(ServiceUpstreams &Group, Locality Target,
                       CallResult Result, base::BootTime Now);
  double drawUniform();
  std::size_t drawBelow(std::size_t Bound);

  UpstreamTable &Table;
  RegionByteBudget &Budget;
  std::mt19937_64 Random;
  RouterCounters Counters;
};

} // namespace routing

#endif // JACKDAW_ROUTING_ROUTER_H
