#ifndef JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPSTATE_H
#define JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPSTATE_H

#include "membership/gossipprotocol.h"
#include "membership/internal/contactlist.h"
#include "membership/internal/gossipcore.h"
#include "membership/internal/prober.h"
#include "membership/internal/suspiciontimers.h"
#include "membership/internal/urgentpush.h"
#include "membership/internal/viewsync.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace membership {

/// The parts of the protocol and the handling of received datagrams and claims.
struct GossipProtocol::State {
  explicit State(GossipSettings Settings) : Core(std::move(Settings)) {}

  void updateClock(base::BootTime Now, bool Tick);
  void mergeSender(const Datagram &Message, const base::Endpoint &From);
  void dispatch(const Datagram &Message, const base::Endpoint &From);
  void onPing(const Datagram &Message, const base::Endpoint &From);
  std::size_t mergeUpdates(const Datagram &Message);
  void queueCorrection(const StateClaim &Claim);
  void sendCorrections(const base::Endpoint &To);
  bool isUnknown(const base::ProcessId &Process) const;
  MergeResult merge(const Member &Record);
  MergeResult merge(const StateClaim &Claim);
  void refute(const StateClaim &Claim);
  void changeSelf(MemberState State, std::uint32_t Version);
  void afterMerge(MergeResult Result, const base::InstanceId &Instance,
                  std::optional<MemberState> Before);
  std::optional<MemberState> stateOf(const base::InstanceId &Instance) const;
  void onProbeFailed(const base::ProcessId &Process);
  void onHeardFrom(const base::ProcessId &Process);
  std::vector<OutgoingDatagram> takeOutbox();

  GossipCore Core;
  Prober Probes{Core};
  SuspicionTimers Suspicions{Core};
  UrgentPush Urgent{Core};
  ContactList Contacts{Core};
  ViewSync Sync{Core};
  base::BootTime LastTick;
  base::BootTime ProtocolTimeAtTick;
  base::BootTime NextExpiryCheck;
  /// The current datagram is a sync reply.
  bool InSyncReply = false;
  /// Claims to send back, which supersede those in the current datagram.
  std::vector<StateClaim> Corrections;
};

} // namespace membership

#endif // JACKDAW_MEMBERSHIP_INTERNAL_GOSSIPSTATE_H
