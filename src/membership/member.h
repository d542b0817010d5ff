#ifndef JACKDAW_MEMBERSHIP_MEMBER_H
#define JACKDAW_MEMBERSHIP_MEMBER_H

#include "base/types.h"

#include <cstdint>
#include <string_view>

namespace membership {

/// State of a daemon process, in order of precedence: between claims of the
/// same incarnation and state version the later one in this list wins.
enum class MemberState : std::uint8_t {
  Alive,
  Suspect,
  Draining,
  Dead,
  Stopped,
};

inline constexpr std::uint8_t kMemberStateCount = 5;

/// Name of a state for logs and the administration API.
std::string_view memberStateName(MemberState State);

/// Whether the process may still exist, as opposed to dead or stopped.
constexpr bool isPresent(MemberState State) {
  return State < MemberState::Dead;
}

/// One daemon and the backend server beside it, as known to the fleet.
struct Member {
  base::InstanceId Instance;
  base::Incarnation Incarnation;
  base::DataCentreId DataCentre;
  base::RegionId Region;
  base::ServiceName Service;
  /// Address for peers, TCP and UDP.
  base::Endpoint Peer;
  /// Address of the administration API.
  base::Endpoint Administration;
  MemberState State = MemberState::Alive;
  /// Raised only by the member itself, to change its state or to refute a
  /// claim.
  std::uint32_t StateVersion = 0;
  /// Last log offset that the member is known to have applied.
  base::LogOffset AppliedOffset;
  /// Number of requests that the backend server can run concurrently.
  std::uint32_t Slots = 0;

  base::ProcessId process() const { return {Instance, Incarnation}; }

  friend bool operator==(const Member &, const Member &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Instance, Incarnation, DataCentre, Region, Service, Peer, Administration,
       State, StateVersion, AppliedOffset, Slots);
  }
};

/// A claim about the state of one process: a member without the fields that
/// stay the same during the lifetime of the process.
struct StateClaim {
  base::ProcessId Process;
  std::uint32_t StateVersion = 0;
  MemberState State = MemberState::Alive;

  friend bool operator==(const StateClaim &, const StateClaim &) = default;
};

/// The claim that `Record` contains.
StateClaim claimOf(const Member &Record);

/// The merge rule: whether `Incoming` replaces `Current`. Both are claims about
/// the same instance. The higher incarnation wins, then the higher state
/// version, then the state with precedence.
bool supersedes(const StateClaim &Incoming, const StateClaim &Current);

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_MEMBER_H
