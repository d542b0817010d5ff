#ifndef JACKDAW_ROUTING_TYPES_H
#define JACKDAW_ROUTING_TYPES_H

#include "base/clock.h"
#include "base/errors.h"
#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace routing {

/// How near an upstream is, nearest first.
enum class Locality : std::uint8_t { OwnCentre, OwnRegion, OtherRegion };

inline constexpr std::size_t kLocalityCount = 3;

/// This daemon's place, and one-way delays from it.
struct Topology {
  base::DataCentreId DataCentre;
  base::RegionId Region;
  /// Between data centres of one region.
  base::Duration WithinRegion = std::chrono::microseconds(1500);
  base::Duration BetweenRegions = std::chrono::milliseconds(30);
};

/// Routing settings of a service, from its service file.
struct ServiceSettings {
  /// Time over which a cold upstream's share grows to a full one.
  base::Duration RampUp = std::chrono::seconds(10);
  /// Time that must be left for the work itself after the round trip.
  base::Duration MinimumWork = std::chrono::milliseconds(2);
};

/// What the choice of an upstream depends on.
struct CallContext {
  /// On the clock of `base::Clock::now`.
  base::BootTime Deadline;
  /// Processes that must not be chosen, such as those tried before.
  std::vector<base::ProcessId> Excluded;
  /// Size of the request with its headers.
  std::size_t RequestBytes = 0;
};

/// An upstream chosen for one call. The call counts as in flight until it is
/// passed to `Router::finish`.
struct UpstreamChoice {
  base::ProcessId Process;
  base::PeerAddress Peer;
  base::RegionId Region;
  Locality Place = Locality::OwnCentre;
  /// The single request that tests an ejected upstream.
  bool Trial = false;
};

/// How a call ended, as this daemon saw it.
enum class CallResult : std::uint8_t {
  /// The backend server answered.
  Responded,
  /// It failed or the answer did not come in time.
  Failed,
  /// The upstream could not be reached or the connection broke.
  ConnectionFailed,
  /// The upstream refused the call as overloaded.
  Overloaded,
  /// The upstream refused the call because it drains.
  Draining,
  /// The call was given up for reasons that say nothing about the upstream.
  Abandoned,
};

/// What a call that a daemon refused or gave up says about its upstream.
CallResult resultForError(base::ErrorKind Kind, base::Outcome What);

/// What a finished call says about its upstream.
struct CallReport {
  CallResult Result = CallResult::Responded;
  /// Calls running and queued at the serving daemon by its own count, from the
  /// response; negative if there was no response.
  std::int32_t Load = -1;
  /// Size of the response with its headers.
  std::size_t ResponseBytes = 0;
  /// Calls that the serving daemon lets run at a time; 0 if it did not say.
  std::uint32_t Slots = 0;
};

} // namespace routing

#endif // JACKDAW_ROUTING_TYPES_H
