#ifndef JACKDAW_ROUTING_TYPES_H
#define JACKDAW_ROUTING_TYPES_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace routing {

/// Distance of an upstream from this daemon, nearest first.
enum class Locality : std::uint8_t { OwnDataCentre, OwnRegion, OtherRegion };

inline constexpr std::size_t kLocalityCount = 3;

/// Location of this daemon and the one-way network delays from it.
struct Topology {
  base::DataCentreId DataCentre;
  base::RegionId Region;
  /// One-way delay between data centres of one region.
  base::Duration WithinRegion = std::chrono::microseconds(1500);
  /// One-way delay between data centres of different regions.
  base::Duration BetweenRegions = std::chrono::milliseconds(30);
};

/// Routing settings of a service, from its service file.
struct ServiceSettings {
  /// Time after its start over which an upstream's share of calls grows to the
  /// full share.
  base::Duration RampUp = std::chrono::seconds(10);
  /// Time that must remain for the work itself in addition to the round trip.
  base::Duration MinimumWork = std::chrono::milliseconds(2);
};

/// Properties of a call that the choice of its upstream depends on.
struct SelectionContext {
  /// On the clock of `base::Clock::now`.
  base::BootTime Deadline;
  /// Processes that must not be chosen, such as those already attempted.
  std::vector<base::ProcessId> Excluded;
  /// Size of the request including its headers.
  std::size_t RequestBytes = 0;
  base::PriorityClass Priority = base::PriorityClass::Normal;
};

/// An upstream chosen for one call. The call counts as in flight until it is
/// passed to `Router::finish`.
struct UpstreamChoice {
  base::ProcessId Process;
  base::Endpoint Peer;
  base::RegionId Region;
  routing::Locality Locality = routing::Locality::OwnDataCentre;
  /// Whether this is the single request that tests an ejected upstream.
  bool Trial = false;
  /// Whether no upstream is known that could run the call at once.
  bool LastResort = false;
};

/// Result of a call, as seen by this daemon.
enum class CallResult : std::uint8_t {
  /// The backend server responded.
  Responded,
  /// The backend server failed or did not respond in time.
  Failed,
  /// The upstream could not be reached or the connection broke.
  ConnectionFailed,
  /// The upstream refused the call as overloaded.
  Overloaded,
  /// The upstream refused the call because it is draining.
  Draining,
  /// The call was abandoned for a reason unrelated to the upstream.
  Abandoned,
};

/// Maps the error of a call that was refused or abandoned by a daemon to a
/// result for its upstream.
CallResult resultForError(base::ErrorKind Kind, base::Outcome RunOutcome);

/// What a completed call reveals about its upstream.
struct CallReport {
  CallResult Result = CallResult::Responded;
  /// Number of calls running and queued at the serving daemon, as reported in
  /// the response; negative if there was no response.
  std::int32_t Load = -1;
  /// Size of the response including its headers.
  std::size_t ResponseBytes = 0;
  /// Number of calls that the serving daemon runs concurrently; 0 if it was not
  /// reported.
  std::uint32_t Slots = 0;
  /// Share of all calls to the upstream that its backend server fails or
  /// refuses now, between 0 and 1. Used if `Load` is reported.
  double FailureShare = 0;
};

} // namespace routing

#endif // JACKDAW_ROUTING_TYPES_H
